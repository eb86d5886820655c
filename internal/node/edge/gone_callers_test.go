package edge

import (
	"fmt"
	"net"
	"testing"
	"time"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
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
