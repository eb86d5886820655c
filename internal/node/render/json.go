// Package render writes HTTP answers.
package render

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// JSON answers with a status and value as the JSON body. If value can't be encoded, the
// status is 500.
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
