package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"
)

// handleFenced ends the ownership of a server that rejected an order because it has seen
// a greater fencing number. The queued requests are refused so that their entry VMs route
// them again.
func (o *Owner) handleFenced(now clock.Millis, s *server, ev event.OrderDone, out *event.Effects) {
	if s.phase != phaseOwned || ev.Order.Fence != s.fence {
		return
	}
	s.phase = phaseUnowned
	s.claimAt = now + RetryPeriod
	out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "order_fenced", Pairs: []any{"ours", s.fence, "seen", ev.Result.Fence}})
	o.refuseQueued(s, out)
}
