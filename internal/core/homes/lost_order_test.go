package homes

import (
	"testing"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
)

// TestUnansweredLoadIsNotOffered plays a crowd that waits for an adapter while a backend server leaves
// the order to load it without an answer. Entry VMs must not hear of the copy, since they would send
// the whole crowd there for nothing; the adapter is loaded elsewhere within the patience for an order,
// and the next loads go to servers that answer.
func TestUnansweredLoadIsNotOffered(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2", "s3")
	f.requestLoads(1200, 500, "a1")
	lost := f.Step(1200, true).Orders
	must.SliceLen(t, 1, lost)
	var orders []Order
	for now := clock.Millis(1210); now < 1200+500; now += 10 {
		f.requestLoads(now, 500, "a1")
		for _, o := range f.Step(now, true).Orders {
			must.NotEq(t, lost[0].Server, o.Server)
			orders = append(orders, o)
			f.HandleOrderResult(now, o, Taken)
		}
		for _, s := range f.FullUpdate(now, SameRegion, "r", 1).Servers {
			if s.Server == lost[0].Server {
				must.SliceEmpty(t, s.Copies)
			}
		}
	}
	must.SliceLen(t, 1, orders)
	f.HandleOrderResult(1700, lost[0], Lost)
	must.MapEmpty(t, f.servers[lost[0].Server].copies)
	f.run(2150, 2200)
	must.True(t, f.servers[lost[0].Server].synced)
	f.requestLoads(2200, 500, "a2")
	after := f.Step(2200, true).Orders
	must.SliceLen(t, 1, after)
	must.NotEq(t, lost[0].Server, after[0].Server)
}
