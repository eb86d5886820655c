package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"

	"github.com/cespare/xxhash/v2"
)

// claim claims a reported server that checks fencing numbers and is not owned: it orders
// the server to raise its number above all that were seen.
func (o *Owner) claim(now clock.Millis, s *server, out *event.Effects) {
	if !s.spec.ChecksFence || s.phase != phaseUnowned || !s.reported || now < s.claimAt {
		return
	}
	s.phase = phaseClaiming
	s.fence = max(s.fence, s.report.Fence) + 1
	o.sendOrder(now, s, event.Order{Kind: event.OrderClaim}, out)
}

// renewOwnership extends the ownership of a server whose report shows our fencing number.
// The term counts from ev.SentAt, the earliest instant that the report can describe. With
// any other number, usually one that another entry VM raised, the ownership ends and the
// next claim is delayed. The delay doubles with each conflict, so that two entry VMs with
// different views do not claim the server from each other endlessly.
func (o *Owner) renewOwnership(now clock.Millis, s *server, ev event.ReportReceived, out *event.Effects) {
	switch {
	case !s.spec.ChecksFence || s.phase != phaseOwned:
	case ev.Report.Fence == s.fence:
		s.renewedAt = max(s.renewedAt, ev.SentAt)
	default:
		if now-s.ownedSince >= conflictResetPeriod {
			s.claimConflicts = 0
		}
		s.claimConflicts = min(s.claimConflicts+1, maxClaimConflicts)
		s.phase = phaseUnowned
		s.claimAt = now + RetryPeriod<<s.claimConflicts + o.jitter(s)
		out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "fencing_number_lost", Pairs: []any{
			"ours", s.fence, "seen", ev.Report.Fence, "back_off", s.claimAt - now,
		}})
	}
}

// maxClaimConflicts bounds the doublings of the claim delay.
const maxClaimConflicts = 5

// jitter returns a delay, up to RetryPeriod, that keeps entry VMs with conflicting claims
// from claiming a server at the same time.
func (o *Owner) jitter(s *server) clock.Millis {
	return clock.Millis(xxhash.Sum64String(string(o.Self)+s.spec.ID) % uint64(RetryPeriod))
}

// sendOrder sends an order to s with our fencing number. The order is not sent once the
// ownership has ended; a claim, which precedes it, is sent at most OwnerTerm from now.
func (o *Owner) sendOrder(now clock.Millis, s *server, order event.Order, out *event.Effects) {
	order.Number = o.nextOrder
	o.nextOrder++
	order.Fence = s.fence
	order.Holder = o.Self
	order.NotAfter = now + OwnerTerm
	if order.Kind != event.OrderClaim {
		order.NotAfter = s.renewedAt + OwnerTerm
	}
	out.Add(event.OrderServer{Server: s.id(), Address: s.spec.Address, Order: order})
}

// claimDone applies the result of a claim. Unless the server had no owner before, its
// earlier owner's grants may still be valid, so that nothing is evicted at first.
func (o *Owner) claimDone(now clock.Millis, s *server, ev event.OrderDone, out *event.Effects) {
	if s.phase != phaseClaiming || ev.Order.Fence != s.fence {
		return
	}
	if ev.Result.Kind != event.OrderAccepted {
		s.phase = phaseUnowned
		s.claimAt = now + RetryPeriod
		return
	}
	s.phase = phaseOwned
	s.renewedAt, s.ownedSince = ev.SentAt, now
	if s.fence > 1 {
		s.noEvictUntil = now + OwnerTerm + GrantTerm
	}
	o.applyHandover(now, s)
	out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "claimed", Pairs: []any{"fence", s.fence, "quiet_for", max(0, s.noEvictUntil-now)}})
}
