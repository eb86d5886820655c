package edge

import (
	"strconv"

	"mangostile/internal/core/event"
	"mangostile/internal/node/conns"

	"github.com/valyala/fasthttp"
)

// servicesPath is the path prefix of plain services on an entry VM.
const servicesPath = "/services/"

// fillForward turns req into a request to an entry VM of another failure domain.
func (e *Edge) fillForward(req *conns.Request, x *exchange, d event.Dispatch) {
	header := req.Header
	if x.request.Service != "" {
		req.Target = servicesPath + string(x.request.Service) + x.path
	}
	if x.authorization != "" {
		header.Set(fasthttp.HeaderAuthorization, x.authorization)
	}
	header.Set(HeaderForwardedBy, string(e.options.EntryVM))
	header.Set(HeaderDeadline, strconv.FormatInt(int64(d.Deadline-e.options.Clock.Now()), 10))
	if x.request.Priority != 0 {
		header.Set(HeaderPriority, strconv.Itoa(int(x.request.Priority)))
	}
	e.options.Meter.Forwarded(string(d.Link), len(x.body))
}

// countForwarded counts the bytes of an answer that arrived over a link between failure
// domains.
func (e *Edge) countForwarded(d event.Dispatch, bytes int) {
	if d.Forward {
		e.options.Meter.Forwarded(string(d.Link), bytes)
	}
}

// passHeaders copies the headers that only the entry VM that served the request can set.
func passHeaders(ctx *fasthttp.RequestCtx, answer *backendAnswer) {
	for _, name := range []string{headerReplay, fasthttp.HeaderRetryAfter} {
		if value := answer.Header.Get(name); value != "" {
			ctx.Response.Header.Set(name, value)
		}
	}
}

// headerReplay marks the recorded answer of an earlier request with the same idempotency
// key.
const headerReplay = "Idempotent-Replay"
