package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/retry"
	"mangostile/internal/core/route"

	"github.com/cespare/xxhash/v2"
)

// sendToOtherDomain sends a request to another failure domain if this one can't serve it
// or has not loaded the adapter. It reports whether the request was sent.
func (c *Core) sendToOtherDomain(r *request, choice route.Choice, out *event.Effects) bool {
	return choice.Server == nil && c.forward(r, c.Router.HasEngine(r.row.Base), out) || choice.Absent && c.sendToHomeDomain(r, out)
}

// requestGrant chooses a backend server and requests a grant from its owner, or forwards
// the request to another failure domain. It refuses a quarantined request. If no server
// can be chosen, the request is queued and retried after a backoff. At its first attempt,
// a request with priority 0 or less is refused if the queue would outlast its deadline.
func (c *Core) requestGrant(r *request, out *event.Effects) {
	if refusal := c.refuseQuarantined(r); refusal != nil {
		c.refuse(r, refusal, out)
		return
	}
	choice := c.chooseEngine(r)
	suspected := c.Poison.Suspected(c.now, r.Digest)
	if !suspected && c.sendToOtherDomain(r, choice, out) {
		return
	}
	if choice.Server == nil {
		if r.state != stateQueued || r.attempt == 0 && c.now == r.arrivedAt {
			out.Add(event.Decision{Area: "route", Request: r.ID, Choice: "wait", Reason: "no_backend_server", Pairs: []any{"refused", choice.Skipped.String()}})
		}
		r.state = stateQueued
		r.tried = nil
		r.routeFailures++
		r.retryAt = c.now + retry.Backoff(r.routeFailures, xxhash.Sum64String(string(r.ID)))
		return
	}
	if r.Priority <= 0 && r.attempt == 0 && c.now+choice.QueueWait >= r.Deadline {
		c.refuse(r, errs.Refuse(errs.CodeOverloaded, "more requests wait than can be served before the deadline: send the request again later").WithRetryAfter(choice.QueueWait), out)
		return
	}
	r.attempt++
	r.state = stateGrantRequested
	r.server = choice.Server.ID()
	r.owner = c.Members.OwnerOf(r.server)
	r.grantRequestedAt = c.now
	r.absent, r.stalled = choice.Absent, !choice.Resident
	c.Router.Sent(c.now, r.server, r.absent)
	out.Add(event.Decision{Area: "route", Request: r.ID, Choice: string(r.server), Reason: choice.Reason, Pairs: []any{
		"adapter", r.adapter.String(), "attempt", r.attempt, "owner", r.owner, "refused", choice.Skipped.String(),
	}})
	out.Add(event.SendPeer{To: r.owner, Message: &peer.GrantRequest{
		Request: r.ID, Attempt: r.attempt, Server: r.server, Adapter: r.adapter, Priority: r.Priority, Weight: r.row.Weight, Remaining: r.Deadline - c.now,
		Fingerprint: r.Digest, Prefix: r.Prefix, Tokens: r.PromptTokens + r.MaxTokens,
		Isolated: suspected,
	}})
}

// grantReplyReceived handles an owner's reply to a grant request.
func (c *Core) grantReplyReceived(from units.EntryVMID, m *peer.GrantReply, out *event.Effects) {
	r := c.requests[m.Request]
	if r == nil || r.state != stateGrantRequested || r.attempt != m.Attempt || r.server != m.Server {
		if m.Grant != 0 && !c.isCurrentGrant(r, m) {
			c.releaseGrant(from, m.Request, m.Attempt, m.Server, m.Grant, false, out)
		}
		return
	}
	if m.Grant == 0 {
		c.grantRefused(r, m, out)
		return
	}
	server := c.Router.Server(r.server)
	if server == nil {
		c.releaseGrant(from, m.Request, m.Attempt, m.Server, m.Grant, false, out)
		c.advance(r, out)
		return
	}
	if r.absent {
		c.Router.Loaded(c.now - r.grantRequestedAt)
	}
	r.sent++
	r.grant = m.Grant
	r.runningAt = c.now
	r.owner = from
	r.state = stateRunning
	var stall clock.Millis
	if r.stalled {
		stall = c.now - r.grantRequestedAt
	}
	out.Add(event.Dispatch{
		Request: r.ID, Attempt: r.attempt, Server: r.server, Address: server.Spec.Address, Adapter: r.adapter,
		Deadline: r.Deadline, NotAfter: r.grantRequestedAt + m.Term, Priority: r.Priority, LoadStall: stall,
	})
}

// isCurrentGrant reports whether m repeats the grant under which r runs.
func (c *Core) isCurrentGrant(r *request, m *peer.GrantReply) bool {
	return r != nil && r.state == stateRunning && r.grant == m.Grant && r.server == m.Server
}

// grantRefused handles an owner's refusal of a grant. A failed load, a passed deadline or
// an overload ends the request with that refusal. Otherwise another server is tried.
func (c *Core) grantRefused(r *request, m *peer.GrantReply, out *event.Effects) {
	out.Add(event.Decision{Area: "route", Request: r.ID, Choice: "refused_by_owner", Reason: string(m.Refusal.Code), Pairs: []any{"backend_server", m.Server}})
	switch m.Refusal.Code {
	case errs.CodeLoadFailed, errs.CodeDeadline, errs.CodeOverloaded:
		c.refuse(r, m.Refusal, out)
	default:
		c.Router.Avoid(r.server, c.now+refusedBackoff)
		r.tried = append(r.tried, r.server)
		c.advance(r, out)
	}
}

// releaseGrant returns a grant to the owner that issued it, and to the current owner,
// which may have adopted it. If grant is 0, it withdraws the grant request instead. died
// is true if the server broke the connection.
func (c *Core) releaseGrant(to units.EntryVMID, id units.RequestID, attempt int32, server units.BackendServerID, grant units.GrantNumber, died bool, out *event.Effects) {
	m := &peer.GrantRelease{Request: id, Attempt: attempt, Server: server, Grant: grant, ServerDied: died}
	out.Add(event.SendPeer{To: to, Message: m})
	if owner := c.Members.OwnerOf(server); grant != 0 && owner != to && owner != "" {
		out.Add(event.SendPeer{To: owner, Message: m})
	}
}

// tickGrantRequest withdraws a grant request at the deadline or after grantRequestTimeout,
// and lets the request advance.
func (c *Core) tickGrantRequest(r *request, out *event.Effects) {
	if c.now >= r.Deadline {
		c.releaseGrant(r.owner, r.ID, r.attempt, r.server, 0, false, out)
		c.advance(r, out)
		return
	}
	if c.now-r.grantRequestedAt < grantRequestTimeout || c.Members.OwnerOf(r.server) == r.owner && c.Members.Alive(c.now, r.owner) {
		return
	}
	c.releaseGrant(r.owner, r.ID, r.attempt, r.server, 0, false, out)
	c.advance(r, out)
}
