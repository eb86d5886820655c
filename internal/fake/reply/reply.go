// Package reply provides the HTTP server and the error answers of the stand-ins.
package reply

import (
	"encoding/json"

	"mangostile/internal/node/render"

	"github.com/valyala/fasthttp"
)

// Error is the error in the body of an unsuccessful answer.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Ran is "no" if the request certainly did not run.
	Ran string `json:"ran,omitempty"`
}

// Refuse answers with an error body, which says that the request did not run.
func Refuse(ctx *fasthttp.RequestCtx, status int, code, message string) {
	render.JSON(ctx, status, struct {
		Error Error `json:"error"`
	}{Error{Code: code, Message: message, Ran: "no"}})
}

// Decode decodes the JSON body of a request. For an invalid one it answers with status 400
// and reports false.
func Decode(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}
