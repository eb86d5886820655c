package entry

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/owner"

	"github.com/shoenig/test/must"
)

// TestGrantAfterALongLoad checks that a request is still dispatched if its adapter took
// longer to load than a grant's term.
func TestGrantAfterALongLoad(t *testing.T) {
	c, out := startCore(t)
	c.Step(3002, event.RequestArrived{Request: event.Request{
		ID: "r1", Caller: "guild", Adapter: units.AdapterVersion{Adapter: "braid"}, Idempotent: true,
	}}, out)
	load := findOrder(t, out, event.OrderLoad)
	const loadTime = owner.GrantTerm + 2*clock.Second
	for now := clock.Millis(4000); now < 3002+loadTime; now += clock.Second {
		c.Step(now, event.ReportReceived{Server: "engine-1", Report: event.ServerReport{
			Start: "a", Ready: true, Slots: 2, BatchMax: 4, Fence: load.Fence, Loading: []units.AdapterVersion{load.Adapter},
		}, SentAt: now - 1}, out)
	}
	out.Reset()
	c.Step(3002+loadTime, event.OrderDone{Server: "engine-1", Order: load, Result: event.OrderResult{Kind: event.OrderAccepted}, SentAt: 3003}, out)
	var dispatches []event.Dispatch
	for _, effect := range out.List {
		if d, ok := effect.(event.Dispatch); ok {
			dispatches = append(dispatches, d)
		}
	}
	must.Len(t, 1, dispatches)
	must.EqOp(t, 3002+loadTime+owner.GrantTerm, dispatches[0].NotAfter)
}
