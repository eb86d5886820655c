package admin

import (
	"encoding/json"
	"testing"

	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// TestEditRefusesBadBodies checks the requests that are refused before they reach the
// core.
func TestEditRefusesBadBodies(t *testing.T) {
	for _, tc := range []struct {
		name        string
		method      string
		contentType string
		body        string
		status      int
		remedy      string
	}{
		{"other method", "GET", editType, "", 405, "use POST"},
		{"form of another origin", "POST", "text/plain", `{"cells":[]}`, 415, "Content-Type: application/json"},
		{"no type", "POST", "", `{"cells":[]}`, 415, "Content-Type: application/json"},
		{"no JSON", "POST", editType, "cells", 400, "POST a JSON object"},
		{"short row", "POST", editType, `{"columns":["base","weight"],"rows":[["braid","m"]]}`, 400, "row 0: give the adapter"},
		{"row without adapter", "POST", editType, `{"columns":["base"],"rows":[[null,"m"]]}`, 400, "row 0: give the adapter"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var ctx fasthttp.RequestCtx
			ctx.Request.Header.SetMethod(tc.method)
			ctx.Request.Header.SetContentType(tc.contentType)
			ctx.Request.SetBodyString(tc.body)
			(&api{}).edit(&ctx, AnonymousOperator)
			must.Eq(t, tc.status, ctx.Response.StatusCode())
			must.StrContains(t, string(ctx.Response.Body()), tc.remedy)
		})
	}
}

// TestRowsAreCells checks that the texts of Rows become cells after those of Cells, with the
// request's ReadAt, and that a null adds no cell.
func TestRowsAreCells(t *testing.T) {
	var request EditRequest
	must.NoError(t, json.Unmarshal([]byte(`{"read_at":6,
		"cells":[{"adapter":"hat","column":"deleted","value":"true","read_at":5}],
		"columns":["weight","callers"],"rows":[["braid","5",null],["lot",null,""]]}`), &request))
	cells, err := request.allCells()
	must.NoError(t, err)
	must.Eq(t, []event.Cell{
		{Adapter: "hat", Column: "deleted", Value: "true", ReadAt: 5},
		{Adapter: "braid", Column: "weight", Value: "5", ReadAt: 6},
		{Adapter: "lot", Column: "callers", Value: "", ReadAt: 6},
	}, cells)
}
