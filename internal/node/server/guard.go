package server

import (
	"runtime/debug"

	"mangostile/internal/base/errs"
	"mangostile/internal/node/render"

	"github.com/valyala/fasthttp"
)

// guard calls f and logs a panic in it, so that one request or event does not end the process,
// which has many others in flight. where names what f handles. It reports whether f returned.
func (s *Server) guard(where string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			s.options.Logger.Error("panic_recovered", "where", where, "cause", cause, "stack", string(debug.Stack()), "remedy", "report this line; the process goes on")
		}
	}()
	f()
	return true
}

// guardHandler returns a handler that answers with an internal error if handler panics. The
// request may have run by then.
func (s *Server) guardHandler(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if s.guard("request", func() { handler(ctx) }) {
			return
		}
		ctx.Response.ResetBody()
		ctx.SetConnectionClose()
		refusal := errs.RefuseUnknown(errs.CodeInternal, "an unexpected error ended the request: look for panic_recovered in the entry VM's log")
		render.JSON(ctx, refusal.Status(), struct {
			Error *errs.Refusal `json:"error"`
		}{refusal})
	}
}
