package edge

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/valyala/fasthttp"
)

// run hands an exchange to the core and follows its commands to the end.
func (e *Edge) run(ctx *fasthttp.RequestCtx, x *exchange) {
	id := x.request.ID
	if !e.exchanges.add(x) {
		writeRefusal(ctx, id, errs.Refuse(errs.CodeBadRequest, "request id %s is in use: leave %s out or choose another", id, HeaderRequestID))
		return
	}
	if !e.options.Submit(event.RequestArrived{Request: x.request}) {
		e.exchanges.remove(id)
		writeRefusal(ctx, id, errs.Refuse(errs.CodeOverloaded, "this entry VM has no room for another request: send it again later").After(clock.Second))
		return
	}
	for command := range x.commands {
		if e.follow(ctx, x, command) {
			return
		}
	}
}

// follow carries out one command. It reports true once the exchange is answered
// or its stream has taken over.
func (e *Edge) follow(ctx *fasthttp.RequestCtx, x *exchange, command event.Effect) bool {
	switch command := command.(type) {
	case event.Dispatch:
		return e.attempt(ctx, x, command)
	case event.Refuse:
		e.exchanges.remove(x.request.ID)
		writeRefusal(ctx, x.request.ID, command.Refusal)
		return true
	case event.Replay:
		e.exchanges.remove(x.request.ID)
		ctx.SetStatusCode(command.Status)
		ctx.SetContentType(command.ContentType)
		ctx.SetBody(command.Body)
		ctx.Response.Header.Set(HeaderRequestID, string(x.request.ID))
		ctx.Response.Header.Set("Idempotent-Replay", "true")
		return true
	default:
		return false
	}
}

// attempt sends the request to a backend server. It reports true once the answer
// is on its way to the caller.
func (e *Edge) attempt(ctx *fasthttp.RequestCtx, x *exchange, d event.Dispatch) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	if err := fillRequest(req, x, d); err != nil {
		fasthttp.ReleaseResponse(resp)
		e.done(d, event.DispatchResult{Kind: event.ResultNotSent})
		return false
	}
	now := e.options.Clock.Now()
	if d.NotAfter != 0 && now > d.NotAfter {
		fasthttp.ReleaseResponse(resp)
		e.done(d, event.DispatchResult{Kind: event.ResultNotSent})
		return false
	}
	err := e.client.DoDeadline(req, resp, time.Now().Add((d.Deadline - now).Duration()))
	if err != nil {
		fasthttp.ReleaseResponse(resp)
		e.done(d, event.DispatchResult{Kind: resultOfError(err)})
		return false
	}
	if x.request.Streamed && resp.StatusCode() == fasthttp.StatusOK {
		e.stream(ctx, x, d, resp)
		return true
	}
	defer fasthttp.ReleaseResponse(resp)
	return e.whole(ctx, x, d, resp)
}

func fillRequest(req *fasthttp.Request, x *exchange, d event.Dispatch) error {
	req.Header.SetMethod(x.method)
	req.SetRequestURI("http://" + d.Address + x.path)
	req.Header.Set(HeaderRequestID, string(x.request.ID))
	if x.request.Key != "" {
		req.Header.Set(HeaderKey, x.request.Key)
	}
	req.Header.SetContentType("application/json")
	if x.request.Service != "" {
		req.SetBody(x.body)
		return nil
	}
	body, err := withModel(x.body, d.Adapter, d.Priority)
	req.SetBody(body)
	return err
}

// withModel returns the body with model and priority set.
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

func (e *Edge) done(d event.Dispatch, result event.DispatchResult) {
	ev := event.DispatchDone{Request: d.Request, Attempt: d.Attempt, Result: result}
	for !e.options.Submit(ev) {
		time.Sleep(time.Millisecond)
	}
}

func resultOfError(err error) event.ResultKind {
	var opError *net.OpError
	switch {
	case errors.As(err, &opError) && opError.Op == "dial", errors.Is(err, fasthttp.ErrDialTimeout), errors.Is(err, fasthttp.ErrNoFreeConns):
		return event.ResultNotSent
	case errors.Is(err, fasthttp.ErrTimeout):
		return event.ResultTimeout
	default:
		return event.ResultBroken
	}
}

// whole reads a whole answer and passes it on.
func (e *Edge) whole(ctx *fasthttp.RequestCtx, x *exchange, d event.Dispatch, resp *fasthttp.Response) bool {
	body, err := readAll(resp)
	if err != nil {
		e.done(d, event.DispatchResult{Kind: resultOfError(err)})
		return false
	}
	if kind := refusedKind(resp.StatusCode(), body); kind != 0 {
		e.done(d, event.DispatchResult{Kind: kind})
		return false
	}
	e.answerHeaders(ctx, x, d)
	ctx.SetStatusCode(resp.StatusCode())
	ctx.SetContentTypeBytes(resp.Header.ContentType())
	ctx.SetBody(body)
	result := event.DispatchResult{Kind: event.ResultServed, CallerGotBytes: true}
	if d.RecordAnswer {
		result.Status, result.ContentType, result.Body = resp.StatusCode(), string(resp.Header.ContentType()), body
	}
	e.exchanges.remove(x.request.ID)
	e.done(d, result)
	return true
}

func readAll(resp *fasthttp.Response) ([]byte, error) {
	stream := resp.BodyStream()
	if stream == nil {
		return append([]byte(nil), resp.Body()...), nil
	}
	body, err := io.ReadAll(stream)
	if closeErr := resp.CloseBodyStream(); err == nil {
		err = closeErr
	}
	return body, err
}

// refusedKind returns what an answer says if the backend server did not run the
// request, and 0 otherwise.
func refusedKind(status int, body []byte) event.ResultKind {
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

func (e *Edge) answerHeaders(ctx *fasthttp.RequestCtx, x *exchange, d event.Dispatch) {
	header := &ctx.Response.Header
	header.Set(HeaderRequestID, string(x.request.ID))
	header.Set(HeaderBackendServer, string(d.Server))
	if d.Adapter.Adapter != "" {
		header.Set(HeaderAdapter, d.Adapter.String())
	}
}

// stream passes a streamed answer on as it comes.
func (e *Edge) stream(ctx *fasthttp.RequestCtx, x *exchange, d event.Dispatch, resp *fasthttp.Response) {
	e.answerHeaders(ctx, x, d)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer fasthttp.ReleaseResponse(resp)
		defer e.exchanges.remove(x.request.ID)
		kind := e.copyStream(w, x, d, resp)
		e.done(d, event.DispatchResult{Kind: kind, CallerGotBytes: true})
		if kind != event.ResultServed && kind != event.ResultCanceled {
			e.endBrokenStream(w, x)
		}
	})
}

var streamEnd = []byte("data: [DONE]")

// copyStream copies lines until the stream's end mark.
func (e *Edge) copyStream(w *bufio.Writer, x *exchange, d event.Dispatch, resp *fasthttp.Response) event.ResultKind {
	defer func() { _ = resp.CloseBodyStream() }()
	r := bufio.NewReader(resp.BodyStream())
	started := false
	for {
		line, err := r.ReadSlice('\n')
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event.ResultBroken
		}
		_, _ = w.Write(line)
		if len(line) > 1 {
			if bytes.HasPrefix(line, streamEnd) {
				_, _ = w.WriteString("\n")
				if w.Flush() != nil {
					return event.ResultCanceled
				}
				return event.ResultServed
			}
			continue
		}
		if w.Flush() != nil || x.isCanceled() {
			return event.ResultCanceled
		}
		if !started {
			started = true
			e.options.Submit(event.DispatchStarted{Request: d.Request, Attempt: d.Attempt})
		}
	}
}

func (x *exchange) isCanceled() bool {
	select {
	case <-x.canceled:
		return true
	default:
		return false
	}
}

// endBrokenStream tells the caller of a stream that broke off why.
func (e *Edge) endBrokenStream(w *bufio.Writer, x *exchange) {
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	refusal := errs.RefuseUnknown(errs.CodeServerFailed, "the backend server broke off the answer: send the request again")
	select {
	case command := <-x.commands:
		if refuse, ok := command.(event.Refuse); ok {
			refusal = refuse.Refusal
		}
	case <-timer.C:
	}
	body, err := json.Marshal(refusalBody{Error: refusal, RequestID: x.request.ID})
	if err != nil {
		return
	}
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	_ = w.Flush()
}
