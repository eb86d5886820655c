// Package reply holds what all stand-ins need to answer over HTTP.
package reply

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// JSON answers with a status and a value.
func JSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Error is the body of an answer that is not a success.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Ran is "no" if the request surely did not run.
	Ran string `json:"ran,omitempty"`
}

// Refuse answers with an error body.
func Refuse(ctx *fasthttp.RequestCtx, status int, code, message string) {
	JSON(ctx, status, struct {
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
