package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"
)

// claim raises the server's fencing number above the one that it reported.
func (o *Owner) claim(now clock.Millis, s *server, out *event.Effects) {
	if s.phase != phaseUnknown || !s.reported || now < s.claimAt {
		return
	}
	s.phase = phaseClaiming
	s.fence = s.report.Fence + 1
	o.send(now, s, event.Order{Kind: event.OrderClaim}, out)
}

func (o *Owner) send(now clock.Millis, s *server, order event.Order, out *event.Effects) {
	order.Fence = s.fence
	order.Holder = o.Self
	order.NotAfter = now + OwnerTerm
	if order.Kind != event.OrderClaim {
		order.NotAfter = s.renewedAt + OwnerTerm
	}
	out.Add(event.OrderServer{Server: s.id(), Address: s.spec.Address, Order: order})
}

func (o *Owner) claimDone(now clock.Millis, s *server, ev event.OrderDone, out *event.Effects) {
	if s.phase != phaseClaiming || ev.Order.Fence != s.fence {
		return
	}
	if ev.Result.Kind != event.OrderTaken {
		s.phase = phaseUnknown
		s.claimAt = now + RetryPeriod
		return
	}
	s.phase = phaseOwned
	s.renewedAt = ev.SentAt
	if s.fence > 1 {
		s.quietUntil = now + OwnerTerm + GrantTerm
	}
	out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "claimed", Pairs: []any{"fence", s.fence}})
}
