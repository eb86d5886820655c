package admin

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/node/render"
	"mangostile/internal/node/server"

	"github.com/valyala/fasthttp"
)

// Explanation is the answer to GET /admin/explain?request=ID.
type Explanation struct {
	EntryVM units.EntryVMID       `json:"entry_vm"`
	Request units.RequestID       `json:"request"`
	Lines   []server.DecisionLine `json:"lines"`
	// OldestMillis is the wall clock of the oldest stored line of any request, in ms since
	// the Unix epoch, or 0 if there is none.
	OldestMillis clock.Millis `json:"oldest_ms"`
}

func (a *api) explain(ctx *fasthttp.RequestCtx) {
	answer := Explanation{Request: units.RequestID(ctx.QueryArgs().Peek("request"))}
	if answer.Request == "" {
		fail(ctx, fasthttp.StatusBadRequest, "name a request: /admin/explain?request=ID")
		return
	}
	if !a.query(ctx, func(c *entry.Core) { answer.EntryVM = c.Members.SelfID() }) {
		return
	}
	answer.Lines, answer.OldestMillis = a.server.Explain(answer.Request)
	render.JSON(ctx, fasthttp.StatusOK, answer)
}
