package load

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"mangostile/internal/base/errs"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// caller sends calls as an application would: what broke off is asked for again,
// an action with its key, until the deadline.
type caller struct {
	plan     *Plan
	client   *fasthttp.Client
	balancer *balancer
}

// retryPause is the time between two tries of a call.
const retryPause = 50 * time.Millisecond

// dialTimeout bounds the time to connect to an entry VM.
const dialTimeout = time.Second

// newClient returns a client that never repeats a call by itself.
func newClient(maxOpen int) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "mangostile-load",
		MaxConnsPerHost:           maxOpen,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}
}

// newStreamClient returns a client whose answers are read as they come.
func newStreamClient(maxOpen int) *fasthttp.Client {
	client := newClient(maxOpen)
	client.StreamResponseBody = true
	return client
}

// answer is how a call ended.
type answer struct {
	call *Call
	// due is the instant at which the call had to be sent, sentAt the one at
	// which it was.
	due    time.Time
	sentAt time.Time
	// firstAt and endAt are the instants of the first token and the end.
	firstAt time.Time
	endAt   time.Time
	gaps    []time.Duration
	// cuts holds the request ids of tries that broke off.
	cuts []string
	// mayHaveRun is set once a try broke off or was refused as unknown.
	mayHaveRun bool
	requestIDs []string
	err        error
}

// do sends a call until it is answered, refused or late.
func (c *caller) do(call *Call, due time.Time) answer {
	a := answer{call: call, due: due, sentAt: time.Now()}
	deadline := due.Add(c.plan.Deadline)
	for {
		a.firstAt, a.gaps = time.Time{}, nil
		a.err = c.try(call, deadline, &a)
		a.endAt = time.Now()
		var opError *net.OpError
		switch {
		case errors.Is(a.err, errCut):
			a.cuts = append(a.cuts, a.requestIDs[len(a.requestIDs)-1])
			a.mayHaveRun = true
		case errors.As(a.err, &opError) && opError.Op == "dial", errors.Is(a.err, fasthttp.ErrDialTimeout):
		default:
			return a
		}
		if time.Now().Add(retryPause).After(deadline) {
			return a
		}
		time.Sleep(retryPause)
	}
}

func (c *caller) try(call *Call, deadline time.Time, a *answer) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	id := uuid.NewString()
	a.requestIDs = append(a.requestIDs, id)
	c.fill(req, call, id, time.Until(deadline))
	err := c.client.DoDeadline(req, resp, deadline.Add(deadlineSlack))
	var opError *net.OpError
	switch {
	case err == nil:
	case errors.As(err, &opError) && opError.Op == "dial", errors.Is(err, fasthttp.ErrDialTimeout):
		return err
	default:
		return errCut
	}
	return c.read(call, resp, id, a)
}

// deadlineSlack is how long after the deadline a refusal is still waited for.
const deadlineSlack = 2 * time.Second

func (c *caller) fill(req *fasthttp.Request, call *Call, id string, within time.Duration) {
	base := "http://" + c.balancer.pick()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, within.Milliseconds()), 10))
	if c.plan.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.plan.Token)
	}
	switch call.Kind {
	case KindChat:
		req.SetRequestURI(base + "/v1/chat/completions")
		req.SetBody(chatBody(call))
	case KindLetter:
		req.SetRequestURI(base + "/v1/completions")
		req.SetBody(letterBody(call))
	case KindLookup:
		req.Header.SetMethod(fasthttp.MethodGet)
		req.SetRequestURI(base + "/services/" + string(c.plan.Service) + call.Path)
	case KindAction:
		req.SetRequestURI(base + "/services/" + string(c.plan.Service) + call.Path)
		req.Header.Set("Idempotency-Key", call.Key)
		req.SetBodyString(call.Body)
	}
}

func chatBody(call *Call) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	return mustJSON(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
		Stream    bool      `json:"stream"`
	}{call.Adapter.String(), []message{{"user", call.Prompt}}, call.Tokens, true})
}

func letterBody(call *Call) []byte {
	return mustJSON(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}{call.Adapter.String(), call.Prompt, call.Tokens})
}

func mustJSON(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic("load: request can't be encoded: " + err.Error())
	}
	return body
}

// read reads and checks one answer.
func (c *caller) read(call *Call, resp *fasthttp.Response, id string, a *answer) error {
	if call.Kind == KindChat && resp.StatusCode() == fasthttp.StatusOK {
		stream := resp.BodyStream()
		if stream == nil {
			stream = bytes.NewReader(resp.Body())
		}
		defer func() { _ = resp.CloseBodyStream() }()
		return c.noteRefusal(readStream(call, stream, a.token), a)
	}
	body, err := wholeBody(resp)
	if err != nil {
		return errCut
	}
	if got := string(resp.Header.Peek("X-Request-Id")); got != "" && !strings.HasPrefix(got, id) {
		return &WrongAnswerError{Got: "request id " + got, Want: "one that begins with " + id}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return c.noteRefusal(readRefusal(resp.StatusCode(), body), a)
	}
	a.token(time.Now())
	if call.Kind == KindLetter {
		return checkWhole(call, body)
	}
	return checkService(call, body)
}

func wholeBody(resp *fasthttp.Response) ([]byte, error) {
	if resp.BodyStream() == nil {
		return resp.Body(), nil
	}
	var body bytes.Buffer
	_, err := body.ReadFrom(resp.BodyStream())
	if closeErr := resp.CloseBodyStream(); err == nil {
		err = closeErr
	}
	return body.Bytes(), err
}

func (c *caller) noteRefusal(err error, a *answer) error {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Ran != errs.RanNo {
		a.mayHaveRun = true
	}
	return err
}

// token notes the arrival of a token.
func (a *answer) token(at time.Time) {
	if a.firstAt.IsZero() {
		a.firstAt = at
	} else {
		a.gaps = append(a.gaps, at.Sub(a.endAt))
	}
	a.endAt = at
}
