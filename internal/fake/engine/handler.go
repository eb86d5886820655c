package engine

import (
	"context"
	"errors"
	"time"

	"mangostile/internal/node/render"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/reply"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

const loadTimeout = 60 * clock.Second

const headerRequestID = "X-Request-Id"

// Handle serves the engine's HTTP protocol.
func (e *Engine) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/completions", "/v1/chat/completions":
		e.handleCompletion(ctx)
	case "/v1/cancel":
		e.handleCancel(ctx)
	case "/v1/resume":
		e.handleResume(ctx)
	case "/v1/orders":
		e.handleOrder(ctx)
	case "/v1/report":
		render.JSON(ctx, fasthttp.StatusOK, e.Report())
	case "/v1/cache_events":
		render.JSON(ctx, fasthttp.StatusOK, e.CacheEvents(int64(ctx.QueryArgs().GetUintOrZero("after"))))
	case "/counters":
		render.JSON(ctx, fasthttp.StatusOK, e.Counters())
	case "/runs":
		render.JSON(ctx, fasthttp.StatusOK, e.Started())
	case "/fault":
		e.handleFault(ctx)
	default:
		reply.Refuse(ctx, fasthttp.StatusNotFound, "not_found", "no such path")
	}
}

func (e *Engine) handleFault(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if reply.Decode(ctx, &faults) {
		e.SetFaults(faults)
		render.JSON(ctx, fasthttp.StatusOK, faults)
	}
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order event.Order
	if !reply.Decode(ctx, &order) {
		return
	}
	loadCtx, cancel := context.WithTimeout(context.Background(), loadTimeout.Duration())
	defer cancel()
	err := e.Order(loadCtx, order)
	fence := struct {
		Fence units.Fence `json:"fence"`
	}{e.Report().Fence}
	var refused *RefusedError
	switch {
	case err == nil:
		render.JSON(ctx, fasthttp.StatusOK, fence)
	case errors.As(err, &refused) && refused.Code == CodeFenced:
		render.JSON(ctx, fasthttp.StatusConflict, fence)
	default:
		reply.Refuse(ctx, fasthttp.StatusBadRequest, "refused", err.Error())
	}
}

func (e *Engine) handleCancel(ctx *fasthttp.RequestCtx) {
	var request struct {
		RequestID units.RequestID `json:"request_id"`
	}
	if !reply.Decode(ctx, &request) {
		return
	}
	render.JSON(ctx, fasthttp.StatusOK, struct {
		Canceled bool `json:"canceled"`
	}{e.Cancel(request.RequestID)})
}

// handleResume continues a stream whose connection broke.
func (e *Engine) handleResume(ctx *fasthttp.RequestCtx) {
	var request struct {
		RequestID units.RequestID `json:"request_id"`
		// From is the number of tokens that the caller has received.
		From int  `json:"from"`
		Chat bool `json:"chat"`
	}
	if !reply.Decode(ctx, &request) {
		return
	}
	e.mu.Lock()
	r := e.runs[request.RequestID]
	if r != nil {
		e.counters.Resumed++
	}
	e.mu.Unlock()
	if r == nil || request.From < 0 {
		render.JSON(ctx, fasthttp.StatusNotFound, struct {
			Error reply.Error `json:"error"`
		}{reply.Error{Code: "unknown_request", Message: "the request is not here any more"}})
		return
	}
	r.follow(1)
	ctx.Response.Header.Set(headerRequestID, string(r.work.ID))
	e.streamAnswer(ctx, r, request.Chat, request.From)
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if !reply.Decode(ctx, &request) {
		return
	}
	chat := string(ctx.Path()) == "/v1/chat/completions"
	id := units.RequestID(ctx.Request.Header.Peek(headerRequestID))
	if id == "" {
		id = units.RequestID(uuid.NewString())
	}
	ctx.Response.Header.Set(headerRequestID, string(id))
	r, err := e.submit(request.work(id))
	if err != nil {
		refuse(ctx, err)
		return
	}
	faults := e.activeFaults()
	r.follow(1)
	if request.Stream {
		e.streamCompletion(ctx, r, chat, faults)
		return
	}
	e.wholeCompletion(ctx, r, chat, faults)
}

func (e *Engine) wholeCompletion(ctx *fasthttp.RequestCtx, r *run, chat bool, faults Faults) {
	_, err := r.wait()
	if err == nil {
		r = e.applyFaults(r, faults)
	}
	tokens, lateErr := r.wait()
	if err == nil {
		err = lateErr
	}
	if err != nil || faults.LoseAnswers {
		e.breakOff(ctx, err)
		return
	}
	ctx.Response.Header.Set(headerRequestID, string(r.work.ID))
	render.JSON(ctx, fasthttp.StatusOK, wholeAnswer(r.work, chat, tokens))
}

func (e *Engine) streamCompletion(ctx *fasthttp.RequestCtx, r *run, chat bool, faults Faults) {
	if _, _, err := r.token(0); err != nil {
		e.unfollow(r)
		e.breakOff(ctx, err)
		return
	}
	if other := e.applyFaults(r, faults); other != r {
		other.follow(1)
		e.unfollow(r)
		r = other
	}
	ctx.Response.Header.Set(headerRequestID, string(r.work.ID))
	e.streamAnswer(ctx, r, chat, 0)
}

// applyFaults delays an answer and swaps it with another one, as faults specify.
func (e *Engine) applyFaults(r *run, faults Faults) *run {
	time.Sleep(faults.DelayMillis.Duration())
	if faults.CrossAnswers {
		return e.answerSwapper.swap(r)
	}
	return r
}

// refuse answers a request that submit refused.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		reply.Refuse(ctx, fasthttp.StatusInternalServerError, "internal", err.Error())
		return
	}
	status := fasthttp.StatusServiceUnavailable
	switch refused.Code {
	case CodeAdapterMissing:
		status = fasthttp.StatusNotFound
	case CodeDuplicate:
		status = fasthttp.StatusConflict
	}
	reply.Refuse(ctx, status, refused.Code, refused.Message)
}

// breakOff ends a request that ran and has no answer to send: with an error body if it
// was canceled, else by closing the connection.
func (e *Engine) breakOff(ctx *fasthttp.RequestCtx, err error) {
	if !errors.Is(err, errCanceled) {
		_ = ctx.Conn().Close()
		return
	}
	render.JSON(ctx, statusCanceled, struct {
		Error reply.Error `json:"error"`
	}{reply.Error{Code: CodeCanceled, Message: err.Error()}})
}

// statusCanceled is the customary status of a request whose client disconnected.
const statusCanceled = 499
