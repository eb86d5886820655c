package entry

import (
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// startCore returns a core with one adapter and one engine that it owns.
func startCore(t *testing.T) (*Core, *event.Effects) {
	t.Helper()
	self := event.VM{ID: "entry-1", FailureDomain: "galle", Entry: true, State: event.VMLive}
	engine := event.VM{ID: "engine-1", FailureDomain: "galle", Kind: event.KindEngine, Base: "straw-7b", State: event.VMLive, ChecksFence: true, Slots: 2, BatchMax: 4}
	c := New(Config{Self: self, Incarnation: 1, VMs: []event.VM{engine}})
	body, err := msgpack.Marshal(event.Edit{ID: "edit", Cells: []event.Cell{
		{Adapter: "braid", Column: "base", Value: "straw-7b"},
		{Adapter: "braid", Column: "versions", Value: "v1:1"},
		{Adapter: "braid", Column: "callers", Value: "*"},
	}})
	must.NoError(t, err)
	out := &event.Effects{}
	c.Step(1000, event.Tick{}, out)
	c.Step(1001, event.RecordsRead{Stream: event.ConfigStream, Records: []peer.Record{{ID: "edit", Body: body}}, Next: 1, End: 1}, out)
	report := event.ServerReport{Start: "a", Ready: true, Slots: 2, BatchMax: 4}
	c.Step(1002, event.ReportReceived{Server: "engine-1", Report: report, SentAt: 1001}, out)
	claim := findOrder(t, out, event.OrderClaim)
	c.Step(1003, event.OrderDone{Server: "engine-1", Order: claim, Result: event.OrderResult{Kind: event.OrderAccepted}, SentAt: 1002}, out)
	c.Step(3000, event.Tick{}, out)
	report.Fence = claim.Fence
	c.Step(3001, event.ReportReceived{Server: "engine-1", Report: report, SentAt: 3000}, out)
	must.True(t, c.Ready())
	out.Reset()
	return c, out
}

func findOrder(t *testing.T, out *event.Effects, kind event.OrderKind) event.Order {
	t.Helper()
	for _, effect := range out.List {
		if order, ok := effect.(event.OrderServer); ok && order.Order.Kind == kind {
			return order.Order
		}
	}
	t.Fatalf("no order %s among %v", kind, out.List)
	return event.Order{}
}

// TestGrantForServerThatLeftTheList checks that a grant that arrives after its backend
// server was removed is released and nothing is dispatched.
func TestGrantForServerThatLeftTheList(t *testing.T) {
	c, out := startCore(t)
	c.Step(3002, event.RequestArrived{Request: event.Request{
		ID: "r1", Caller: "guild", Adapter: units.AdapterVersion{Adapter: "braid"}, Idempotent: true,
	}}, out)
	load := findOrder(t, out, event.OrderLoad)
	must.Eq(t, units.AdapterVersion{Adapter: "braid", Version: "v1"}, load.Adapter)
	out.Reset()
	c.Router.SetServers(nil)
	c.Step(3200, event.OrderDone{Server: "engine-1", Order: load, Result: event.OrderResult{Kind: event.OrderAccepted}, SentAt: 3003}, out)
	for _, effect := range out.List {
		_, dispatched := effect.(event.Dispatch)
		must.False(t, dispatched)
	}
	must.MapLen(t, 1, c.requests)
}
