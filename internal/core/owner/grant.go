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

// RequestGrant queues a grant request. It refuses the request if no grants can be given on
// the server now, or if the version is not loaded and its loads keep failing. If the queue
// exceeds MaxQueued, the request with the last rank is refused.
func (o *Owner) RequestGrant(now clock.Millis, from units.EntryVMID, m *peer.GrantRequest, out *event.Effects) {
	s := o.servers[m.Server]
	if s == nil || !s.mayGrant(now) {
		o.reply(from, m, 0, errs.Refuse(errs.CodeNoCapacity, "backend server %s can't take the request now: send it again", m.Server), out)
		return
	}
	o.Popularity.Record(now, m.Adapter)
	if wait := o.Failures.OpenRemaining(now, m.Adapter); wait > 0 && s.copies[m.Adapter] == nil {
		o.reply(from, m, 0, loadRefusal(m.Adapter, wait), out)
		return
	}
	s.enqueue(now, &queuedRequest{GrantRequest: *m, from: from, deadline: now + m.Remaining, receivedAt: now})
	if len(s.queue) > MaxQueued {
		last := s.queue[len(s.queue)-1]
		s.queue = s.queue[:len(s.queue)-1]
		o.reply(last.from, &last.GrantRequest, 0, errs.Refuse(errs.CodeOverloaded, "too many requests wait for backend server %s: send it again later", m.Server).WithRetryAfter(clock.Second), out)
	}
	o.serve(now, s, out)
	if s.copies[m.Adapter] == nil {
		o.startLoads(now, out)
	}
}

// Release ends a grant or withdraws a queued request.
func (o *Owner) Release(now clock.Millis, from units.EntryVMID, m *peer.GrantRelease, out *event.Effects) {
	s := o.servers[m.Server]
	if s == nil {
		return
	}
	if g := s.grants[m.Grant]; g != nil && g.holder == from {
		if m.ServerDied {
			s.recordBroken(now, g)
		} else {
			s.pace.record(now-g.grantedAt, g.tokens)
		}
		o.removeGrant(now, s, g)
	}
	s.queue = slices.DeleteFunc(s.queue, func(req *queuedRequest) bool {
		return req.from == from && req.Request == m.Request && req.Attempt == m.Attempt
	})
	o.serve(now, s, out)
	if s.loadBlocked {
		o.startLoads(now, out)
	}
}

// Renew extends the grants that from still holds, and adopts those that an earlier owner
// gave.
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
			g = s.adoptGrant(from, h)
		}
		g.until = now + GrantTerm
	}
}

func (o *Owner) reply(to units.EntryVMID, m *peer.GrantRequest, number units.GrantNumber, refusal *errs.Refusal, out *event.Effects) {
	out.Add(event.SendPeer{To: to, Message: &peer.GrantReply{
		Request: m.Request, Attempt: m.Attempt, Server: m.Server, Grant: number, Term: GrantTerm, Refusal: refusal,
	}})
}

// replyGranted sends a grant. The requester counts its term from the grant request, the
// only instant known to it that is certainly not later than the grant.
func (o *Owner) replyGranted(now clock.Millis, req *queuedRequest, number units.GrantNumber, out *event.Effects) {
	out.Add(event.SendPeer{To: req.from, Message: &peer.GrantReply{
		Request: req.Request, Attempt: req.Attempt, Server: req.Server, Grant: number, Term: now - req.receivedAt + GrantTerm,
	}})
}

func (o *Owner) refuseQueued(s *server, out *event.Effects) {
	for _, req := range s.queue {
		o.reply(req.from, &req.GrantRequest, 0, errs.Refuse(errs.CodeNoCapacity, "backend server %s is going away: send the request again", s.spec.ID), out)
	}
	s.queue = nil
}

// serve grants the queued requests that can run now and refuses those that are too late. It
// does neither while no grants can be given on s or gathering reports true.
func (o *Owner) serve(now clock.Millis, s *server, out *event.Effects) {
	if !s.mayGrant(now) {
		return
	}
	if o.gathering(now, s) {
		return
	}
	s.chooseIsolated(now)
	s.queue = slices.DeleteFunc(s.queue, func(req *queuedRequest) bool {
		return o.refuseLate(now, s, req, out) || o.tryGrant(now, s, req, out)
	})
}

// refuseLate refuses a request that can no longer be answered before its deadline. It
// reports whether it did.
func (o *Owner) refuseLate(now clock.Millis, s *server, req *queuedRequest, out *event.Effects) bool {
	switch {
	case now >= req.deadline:
		o.reply(req.from, &req.GrantRequest, 0, errs.Refuse(errs.CodeDeadline, "the deadline passed while the request waited for adapter %s: allow more time", req.Adapter), out)
	case now+s.pace.minDuration(req.Tokens) > req.deadline:
		o.reply(req.from, &req.GrantRequest, 0, errs.Refuse(errs.CodeOverloaded, "the answer would come after the deadline: allow more time or send the request again later").WithRetryAfter(clock.Second), out)
	default:
		return false
	}
	return true
}

// tryGrant grants a request if its adapter is loaded and the batch has a free place. It
// reports whether it did.
func (o *Owner) tryGrant(now clock.Millis, s *server, req *queuedRequest, out *event.Effects) bool {
	c := s.copies[req.Adapter]
	if c == nil || c.loading || c.unloading || len(s.grants) >= s.batchMax() {
		return false
	}
	if s.waitsForIsolation(req) {
		return false
	}
	o.lastGrantNumber = max(o.lastGrantNumber+1, o.firstGrantNumber())
	g := &grant{
		number: o.lastGrantNumber, holder: req.from, request: req.Request, attempt: req.Attempt, adapter: req.Adapter, until: now + GrantTerm,
		grantedAt: now, tokens: req.Tokens, fingerprint: req.Fingerprint, isolated: req.Isolated,
	}
	s.grants[g.number] = g
	c.grants++
	c.usedAt = now
	o.replyGranted(now, req, g.number, out)
	return true
}

// firstGrantNumber returns the first grant number of this incarnation. Its upper bits differ
// between owners and incarnations, even if two entry VMs started at the same instant.
func (o *Owner) firstGrantNumber() units.GrantNumber {
	hash := xxhash.Sum64String(string(o.Self) + "\x00" + strconv.FormatUint(uint64(o.Incarnation), 10))
	return units.GrantNumber(hash >> grantNumberBits << grantNumberBits)
}

// removeGrant removes a grant that was released.
func (o *Owner) removeGrant(now clock.Millis, s *server, g *grant) {
	delete(s.grants, g.number)
	if c := s.copies[g.adapter]; c != nil {
		c.grants--
		c.usedAt = now
	}
}
