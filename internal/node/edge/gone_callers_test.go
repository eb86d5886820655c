package edge

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// TestCallsEndWhenTheirCallersLeave guards against backend servers that work on for callers that
// have left: their connection stayed open until the deadline. Only an action goes on, so that its
// outcome is known.
func TestCallsEndWhenTheirCallersLeave(t *testing.T) {
	const bound = 500 * time.Millisecond
	for _, tc := range []struct {
		name, path, body string
		ends             bool
	}{
		{"idempotent call", "/services/ledger/stock", "{}", true},
		{"completion", "/v1/completions", `{"model":"braid@v1","prompt":"p"}`, true},
		{"stream", "/v1/completions", `{"model":"braid@v1","prompt":"p","stream":true}`, true},
		{"action", "/services/ledger/release", "{}", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			backend := startRaw(t, script{hang: true})
			h := newHarness(t, backend.listener.Addr().String(), Options{})
			h.timeLimit = clock.Second
			conn, err := net.Dial("tcp", h.address)
			must.NoError(t, err)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: k1\r\nContent-Length: %d\r\n\r\n%s", tc.path, HeaderKey, len(tc.body), tc.body)
			must.NoError(t, err)
			waitUntil(t, func() bool { return backend.receivedCount() == 1 })
			must.NoError(t, conn.Close())
			select {
			case <-backend.closed:
				must.True(t, tc.ends)
			case <-time.After(bound):
				must.False(t, tc.ends)
			}
		})
	}
}

// TestNothingIsSentForCallersThatHaveLeft guards against requests that reach a backend server long
// after their callers have left: the entry VM read them late and did not look.
func TestNothingIsSentForCallersThatHaveLeft(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
		want       event.ResultKind
	}{{"idempotent call", true, event.ResultCanceled}, {"action", false, event.ResultNotRun}} {
		t.Run(tc.name, func(t *testing.T) {
			backend := startRaw(t, script{answer: httpAnswer(fasthttp.StatusOK, "<id>", "{}")})
			h := newHarness(t, backend.listener.Addr().String(), Options{})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = listener.Close() }()
			caller, err := net.Dial("tcp", listener.Addr().String())
			must.NoError(t, err)
			conn, err := listener.Accept()
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(caller, "POST")
			must.NoError(t, err)
			must.NoError(t, caller.Close())

			x := newExchange(conn)
			x.method, x.path, x.request.ID, x.request.Service, x.request.Idempotent = fasthttp.MethodPost, "/stock", "r", "ledger", tc.idempotent
			now := h.edge.options.Clock.Now()
			h.edge.attempt(&fasthttp.RequestCtx{}, x, event.Dispatch{Request: "r", Attempt: 1, Address: h.backend, Deadline: now + h.timeLimit})
			must.Eq(t, tc.want, h.result())
			must.Zero(t, backend.receivedCount())
		})
	}
}
