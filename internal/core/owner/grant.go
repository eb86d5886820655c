package owner

import (
	"slices"
	"strconv"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/cespare/xxhash/v2"
)

// Ask handles a request for a grant.
func (o *Owner) Ask(now clock.Millis, from units.EntryVMID, m *peer.GrantAsk, out *event.Effects) {
	s := o.servers[m.Server]
	if s == nil || !s.mayGrant(now) {
		o.reply(from, m, 0, errs.Refuse(errs.CodeNoCapacity, "backend server %s can't take the request now: send it again", m.Server), out)
		return
	}
	o.Popularity.Note(now, m.Adapter)
	if wait := o.Failures.Open(now, m.Adapter); wait > 0 && s.copies[m.Adapter] == nil {
		o.reply(from, m, 0, loadRefusal(m.Adapter, wait), out)
		return
	}
	s.enqueue(now, &ask{GrantAsk: *m, from: from, deadline: now + m.Within, askedAt: now})
	if len(s.asks) > MaxAsks {
		last := s.asks[len(s.asks)-1]
		s.asks = s.asks[:len(s.asks)-1]
		o.reply(last.from, &last.GrantAsk, 0, errs.Refuse(errs.CodeOverloaded, "too many requests wait for backend server %s: send it again later", m.Server).After(clock.Second), out)
	}
	o.serve(now, s, out)
	if s.copies[m.Adapter] == nil {
		o.pump(now, out)
	}
}

// Release gives a grant back or withdraws an ask.
func (o *Owner) Release(now clock.Millis, from units.EntryVMID, m *peer.GrantRelease, out *event.Effects) {
	s := o.servers[m.Server]
	if s == nil {
		return
	}
	if g := s.grants[m.Grant]; g != nil && g.holder == from {
		if m.ServerDied {
			s.noteBroken(now, g)
		} else {
			s.pace.note(now-g.grantedAt, g.tokens)
		}
		o.drop(now, s, g)
	}
	s.asks = slices.DeleteFunc(s.asks, func(a *ask) bool {
		return a.from == from && a.Request == m.Request && a.Attempt == m.Attempt
	})
	o.serve(now, s, out)
	if s.blocked {
		o.pump(now, out)
	}
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
		if g == nil && h.Request == "" {
			continue
		}
		if g == nil {
			g = s.takeOver(from, h)
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

// serve grants what can be granted.
func (o *Owner) serve(now clock.Millis, s *server, out *event.Effects) {
	if !s.mayGrant(now) {
		return
	}
	if o.gathering(now, s) {
		return
	}
	s.chooseIsolated(now)
	s.asks = slices.DeleteFunc(s.asks, func(a *ask) bool {
		return o.tooLate(now, s, a, out) || o.tryGrant(now, s, a, out)
	})
}

// tooLate refuses a request that can't be answered within its deadline any
// more.
func (o *Owner) tooLate(now clock.Millis, s *server, a *ask, out *event.Effects) bool {
	switch {
	case now >= a.deadline:
		o.reply(a.from, &a.GrantAsk, 0, errs.Refuse(errs.CodeDeadline, "the deadline passed while the request waited for adapter %s: allow more time", a.Adapter), out)
	case now+s.pace.expect(a.Tokens) > a.deadline:
		o.reply(a.from, &a.GrantAsk, 0, errs.Refuse(errs.CodeOverloaded, "the answer would come after the deadline: allow more time or send the request again later").After(clock.Second), out)
	default:
		return false
	}
	return true
}

func (o *Owner) tryGrant(now clock.Millis, s *server, a *ask, out *event.Effects) bool {
	c := s.copies[a.Adapter]
	if c == nil || c.loading || c.unloading || len(s.grants) >= s.batchMax() {
		return false
	}
	if s.mustWait(a) {
		return false
	}
	o.lastGrant = max(o.lastGrant+1, o.firstGrant())
	g := &grant{
		number: o.lastGrant, holder: a.from, request: a.Request, attempt: a.Attempt, adapter: a.Adapter, until: now + GrantTerm,
		grantedAt: now, tokens: a.Tokens, fingerprint: a.Fingerprint, isolated: a.Isolated,
	}
	s.grants[g.number] = g
	c.grants++
	c.usedAt = now
	o.replyGranted(now, a, g.number, out)
	return true
}

// firstGrant keeps the grant numbers of different owners and incarnations apart,
// also of two entry VMs that started in the same instant.
func (o *Owner) firstGrant() units.GrantNumber {
	run := xxhash.Sum64String(string(o.Self) + "\x00" + strconv.FormatUint(uint64(o.Incarnation), 10))
	return units.GrantNumber(run >> grantNumberBits << grantNumberBits)
}

func (o *Owner) drop(now clock.Millis, s *server, g *grant) {
	delete(s.grants, g.number)
	if c := s.copies[g.adapter]; c != nil {
		c.grants--
		c.usedAt = now
	}
}
