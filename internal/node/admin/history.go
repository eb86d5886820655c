package admin

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/table"
	"mangostile/internal/node/render"

	"github.com/valyala/fasthttp"
)

// History is the answer to GET /admin/history.
type History struct {
	Revision units.Offset `json:"revision"`
	// Edits holds the most recent edits, accepted or refused, oldest first.
	Edits []table.HistoryEntry `json:"edits"`
}

func (a *api) history(ctx *fasthttp.RequestCtx) {
	var answer History
	if a.query(ctx, func(c *entry.Core) { answer.Revision, answer.Edits = c.Table.Next(), c.Table.History() }) {
		render.JSON(ctx, fasthttp.StatusOK, answer)
	}
}
