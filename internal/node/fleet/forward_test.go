package fleet

import (
	"net"
	"net/http"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestNothingIsSentAfterTheDeadline guards against requests that reach a backend server after
// their deadline since the process was stopped, or a dial took long, between the choice of
// the server and the send.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	n := New(Options{Settings: Settings{ID: "vm0"}})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/look/x", nil)
	must.NoError(t, err)
	c := &exchange{node: n, r: request, route: &topo.Route{Kind: topo.KindIdempotent}, req: choose.Request{Deadline: n.clock.Now() - clock.Second}}
	a := attempt{exchange: c, ctx: t.Context(), to: choose.Send{Server: "p0", Address: listener.Addr().String()}}
	end, over := a.run()
	must.Eq(t, choose.EndCanceled, end)
	must.False(t, over)
	must.False(t, a.mayHaveRun)
	conn, err := listener.Accept()
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	received, err := conn.Read(make([]byte, 1))
	must.Zero(t, received)
	must.Error(t, err)
}
