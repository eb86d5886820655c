// Package reply holds what all stand-ins need to answer over HTTP.
package reply

import (
	"encoding/json"

	"mangostile/internal/node/render"

	"github.com/valyala/fasthttp"
)

// Error is the body of an answer that is not a success.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Ran is "no" if the request surely did not run.
	Ran string `json:"ran,omitempty"`
}

// Refuse answers with an error body.
func Refuse(ctx *fasthttp.RequestCtx, status int, code, message string) {
	render.JSON(ctx, status, struct {
		Error Error `json:"error"`
	}{Error{Code: code, Message: message, Ran: "no"}})
}

// Decode reads the JSON body of a request. It answers a wrong one and reports
// false.
func Decode(ctx *fasthttp.RequestCtx, value any) bool {
	if err := json.Unmarshal(ctx.PostBody(), value); err != nil {
		Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	return true
}
