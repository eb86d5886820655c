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

// caller sends calls as an application would: until the deadline it retries calls that
// break off or can't connect. A retried action keeps its key.
type caller struct {
	plan     *Plan
	client   *fasthttp.Client
	balancer *balancer
}

// retryDelay is the time between two attempts of a call.
const retryDelay = 50 * time.Millisecond

// dialTimeout bounds the time to connect to an entry VM.
const dialTimeout = time.Second

// newClient returns a client that never retries a call itself.
func newClient(maxOpen int) *fasthttp.Client {
	return &fasthttp.Client{
		Name:                      "mangostile-load",
		MaxConnsPerHost:           maxOpen,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}
}

// newStreamClient returns a client that can read an answer while it is being streamed.
func newStreamClient(maxOpen int) *fasthttp.Client {
	client := newClient(maxOpen)
	client.StreamResponseBody = true
	return client
}

// outcome is the result of a call with its times.
type outcome struct {
	call *Call
	// due is the scheduled time of the call, sentAt the time at which it was sent.
	due    time.Time
	sentAt time.Time
	// firstAt and endAt are the times of the first token and the end of the answer. While
	// the answer is being read, endAt is the time of its last token.
	firstAt time.Time
	endAt   time.Time
	// gaps holds the times between consecutive tokens.
	gaps []time.Duration
	// cuts holds the request ids of attempts that broke off.
	cuts []string
	// mayHaveRun reports that an attempt broke off or was refused with Ran other than
	// RanNo.
	mayHaveRun bool
	// requestIDs holds the request ids of all attempts.
	requestIDs []string
	err        error
}

// do sends a call and retries it until it is answered or refused, or until its deadline.
func (c *caller) do(call *Call, due time.Time) outcome {
	a := outcome{call: call, due: due, sentAt: time.Now()}
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
		if time.Now().Add(retryDelay).After(deadline) {
			return a
		}
		time.Sleep(retryDelay)
	}
}

func (c *caller) try(call *Call, deadline time.Time, a *outcome) error {
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

// deadlineSlack is how long after the deadline the caller still waits for a refusal.
const deadlineSlack = 2 * time.Second

func (c *caller) fill(req *fasthttp.Request, call *Call, id string, remaining time.Duration) {
	base := "http://" + c.balancer.pick()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
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
func (c *caller) read(call *Call, resp *fasthttp.Response, id string, a *outcome) error {
	if call.Kind == KindChat && resp.StatusCode() == fasthttp.StatusOK {
		stream := resp.BodyStream()
		if stream == nil {
			stream = bytes.NewReader(resp.Body())
		}
		defer func() { _ = resp.CloseBodyStream() }()
		return c.recordRefusal(readStream(call, stream, a.recordToken), a)
	}
	body, err := readBody(resp)
	if err != nil {
		return errCut
	}
	if got := string(resp.Header.Peek("X-Request-Id")); got != "" && !strings.HasPrefix(got, id) {
		return &WrongAnswerError{Got: "request id " + got, Want: "one that begins with " + id}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return c.recordRefusal(readRefusal(resp.StatusCode(), body), a)
	}
	a.recordToken(time.Now())
	if call.Kind == KindLetter {
		return checkCompletion(call, body)
	}
	return checkService(call, body)
}

func readBody(resp *fasthttp.Response) ([]byte, error) {
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

func (c *caller) recordRefusal(err error, a *outcome) error {
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Ran != errs.RanNo {
		a.mayHaveRun = true
	}
	return err
}

// recordToken records the arrival time of a token.
func (a *outcome) recordToken(at time.Time) {
	if a.firstAt.IsZero() {
		a.firstAt = at
	} else {
		a.gaps = append(a.gaps, at.Sub(a.endAt))
	}
	a.endAt = at
}
