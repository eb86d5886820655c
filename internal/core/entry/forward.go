package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/member"
	"mangostile/internal/core/relay"
)

// forwardDelay is how long a request waits for its own failure domain, so that requests
// are not forwarded while an owner is being replaced.
const forwardDelay = clock.Second

// Estimated link cost of a forwarded request, in bytes.
const (
	forwardHeadBytes   = 1024
	bytesPerToken      = 8
	bytesPerTokenEvent = 256
)

// forward sends a request that this failure domain can't serve to another one. It reports
// false if the request has to wait. hasServers reports whether this failure domain has
// engines or instances of the request's kind.
func (c *Core) forward(r *request, hasServers bool, out *event.Effects) bool {
	if r.Forwarded || c.leaving || hasServers && c.waitsForOwnDomain(r) {
		return false
	}
	choice := c.relay.Choose(c.now, c.cfg.Self, c.Members.Peers(), relay.Forward{
		Affinity: r.adapter.String() + string(r.Service), Bytes: forwardBytes(r), Request: r.ID, Tried: r.tried,
	})
	if choice.Peer == nil {
		c.logNotForwarded(r, choice.Reason, out)
		return false
	}
	c.forwardedAt[forwardKind(r)] = c.now
	c.dispatchToPeer(r, choice.Peer, choice.Reason, out)
	return true
}

// dispatchToPeer dispatches a request to another entry VM.
func (c *Core) dispatchToPeer(r *request, to *member.Peer, reason string, out *event.Effects) {
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

// waitsForOwnDomain reports whether a request should wait for this failure domain to
// serve it. It need not if another request of its kind has waited and was forwarded
// within the last forwardDelay.
func (c *Core) waitsForOwnDomain(r *request) bool {
	if c.now-r.arrivedAt >= forwardDelay {
		return false
	}
	last, ever := c.forwardedAt[forwardKind(r)]
	return !ever || c.now-last >= forwardDelay
}

// forwardKind identifies the base model or the service that a request needs.
func forwardKind(r *request) string {
	if r.row != nil {
		return "base " + string(r.row.Base)
	}
	return "service " + string(r.Service)
}

// logNotForwarded logs why a request is not forwarded, if the reason has changed.
func (c *Core) logNotForwarded(r *request, reason string, out *event.Effects) {
	if r.notForwardedReason == reason {
		return
	}
	r.notForwardedReason = reason
	out.Add(event.Decision{Area: "route", Request: r.ID, Choice: "not_forwarded", Reason: reason})
}

// forwardBytes estimates the bytes of a request and its response.
func forwardBytes(r *request) units.Bytes {
	perToken := units.Bytes(bytesPerToken)
	if r.Streamed {
		perToken = bytesPerTokenEvent
	}
	return forwardHeadBytes + units.Bytes(r.PromptTokens)*bytesPerToken + units.Bytes(r.MaxTokens)*perToken
}

// forwardDone handles the end of an attempt in another failure domain. The entry VM there
// enforces the guarantees for actions, so only its result counts here.
func (c *Core) forwardDone(r *request, result event.DispatchResult, out *event.Effects) {
	to := r.forwardedTo
	r.forwardedTo = ""
	if result.Kind == event.ResultNotSent || result.Kind == event.ResultBroken {
		c.relay.Avoid(c.now, to)
	}
	if r.Idempotent {
		c.idempotentDone(r, result, out)
		return
	}
	switch {
	case result.Kind == event.ResultServed || result.Kind == event.ResultCanceled:
		c.end(r)
	case result.Kind.Ran() == errs.RanNo:
		r.tried = append(r.tried, r.server)
		c.advance(r, out)
	default:
		c.refuse(r, errs.RefuseUnknown(errs.CodeOutcomeUnknown, "the connection to another failure domain broke after the request was sent: ask again later with the same key").WithRetryAfter(clock.Second), out)
	}
}
