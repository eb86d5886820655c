package homes

import (
	"testing"

	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestCopyAtALeavingServerIsReplaced guards against requests that wait for an adapter whose only
// copy is at a backend server that leaves, as an entry VM heard but the list doesn't show yet.
func TestCopyAtALeavingServerIsReplaced(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1800)
	must.SliceLen(t, 1, f.orders)
	holder := f.orders[0].Server
	f.HandleUsage(1800, "vm0", &peer.UsageReport{Shard: "r", Address: "a", Leaving: []peer.LeavingServer{{Server: holder}}})
	f.SetServers(1810, []*topo.Server{testServer("s1"), testServer("s2")}, testServices(8))
	f.requestLoads(1820, 500, "a1")
	f.run(1820, 2400)
	must.SliceLen(t, 2, f.orders)
	must.NotEq(t, holder, f.orders[1].Server)
	must.Eq(t, OrderLoad, f.orders[1].Kind)
}
