package edge

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/node/conns"
	"mangostile/internal/plat/call"

	"github.com/valyala/fasthttp"
)

// run submits an exchange to the core and executes its commands until the exchange ends.
func (e *Edge) run(ctx *fasthttp.RequestCtx, x *exchange) {
	id := x.request.ID
	if !e.exchanges.add(x) {
		e.writeRefusal(ctx, id, errs.Refuse(errs.CodeBadRequest, "request id %s is in use: leave %s out or choose another", id, HeaderRequestID))
		return
	}
	if !e.options.Submit(event.RequestArrived{Request: x.request}) {
		e.exchanges.remove(id)
		e.writeRefusal(ctx, id, errs.Refuse(errs.CodeOverloaded, "this entry VM has no room for another request: send it again later").WithRetryAfter(clock.Second))
		return
	}
	for {
		select {
		case command := <-x.commands:
			if e.execute(ctx, x, command) {
				return
			}
		case <-e.closed:
			e.exchanges.remove(id)
			e.writeRefusal(ctx, id, errs.RefuseUnknown(errs.CodeLeaving, "this entry VM stopped: send the request to another one"))
			return
		}
	}
}

// execute executes one command of the core. It reports true if the exchange needs no
// further command: it was answered, its stream is being copied or its caller has
// disconnected.
func (e *Edge) execute(ctx *fasthttp.RequestCtx, x *exchange, command event.Effect) bool {
	switch command := command.(type) {
	case event.Dispatch:
		return e.attempt(ctx, x, command)
	case event.Refuse:
		e.exchanges.remove(x.request.ID)
		e.writeRefusal(ctx, x.request.ID, command.Refusal)
		return true
	case event.Replay:
		e.exchanges.remove(x.request.ID)
		ctx.SetStatusCode(command.Status)
		ctx.SetContentType(command.ContentType)
		ctx.SetBody(command.Body)
		ctx.Response.Header.Set(HeaderRequestID, string(x.request.ID))
		ctx.Response.Header.Set(headerReplay, "true")
		return true
	default:
		return false
	}
}

// attempt sends the request to a backend server. It reports true if the answer is on its
// way to the caller or the caller has disconnected. Otherwise it has reported to the core
// how the attempt ended, and the core's next command is due.
func (e *Edge) attempt(ctx *fasthttp.RequestCtx, x *exchange, d event.Dispatch) bool {
	req, err := e.newRequest(x, d)
	now := e.options.Clock.Now()
	if err != nil || now >= d.Deadline || d.NotAfter != 0 && now+maxDialTime > d.NotAfter {
		e.reportDone(d, event.DispatchResult{Kind: event.ResultNotSent})
		return false
	}
	if call.PeerClosed(rawConn(x.conn)) {
		e.leaveUnsent(x, d)
		return x.request.Idempotent
	}
	if d.LoadStall > 0 && d.Attempt == 1 {
		e.options.Meter.LoadStalled(d.LoadStall.Duration())
	}
	// On a kept connection, a refusal of the first attempt that is written once more would name the
	// request too.
	fresh := !x.request.Idempotent || d.Attempt > 1
	answer, err := e.backend.send(x.ctx, d.Address, req, (d.Deadline - now).Duration(), fresh)
	switch {
	case err != nil && x.isCanceled():
		e.giveUp(x, d)
		return true
	case err != nil:
		e.reportDone(d, event.DispatchResult{Kind: resultOfError(err)})
		return false
	case !matchesRequest(answer, d):
		answer.release()
		e.options.Logger.Warn("answer_of_another_request", "request", d.Request, "backend_server", d.Server)
		e.cancelAt(x, d)
		e.reportDone(d, event.DispatchResult{Kind: event.ResultFailed})
		return false
	case x.request.Streamed && answer.StatusCode == http.StatusOK:
		return e.stream(ctx, x, d, answer)
	}
	defer answer.release()
	return e.forwardBuffered(ctx, x, d, answer)
}

// leaveUnsent ends an attempt whose caller has disconnected before anything was sent. The core
// refuses an action as not executed.
func (e *Edge) leaveUnsent(x *exchange, d event.Dispatch) {
	if !x.request.Idempotent {
		e.reportDone(d, event.DispatchResult{Kind: event.ResultNotRun})
		return
	}
	e.exchanges.remove(x.request.ID)
	e.reportDone(d, event.DispatchResult{Kind: event.ResultCanceled})
}

// giveUp ends an exchange whose caller has disconnected, and cancels the request at the
// engine.
func (e *Edge) giveUp(x *exchange, d event.Dispatch) {
	e.exchanges.remove(x.request.ID)
	e.reportDone(d, event.DispatchResult{Kind: event.ResultCanceled})
	if x.request.Service == "" {
		go e.backend.cancel(d)
	}
}

// cancelAt cancels a request at the engine whose answer did not belong to it, before
// another attempt may use the same id.
func (e *Edge) cancelAt(x *exchange, d event.Dispatch) {
	if x.request.Service == "" && !d.Forward {
		e.backend.cancel(d)
	}
}

// newRequest returns one attempt of x. A request without a service is a model request: its body
// gets the dispatch's model and priority, so that the engine uses the chosen version. The error
// says that the body of a model request can't be rewritten.
func (e *Edge) newRequest(x *exchange, d event.Dispatch) (*conns.Request, error) {
	req := newRequest(x.method, d.Address, x.path, x.body)
	req.Header.Set(HeaderRequestID, string(x.request.ID))
	if x.request.Key != "" {
		req.Header.Set(HeaderKey, x.request.Key)
	}
	req.Header.Set(fasthttp.HeaderContentType, cmp.Or(x.contentType, jsonType))
	if d.Forward {
		e.fillForward(req, x, d)
	}
	if x.request.Service != "" {
		return req, nil
	}
	var err error
	req.Body, err = withModel(x.body, d.Adapter, d.Priority)
	return req, err
}

// withModel returns body with the fields model and priority set. body must not be null, which
// readCompletion refuses because it names no model.
func withModel(body []byte, av units.AdapterVersion, priority units.Priority) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	model, err := json.Marshal(av.String())
	if err != nil {
		return nil, err
	}
	fields["model"] = model
	if fields["priority"], err = json.Marshal(priority); err != nil {
		return nil, err
	}
	return json.Marshal(fields)
}

// reportDone reports to the core how an attempt ended. While the core's queue is full, it
// retries until the edge is closed.
func (e *Edge) reportDone(d event.Dispatch, result event.DispatchResult) {
	e.options.Meter.Attempted(result.Kind.String())
	ev := event.DispatchDone{Request: d.Request, Attempt: d.Attempt, Result: result}
	for !e.options.Submit(ev) {
		select {
		case <-e.closed:
			return
		case <-time.After(time.Millisecond):
		}
	}
}

// forwardBuffered reads an answer in full and forwards it to the caller. It reports false
// if the answer can't be forwarded or says that the request was not executed. In either
// case it reports to the core how the attempt ended.
func (e *Edge) forwardBuffered(ctx *fasthttp.RequestCtx, x *exchange, d event.Dispatch, answer *backendAnswer) bool {
	body, err := answer.readAll()
	switch {
	case err != nil && x.isCanceled():
		e.giveUp(x, d)
		return true
	case err != nil:
		e.reportDone(d, event.DispatchResult{Kind: resultOfError(err)})
		return false
	}
	if kind := notExecutedKind(answer.StatusCode, body); kind != 0 {
		if answer.Header.Get(HeaderRequestID) == "" {
			// It may be the refusal of an earlier request.
			kind = event.ResultFailed
		}
		e.reportDone(d, event.DispatchResult{Kind: kind})
		return false
	}
	if x.request.Service == "" && !forwardable(answer.StatusCode, body, d) {
		e.options.Logger.Warn("engine_failed", "request", d.Request, "backend_server", d.Server, "adapter", d.Adapter, "status", answer.StatusCode)
		e.reportDone(d, event.DispatchResult{Kind: event.ResultFailed})
		return false
	}
	if d.Forward {
		passHeaders(ctx, answer)
	}
	e.countForwarded(d, len(body))
	e.options.Meter.FirstToken(time.Since(x.arrivedAt))
	e.answerHeaders(ctx, x, d)
	ctx.SetStatusCode(answer.StatusCode)
	ctx.SetContentType(answer.Header.Get(fasthttp.HeaderContentType))
	setBody(ctx, body, answer)
	result := event.DispatchResult{Kind: event.ResultServed, CallerGotBytes: true}
	if d.RecordAnswer {
		result.Status, result.ContentType, result.Body = answer.StatusCode, answer.Header.Get(fasthttp.HeaderContentType), body
	}
	e.exchanges.remove(x.request.ID)
	e.reportDone(d, result)
	return true
}

// longBody is the length from which on a body counts as held until the caller has taken it.
const longBody = 64 << 10

// heldBody is a body with its memory, which Close gives back.
type heldBody struct {
	*bytes.Reader
	held *quota.Hold
}

// Close implements io.Closer.
func (b *heldBody) Close() error {
	b.held.Release()
	return nil
}

// setBody sets the body of the answer to the caller, with the memory that answer holds for it.
func setBody(ctx *fasthttp.RequestCtx, body []byte, answer *backendAnswer) {
	if len(body) < longBody {
		ctx.SetBody(body)
		return
	}
	ctx.SetBodyStream(&heldBody{Reader: bytes.NewReader(body), held: answer.held}, len(body))
	answer.held = nil
}

// forwardable reports whether an engine's answer may be forwarded: a completion by the
// requested adapter and version, or an error caused by the request itself.
func forwardable(status int, body []byte, d event.Dispatch) bool {
	if status != fasthttp.StatusOK {
		return status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError && status != statusClientClosed
	}
	var answer struct {
		Model string `json:"model"`
	}
	return json.Unmarshal(body, &answer) == nil && answer.Model == d.Adapter.String()
}

// statusClientClosed is the status that is customary for canceled requests.
const statusClientClosed = 499

func (e *Edge) answerHeaders(ctx *fasthttp.RequestCtx, x *exchange, d event.Dispatch) {
	header := &ctx.Response.Header
	header.Set(HeaderRequestID, string(x.request.ID))
	header.Set(HeaderBackendServer, string(d.Server))
	if d.Adapter.Adapter != "" {
		header.Set(HeaderAdapter, d.Adapter.String())
	}
}
