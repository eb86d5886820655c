package edge

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/node/conns"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	cancelTimeout = time.Second
	// maxDialTime is the longest time from the check of Dispatch.NotAfter to the
	// first byte sent, in ms.
	maxDialTime = clock.Millis(conns.DialTimeout / time.Millisecond)
)

// backendClients holds the connections to backend servers. It never retries a call on its
// own.
type backendClients struct {
	pool conns.Pool
}

// backendAnswer is an answer of a backend server whose head was read. It must be closed.
type backendAnswer struct {
	*conns.Exchange
	// held is the memory of what was read of the body.
	held *quota.Hold
	// ctx ends the exchange.
	ctx    context.Context
	cancel context.CancelFunc
}

// Close ends the exchange. Its connection is closed if the answer was not read to its end. It
// returns no error.
func (a *backendAnswer) Close() error {
	a.held.Release()
	a.Done()
	a.cancel()
	return nil
}

func (a *backendAnswer) release() { _ = a.Close() }

// send sends req to address a single time and waits for the head of the answer. The exchange ends
// with ctx, and after timeout. With fresh set, send opens a connection for this call, so that a
// call which is not idempotent is never written to a connection that the peer has closed. A
// failure then shows whether the call was surely not executed or broke off later. The error is one
// of package conns, or a deadlineError.
func (b *backendClients) send(ctx context.Context, address string, req *conns.Request, timeout time.Duration, fresh bool) (*backendAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	exchange, err := b.exchange(ctx, address, req, fresh)
	if err != nil {
		err = timeoutOr(ctx, err)
		cancel()
		return nil, err
	}
	return &backendAnswer{Exchange: exchange, held: b.pool.Memory.Hold(quota.Owner(address)), ctx: ctx, cancel: cancel}, nil
}

func (b *backendClients) exchange(ctx context.Context, address string, req *conns.Request, fresh bool) (*conns.Exchange, error) {
	conn, err := b.pool.Get(ctx, address, fresh)
	if err != nil {
		return nil, err
	}
	req.Close = fresh
	return b.pool.Do(ctx, conn, req)
}

// deadlineError is returned for an exchange that was not over at its deadline.
type deadlineError struct{ err error }

// Error implements error.
func (e *deadlineError) Error() string { return "deadline exceeded: " + e.err.Error() }

// Unwrap returns the cause.
func (e *deadlineError) Unwrap() error { return e.err }

// timeoutOr returns err, as a deadlineError if the deadline of ctx has caused it.
func timeoutOr(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &deadlineError{err}
	}
	return err
}

// Read reads the body of the answer. Any error other than io.EOF means that it is incomplete.
func (a *backendAnswer) Read(buf []byte) (int, error) {
	n, err := a.Exchange.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		err = timeoutOr(a.ctx, err)
	}
	return n, err
}

// maxAnswerBytes bounds an answer that is read in full.
const maxAnswerBytes = 16 << 20

// readAll reads the rest of the body.
func (a *backendAnswer) readAll() ([]byte, error) {
	return a.held.ReadAll(a, units.Bytes(a.ContentLength), maxAnswerBytes)
}

// newRequest returns a request for path at address.
func newRequest(method, address, path string, body []byte) *conns.Request {
	return &conns.Request{Method: method, Target: path, Host: address, Header: http.Header{}, Body: body}
}

// post sends a small JSON body to the control API of an engine.
func (b *backendClients) post(ctx context.Context, address, path string, body any, timeout time.Duration) (*backendAnswer, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	req := newRequest(http.MethodPost, address, path, encoded)
	req.Header.Set(fasthttp.HeaderContentType, jsonType)
	return b.send(ctx, address, req, timeout, false)
}

const jsonType = "application/json"

// cancel asks an engine to cancel a request, without checking that it does. For a
// forwarded request it does nothing: the other entry VM detects the closed connection.
func (b *backendClients) cancel(d event.Dispatch) {
	if d.Forward {
		return
	}
	body := struct {
		RequestID units.RequestID `json:"request_id"`
	}{d.Request}
	answer, err := b.post(context.Background(), d.Address, "/v1/cancel", body, cancelTimeout)
	if err == nil {
		_, _ = answer.readAll()
		answer.release()
	}
}

// resume asks an engine for the rest of a stream of which from tokens were received.
func (b *backendClients) resume(x *exchange, d event.Dispatch, from int, timeout time.Duration) (*backendAnswer, error) {
	body := struct {
		RequestID units.RequestID `json:"request_id"`
		From      int             `json:"from"`
		Chat      bool            `json:"chat"`
	}{d.Request, from, strings.HasPrefix(x.path, "/v1/chat/")}
	answer, err := b.post(x.ctx, d.Address, "/v1/resume", body, timeout)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK || !matchesRequest(answer, d) {
		answer.release()
		return nil, errors.Errorf("resume: status %d", answer.StatusCode)
	}
	return answer, nil
}

// matchesRequest reports whether answer is that to the request of d. An answer without a
// request id can't be checked and counts as a match, unless it is an error on a kept
// connection. An entry VM of another failure domain appends to the id.
func matchesRequest(answer *backendAnswer, d event.Dispatch) bool {
	id := answer.Header.Get(HeaderRequestID)
	if d.Forward {
		return strings.HasPrefix(id, string(d.Request))
	}
	if id == "" {
		return answer.StatusCode < http.StatusBadRequest || !answer.OnKeptConnection()
	}
	return id == string(d.Request)
}

// resultOfError classifies an error of a call. Only errors before the first byte of the
// request count as not sent.
func resultOfError(err error) event.ResultKind {
	var unsent *conns.NotSentError
	var late *deadlineError
	var full *quota.FullError
	switch {
	case errors.As(err, &unsent):
		return event.ResultNotSent
	case errors.As(err, &late):
		return event.ResultTimeout
	case errors.As(err, &full), errors.Is(err, quota.ErrTooLong):
		return event.ResultFailed
	default:
		return event.ResultBroken
	}
}

// notExecutedKind returns the result for an answer that says that the backend server
// did not execute the request, and 0 for any other answer.
func notExecutedKind(status int, body []byte) event.ResultKind {
	if status == http.StatusOK {
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
