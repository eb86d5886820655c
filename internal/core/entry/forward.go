package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/member"
	"mangostile/internal/core/relay"
)

// forwardAfter is how long a request waits for its own failure domain, so that
// an owner that is being replaced does not send requests away.
const forwardAfter = clock.Second

// Estimates of what a forwarded request costs on the link.
const (
	forwardHeadBytes   = 1024
	bytesPerToken      = 8
	bytesPerTokenEvent = 256
)

// forward sends a request that the own failure domain can't serve to another
// one. It reports false if the request has to wait. There are engines or
// instances of its kind in the own failure domain if served is set.
func (c *Core) forward(r *request, served bool, out *event.Effects) bool {
	if r.Forwarded || c.leaving || served && c.waitsForOwn(r) {
		return false
	}
	choice := c.relay.Choose(c.now, c.cfg.Self, c.Members.Peers(), relay.Ask{
		Affinity: r.adapter.String() + string(r.Service), Bytes: forwardBytes(r), Request: r.ID, Tried: r.tried,
	})
	if choice.Peer == nil {
		c.noteNotForwarded(r, choice.Reason, out)
		return false
	}
	c.forwardedAt[forwardKind(r)] = c.now
	c.sendOn(r, choice.Peer, choice.Reason, out)
	return true
}

// sendOn dispatches a request to an entry VM of another failure domain.
func (c *Core) sendOn(r *request, to *member.Peer, reason string, out *event.Effects) {
	r.attempt++
	r.sent++
	r.state = stateRunning
	r.server = units.BackendServerID(to.ID)
	r.forwardedTo = to.ID
	out.Add(event.Decision{Area: "route", Request: r.ID, Choice: string(to.ID), Reason: reason, Pairs: []any{
		"failure_domain", to.FailureDomain, "region", to.Region, "attempt", r.attempt,
	}})
	out.Add(event.Dispatch{
		Request: r.ID, Attempt: r.attempt, Server: r.server, Address: to.ServeAddress, Adapter: r.adapter,
		Deadline: r.Deadline, Forward: true, Link: to.Region,
	})
}

// waitsForOwn reports whether a request should wait for the own failure domain
// to serve it. Others of its kind that were sent on just now have waited.
func (c *Core) waitsForOwn(r *request) bool {
	if c.now-r.arrivedAt >= forwardAfter {
		return false
	}
	last, ever := c.forwardedAt[forwardKind(r)]
	return !ever || c.now-last >= forwardAfter
}

// forwardKind names the base model or the service that a request needs.
func forwardKind(r *request) string {
	if r.row != nil {
		return "base " + string(r.row.Base)
	}
	return "service " + string(r.Service)
}

// noteNotForwarded logs why a request stays, once for each reason.
func (c *Core) noteNotForwarded(r *request, reason string, out *event.Effects) {
	if r.notForwarded == reason {
		return
	}
	r.notForwarded = reason
	out.Add(event.Decision{Area: "route", Request: r.ID, Choice: "not_forwarded", Reason: reason})
}

// forwardBytes estimates the bytes of a request and its answer.
func forwardBytes(r *request) units.Bytes {
	perToken := units.Bytes(bytesPerToken)
	if r.Streamed {
		perToken = bytesPerTokenEvent
	}
	return forwardHeadBytes + units.Bytes(r.PromptTokens)*bytesPerToken + units.Bytes(r.MaxTokens)*perToken
}

// forwardDone takes the end of an attempt in another failure domain. The entry
// VM there keeps the promises on actions: here only its word counts.
func (c *Core) forwardDone(r *request, result event.DispatchResult, out *event.Effects) {
	to := r.forwardedTo
	r.forwardedTo = ""
	if result.Kind == event.ResultNotSent || result.Kind == event.ResultBroken {
		c.relay.Avoid(c.now, to)
	}
	if r.Idempotent {
		c.attemptDone(r, result, out)
		return
	}
	switch {
	case result.Kind == event.ResultServed || result.Kind == event.ResultCanceled:
		c.end(r)
	case result.Kind.Ran() == errs.RanNo:
		r.tried = append(r.tried, r.server)
		c.advance(r, out)
	default:
		c.refuse(r, errs.RefuseUnknown(errs.CodeOutcomeUnknown, "the connection to another failure domain broke after the request was sent: ask again later with the same key").After(clock.Second), out)
	}
}
