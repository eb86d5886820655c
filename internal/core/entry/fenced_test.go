package entry

import (
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// TestFencedLoadIsNotOrderedAgain checks that an owner whose load order was refused for
// its fencing number sends no more orders and lets the request be routed again.
func TestFencedLoadIsNotOrderedAgain(t *testing.T) {
	c, out := startCore(t)
	c.Step(3002, event.RequestArrived{Request: event.Request{
		ID: "r1", Caller: "guild", Adapter: units.AdapterVersion{Adapter: "braid"}, Idempotent: true,
	}}, out)
	load := findOrder(t, out, event.OrderLoad)
	out.Reset()
	fenced := event.OrderResult{Kind: event.OrderFenced, Fence: load.Fence + 1}
	c.Step(3010, event.OrderDone{Server: "engine-1", Order: load, Result: fenced, SentAt: 3003}, out)
	c.Step(3020, event.Tick{}, out)
	for _, effect := range out.List {
		_, ordered := effect.(event.OrderServer)
		must.False(t, ordered, must.Sprintf("%+v", effect))
	}
	must.EqOp(t, stateQueued, c.requests["r1"].state)
}
