package owner

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// Ask handles a request for a grant.
func (o *Owner) Ask(now clock.Millis, from units.EntryVMID, m *peer.GrantAsk, out *event.Effects) {
	s := o.servers[m.Server]
	if s == nil || !s.mayGrant(now) || len(s.asks) >= MaxAsks {
		o.reply(from, m, 0, errs.Refuse(errs.CodeNoCapacity, "backend server %s can't take the request now: send it again", m.Server), out)
		return
	}
	s.asks = append(s.asks, &ask{GrantAsk: *m, from: from, deadline: now + m.Within, askedAt: now})
	o.serve(now, s, out)
}

// Release gives a grant back or withdraws an ask.
func (o *Owner) Release(now clock.Millis, from units.EntryVMID, m *peer.GrantRelease, out *event.Effects) {
	s := o.servers[m.Server]
	if s == nil {
		return
	}
	if g := s.grants[m.Grant]; g != nil && g.holder == from {
		o.drop(now, s, g)
	}
	s.asks = slices.DeleteFunc(s.asks, func(a *ask) bool {
		return a.from == from && a.Request == m.Request && a.Attempt == m.Attempt
	})
	o.serve(now, s, out)
}

// Renew prolongs the grants that from still uses and takes over those that an
// earlier owner gave.
func (o *Owner) Renew(now clock.Millis, from units.EntryVMID, held []peer.HeldGrant) {
	for i := range held {
		h := &held[i]
		s := o.servers[h.Server]
		if s == nil {
			continue
		}
		g := s.grants[h.Grant]
		if g == nil {
			g = &grant{number: h.Grant, holder: from, request: h.Request, attempt: h.Attempt, adapter: h.Adapter}
			s.grants[h.Grant] = g
			s.copy(h.Adapter).grants++
		}
		g.until = now + GrantTerm
	}
}

func (o *Owner) reply(to units.EntryVMID, m *peer.GrantAsk, number units.GrantNumber, refusal *errs.Refusal, out *event.Effects) {
	out.Add(event.SendPeer{To: to, Message: &peer.GrantReply{
		Request: m.Request, Attempt: m.Attempt, Server: m.Server, Grant: number, Term: GrantTerm, Refusal: refusal,
	}})
}

// replyGranted gives a grant. Its term counts from the ask, since the asker knows
// no other instant that is surely not later than the grant.
func (o *Owner) replyGranted(now clock.Millis, a *ask, number units.GrantNumber, out *event.Effects) {
	out.Add(event.SendPeer{To: a.from, Message: &peer.GrantReply{
		Request: a.Request, Attempt: a.Attempt, Server: a.Server, Grant: number, Term: now - a.askedAt + GrantTerm,
	}})
}

func (o *Owner) refuseAsks(s *server, out *event.Effects) {
	for _, a := range s.asks {
		o.reply(a.from, &a.GrantAsk, 0, errs.Refuse(errs.CodeNoCapacity, "backend server %s is going away: send the request again", s.spec.ID), out)
	}
	s.asks = nil
}

// serve grants what can be granted and starts the loads that asks wait for.
func (o *Owner) serve(now clock.Millis, s *server, out *event.Effects) {
	if !s.mayGrant(now) {
		return
	}
	waiting := s.asks
	s.asks = nil
	for _, a := range waiting {
		switch {
		case now >= a.deadline:
			o.reply(a.from, &a.GrantAsk, 0, errs.Refuse(errs.CodeDeadline, "the deadline passed while the request waited for adapter %s: allow more time", a.Adapter), out)
		case o.tryGrant(now, s, a, out):
		default:
			s.asks = append(s.asks, a)
			o.tryLoad(now, s, a.Adapter, out)
		}
	}
}

func (o *Owner) tryGrant(now clock.Millis, s *server, a *ask, out *event.Effects) bool {
	c := s.copies[a.Adapter]
	if c == nil || c.loading || c.unloading || len(s.grants) >= s.batchMax() {
		return false
	}
	if a.Isolated && len(s.grants) > 0 {
		return false
	}
	o.lastGrant = max(o.lastGrant+1, units.GrantNumber(o.Incarnation)<<grantNumberBits)
	g := &grant{
		number: o.lastGrant, holder: a.from, request: a.Request, attempt: a.Attempt, adapter: a.Adapter, until: now + GrantTerm,
	}
	s.grants[g.number] = g
	c.grants++
	c.usedAt = now
	o.replyGranted(now, a, g.number, out)
	return true
}

func (o *Owner) drop(now clock.Millis, s *server, g *grant) {
	delete(s.grants, g.number)
	if c := s.copies[g.adapter]; c != nil {
		c.grants--
		c.usedAt = now
	}
}
