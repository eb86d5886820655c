package admin

import (
	"encoding/json"
	"strconv"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/node/render"

	"github.com/valyala/fasthttp"
)

// LiftRequest is the body of POST /admin/quarantine/lift.
type LiftRequest struct {
	// Fingerprint is the request's fingerprint in hexadecimal digits, as in Status.Marks.
	Fingerprint string `json:"fingerprint"`
}

// lift ends the quarantine of a request on all entry VMs.
func (a *api) lift(ctx *fasthttp.RequestCtx) {
	if !requireJSON(ctx) {
		return
	}
	var request LiftRequest
	err := json.Unmarshal(ctx.PostBody(), &request)
	fingerprint, parseErr := strconv.ParseUint(request.Fingerprint, 16, 64)
	if err != nil || parseErr != nil {
		fail(ctx, fasthttp.StatusBadRequest, "give a fingerprint as status shows it")
		return
	}
	if !a.server.Submit(event.QuarantineLifted{Fingerprint: units.Fingerprint(fingerprint)}) {
		fail(ctx, fasthttp.StatusServiceUnavailable, "the entry VM is busy: try again")
		return
	}
	render.JSON(ctx, fasthttp.StatusOK, request)
}
