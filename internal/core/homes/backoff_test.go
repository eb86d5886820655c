package homes

import (
	"testing"

	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// TestCopyInBackoffIsLoadedElsewhere guards against requests that wait for the end of a back-off
// because the placer counts the copy at a backend server that asked for it. The load is one adapter
// that is requested all the time.
func TestCopyInBackoffIsLoadedElsewhere(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1800)
	must.SliceLen(t, 1, f.orders)
	holder := f.orders[0].Server
	f.HandleUsage(1800, "vm0", &peer.UsageReport{Shard: "r", Address: "a", Backoffs: []peer.ServerBackoff{{Server: holder, StartedAt: 7, Remaining: 3000}}})
	f.requestLoads(1820, 500, "a1")
	f.run(1820, 2400)
	must.SliceLen(t, 1, f.orders, must.Sprint("the back-off is that of an earlier process"))
	f.HandleUsage(2400, "vm0", &peer.UsageReport{Shard: "r", Address: "a", Backoffs: []peer.ServerBackoff{{Server: holder, Remaining: 3000}}})
	f.requestLoads(2420, 500, "a1", "a2")
	f.run(2420, 3000)
	must.SliceLen(t, 3, f.orders)
	for _, o := range f.orders[1:] {
		must.NotEq(t, holder, o.Server)
		must.Eq(t, OrderLoad, o.Kind)
	}
}
