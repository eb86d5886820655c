package server

import (
	"cmp"
	"io"
	"net"
	"os"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"
	"mangostile/internal/node/door"
	"mangostile/internal/node/edge"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// callersAccount is the account of what callers and operators send.
const callersAccount quota.Owner = "callers"

// doors are the accounts of the listeners of an entry VM.
type doors struct{ serve, admin, peers door.Door }

// openDoors sets the bounds of all listeners.
func (s *Server) openDoors() {
	share := door.NewShare(door.Descriptors(0), s.options.MemoryMB)
	limits := s.options.HTTP.Callers
	limits.Conns = cmp.Or(limits.Conns, share.Callers)
	limits.Patience = cmp.Or(limits.Patience, door.DefaultPatience)
	inner := limits
	inner.Conns = share.Inner
	peers := limits
	peers.Conns, peers.Patience = share.Peers, max(limits.Patience, door.PeersPatience)
	for name, d := range map[string]struct {
		door   *door.Door
		limits door.Limits
	}{"callers": {&s.doors.serve, limits}, "admin": {&s.doors.admin, inner}, "peers": {&s.doors.peers, peers}} {
		d.door.Limits, d.door.Clock, d.door.Logger, d.door.Name = d.limits, s.options.Clock, s.options.Logger, name
		d.door.OnClosed = func(reason string) { s.options.Meter.ClientGaveWay(name, reason) }
		d.door.Memory, d.door.Owner, d.door.Lingers = &s.memory, callersAccount, true
	}
	// Other entry VMs send frames, which package links holds.
	s.doors.peers.Memory, s.doors.peers.Talks, s.doors.peers.Lingers = nil, true, false
	s.memory.GiveWay = s.doors.serve.GiveWay
}

// bodyPrefetch is the part of a body, in bytes, that the HTTP server reads before it calls the handler; it
// can't be 0. A body that is stated as too long is refused then.
const bodyPrefetch = 1

// noMemoryRetryAfter is the retry delay given to callers whose requests' bodies can't be held. Bodies are
// given back as requests end.
const noMemoryRetryAfter = 500 * clock.Millis(1)

// heldBody gives the memory of a request's body back once the HTTP server has written the answer.
type heldBody struct{ *quota.Hold }

// Close implements io.Closer.
func (h heldBody) Close() error {
	h.Release()
	return nil
}

// heldBodyKey is the key of the heldBody of a request.
const heldBodyKey = "held_body"

// withBody returns a handler that reads the body of a request into memory that is held, and calls handler
// with it. A body that is too long, or for which there is no memory, is refused.
func (s *Server) withBody(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	limit := cmp.Or(s.options.HTTP.MaxBody, edge.DefaultMaxBodyBytes)
	return func(ctx *fasthttp.RequestCtx) {
		stream := ctx.RequestBodyStream()
		if stream == nil {
			handler(ctx)
			return
		}
		stated := units.Bytes(ctx.Request.Header.ContentLength())
		if stated == 0 {
			handler(ctx)
			return
		}
		if refusal := s.readBody(ctx, stream, stated, limit); refusal != nil {
			// What is left of the body is not read.
			ctx.SetConnectionClose()
			s.edge.Refuse(ctx, refusal)
			return
		}
		handler(ctx)
	}
}

// readBody replaces the body of a request by what it reads from stream. It returns a refusal if it can't.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, stream io.Reader, stated, limit units.Bytes) *errs.Refusal {
	tooLong := errs.Refuse(errs.CodeBodyTooLarge, "the body is too long: send at most %d bytes", limit)
	if stated > limit {
		return tooLong
	}
	held := s.memory.Hold(callersAccount)
	ctx.SetUserValue(heldBodyKey, heldBody{held})
	if stated > 0 && !held.Fits(stated) {
		return errs.Refuse(errs.CodeOverloaded, "no memory is left for the body: send the request again").WithRetryAfter(noMemoryRetryAfter)
	}
	body, err := held.ReadAll(stream, stated, limit)
	var full *quota.FullError
	var timeout net.Error
	switch {
	case err == nil && stated > 0 && units.Bytes(len(body)) < stated:
		return errs.Refuse(errs.CodeBadRequest, "the body is shorter than its stated length")
	case err == nil:
		ctx.Request.SetBodyRaw(body)
		return nil
	case errors.As(err, &full):
		return errs.Refuse(errs.CodeOverloaded, "no memory is left for the body: send the request again").WithRetryAfter(noMemoryRetryAfter)
	case errors.Is(err, quota.ErrTooLong):
		return tooLong
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return errs.Refuse(errs.CodeBadRequest, "the request did not arrive in time: send it faster")
	default:
		return errs.Refuse(errs.CodeBadRequest, "the body is not HTTP: %v", err)
	}
}
