// Package admin serves the HTTP API and the page for operators.
package admin

import (
	"context"
	"time"

	"mangostile/internal/node/render"

	"mangostile/internal/base/token"
	"mangostile/internal/core/entry"
	"mangostile/internal/node/server"

	"github.com/valyala/fasthttp"
)

// Options configure the admin API.
type Options struct {
	// Operators holds the operators' names and tokens. If it is empty, no token is
	// required.
	Operators token.Set
}

// AnonymousOperator is the author of edits if the settings list no operators.
const AnonymousOperator = "anonymous"

// api handles the requests to one server.
type api struct {
	options Options
	server  *server.Server
}

// New returns a function that creates the admin API's handler for a server.
func New(options Options) func(*server.Server) fasthttp.RequestHandler {
	return func(s *server.Server) fasthttp.RequestHandler {
		return (&api{options: options, server: s}).handle
	}
}

const queryTimeout = 5 * time.Second

// query runs f on the core's goroutine. If the core doesn't run it within queryTimeout,
// query answers with status 503 and reports false.
func (a *api) query(ctx *fasthttp.RequestCtx, f func(*entry.Core)) bool {
	queryCtx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	if a.server.Query(queryCtx, f) {
		return true
	}
	fail(ctx, fasthttp.StatusServiceUnavailable, "the entry VM is busy: try again")
	return false
}

func (a *api) handle(ctx *fasthttp.RequestCtx) {
	if servePage(ctx) {
		return
	}
	operator, ok := a.operator(ctx)
	if !ok {
		fail(ctx, fasthttp.StatusUnauthorized, "send Authorization: Bearer with a token of the settings' operators")
		return
	}
	switch string(ctx.Path()) {
	case "/admin/table":
		a.showTable(ctx)
	case "/admin/edits":
		a.edit(ctx, operator)
	case "/admin/explain":
		a.explain(ctx)
	case "/admin/history":
		a.history(ctx)
	case "/admin/members":
		a.members(ctx)
	case "/admin/quarantine/lift":
		a.lift(ctx)
	case "/admin/status":
		a.status(ctx)
	default:
		fail(ctx, fasthttp.StatusNotFound, "use /admin/table, /admin/edits, /admin/explain, /admin/history, /admin/members, /admin/quarantine/lift or /admin/status")
	}
}

func (a *api) operator(ctx *fasthttp.RequestCtx) (string, bool) {
	if a.options.Operators.Len() == 0 {
		return AnonymousOperator, true
	}
	return a.options.Operators.Find(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	// Message names the remedy.
	Message string `json:"error"`
}

func fail(ctx *fasthttp.RequestCtx, status int, message string) {
	render.JSON(ctx, status, ErrorResponse{message})
}
