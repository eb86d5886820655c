package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"
)

// fencedOff gives up the right to a server that has seen a greater fencing number,
// as an order shows. The requests that wait for it are refused, so that their
// holders route anew.
func (o *Owner) fencedOff(now clock.Millis, s *server, ev event.OrderDone, out *event.Effects) {
	if s.phase != phaseOwned || ev.Order.Fence != s.fence {
		return
	}
	s.phase = phaseUnknown
	s.claimAt = now + RetryPeriod
	out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "order_fenced", Pairs: []any{"ours", s.fence, "seen", ev.Result.Fence}})
	o.refuseAsks(s, out)
}
