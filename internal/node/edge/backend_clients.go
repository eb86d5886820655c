package edge

import (
	"encoding/json"
	"strings"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/plat/call"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Limits of the connections to one backend server.
const (
	maxConnsPerServer = 2048
	cancelTimeout     = time.Second
	// maxDialTime is the longest time from the check of Dispatch.NotAfter to the
	// first byte sent, in ms.
	maxDialTime = clock.Millis(call.DialTimeout / time.Millisecond)
)

// backendClients holds the connections to backend servers. Its clients never retry a
// call on their own.
type backendClients struct {
	// pooled keeps connections open between calls.
	pooled fasthttp.Client
	// fresh opens a connection for each call, so that a call which is not idempotent
	// is never written to a connection that the peer has closed. A failure then shows
	// whether the call was surely not executed or broke off later.
	fresh fasthttp.Client
}

func (b *backendClients) init() {
	b.pooled = call.NewClient(maxConnsPerServer)
	b.fresh = call.NewClient(maxConnsPerServer)
	for _, client := range []*fasthttp.Client{&b.pooled, &b.fresh} {
		// A streamed body is bounded where it is read.
		client.StreamResponseBody, client.MaxResponseBodySize = true, 0
	}
}

// send sends req a single time and waits for the head of the answer. With fresh set, it
// opens a connection for this call.
func (b *backendClients) send(req *fasthttp.Request, deadline time.Time, fresh bool) (*fasthttp.Response, error) {
	client := &b.pooled
	if fresh {
		client = &b.fresh
		req.SetConnectionClose()
	}
	resp := fasthttp.AcquireResponse()
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		fasthttp.ReleaseResponse(resp)
		return nil, err
	}
	return resp, nil
}

// release releases an answer. Its connection is closed if the answer was not read to
// its end.
func release(resp *fasthttp.Response) {
	_ = resp.CloseBodyStream()
	fasthttp.ReleaseResponse(resp)
}

// post sends a small JSON body to the control API of an engine.
func (b *backendClients) post(address, path string, body any, timeout time.Duration) (*fasthttp.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetContentType("application/json")
	req.SetBody(encoded)
	return b.send(req, time.Now().Add(timeout), false)
}

// cancel asks an engine to cancel a request, without checking that it does. For a
// forwarded request it does nothing: the other entry VM detects the closed connection
// of a stream, and executes a request that is not streamed to its end.
func (b *backendClients) cancel(d event.Dispatch) {
	if d.Forward {
		return
	}
	body := struct {
		RequestID units.RequestID `json:"request_id"`
	}{d.Request}
	resp, err := b.post(d.Address, "/v1/cancel", body, cancelTimeout)
	if err == nil {
		release(resp)
	}
}

// resume asks an engine for the rest of a stream of which from tokens were received.
func (b *backendClients) resume(x *exchange, d event.Dispatch, from int, timeout time.Duration) (*fasthttp.Response, error) {
	body := struct {
		RequestID units.RequestID `json:"request_id"`
		From      int             `json:"from"`
		Chat      bool            `json:"chat"`
	}{d.Request, from, strings.HasPrefix(x.path, "/v1/chat/")}
	resp, err := b.post(d.Address, "/v1/resume", body, timeout)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK || !matchesRequest(resp, d) {
		release(resp)
		return nil, errors.Errorf("resume: status %d", resp.StatusCode())
	}
	return resp, nil
}

// matchesRequest reports whether resp is the answer to the request of d. An engine's
// answer without a request id can't be checked and counts as a match. An entry VM of
// another failure domain appends to the id.
func matchesRequest(resp *fasthttp.Response, d event.Dispatch) bool {
	id := string(resp.Header.Peek(HeaderRequestID))
	if d.Forward {
		return strings.HasPrefix(id, string(d.Request))
	}
	return id == "" || id == string(d.Request)
}

// resultOfError classifies an error of a call. Only errors before the first byte of the
// request count as not sent.
func resultOfError(err error) event.ResultKind {
	if call.NotSent(err) {
		return event.ResultNotSent
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return event.ResultTimeout
	}
	return event.ResultBroken
}

// notExecutedKind returns the result for an answer that says that the backend server
// did not execute the request, and 0 for any other answer.
func notExecutedKind(status int, body []byte) event.ResultKind {
	if status == fasthttp.StatusOK {
		return 0
	}
	var answer struct {
		Error struct {
			Code string `json:"code"`
			Ran  string `json:"ran"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &answer) != nil || answer.Error.Ran != string(errs.RanNo) {
		return 0
	}
	if answer.Error.Code == "adapter_not_loaded" {
		return event.ResultAdapterMissing
	}
	return event.ResultNotRun
}
