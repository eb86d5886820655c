package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"

	"github.com/cespare/xxhash/v2"
)

// claim raises the server's fencing number above the one that it reported.
func (o *Owner) claim(now clock.Millis, s *server, out *event.Effects) {
	if !s.spec.ChecksFence || s.phase != phaseUnknown || !s.reported || now < s.claimAt {
		return
	}
	s.phase = phaseClaiming
	s.fence = max(s.fence, s.report.Fence) + 1
	o.send(now, s, event.Order{Kind: event.OrderClaim}, out)
}

// renew prolongs the right to a server whose report shows our fencing number. If
// another has raised it, the server is left to that one for a time that doubles
// with each turn, so that two entry VMs with different views do not take it from
// each other without end.
func (o *Owner) renew(now clock.Millis, s *server, ev event.ReportReceived, out *event.Effects) {
	switch {
	case !s.spec.ChecksFence || s.phase != phaseOwned:
	case ev.Report.Fence == s.fence:
		s.renewedAt = max(s.renewedAt, ev.SentAt)
	default:
		if now-s.ownedSince >= peacePeriod {
			s.fights = 0
		}
		s.fights = min(s.fights+1, maxFights)
		s.phase = phaseUnknown
		s.claimAt = now + RetryPeriod<<s.fights + o.jitter(s)
		out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "fencing_number_lost", Pairs: []any{
			"ours", s.fence, "seen", ev.Report.Fence, "back_off", s.claimAt - now,
		}})
	}
}

// maxFights bounds the doubling of the time for which a server is left to
// another owner.
const maxFights = 5

// jitter keeps owners that fight over a server from claiming it in step.
func (o *Owner) jitter(s *server) clock.Millis {
	return clock.Millis(xxhash.Sum64String(string(o.Self)+s.spec.ID) % uint64(RetryPeriod))
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
	s.renewedAt, s.ownedSince = ev.SentAt, now
	if s.fence > 1 {
		s.quietUntil = now + OwnerTerm + GrantTerm
	}
	o.inherit(now, s)
	out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "claimed", Pairs: []any{"fence", s.fence, "quiet_for", max(0, s.quietUntil-now)}})
}
