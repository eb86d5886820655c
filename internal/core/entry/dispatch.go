package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// dispatchDone handles the end of an attempt.
func (c *Core) dispatchDone(ev event.DispatchDone, out *event.Effects) {
	r := c.requests[ev.Request]
	if r == nil || r.state != stateRunning || r.attempt != ev.Attempt {
		return
	}
	kind := ev.Result.Kind
	c.recordAttemptEnd(r, kind)
	if r.Service == "" {
		c.updatePoison(r, kind)
	}
	if r.grant != 0 {
		c.releaseGrant(r.owner, r.ID, r.attempt, r.server, r.grant, kind == event.ResultBroken, out)
		r.grant = 0
	}
	out.Add(event.Decision{Area: "serve", Request: r.ID, Choice: string(r.server), Reason: kind.String(), Pairs: []any{"attempt", r.attempt}})
	if kind == event.ResultBroken || kind == event.ResultNotSent {
		c.Router.Avoid(r.server, c.now+brokenBackoff)
	}
	if kind.Ran() == errs.RanUnknown {
		r.ran = errs.RanUnknown
	}
	if r.forwardedTo != "" {
		c.forwardDone(r, ev.Result, out)
		return
	}
	if !r.Idempotent {
		c.actionDone(r, ev.Result, out)
		return
	}
	c.idempotentDone(r, ev.Result, out)
}

// recordAttemptEnd notifies the router of the end of an attempt.
func (c *Core) recordAttemptEnd(r *request, kind event.ResultKind) {
	var service clock.Millis
	if kind == event.ResultServed && r.Service == "" && r.forwardedTo == "" {
		service = c.now - r.runningAt
	}
	c.Router.Ended(r.server, service)
}

// idempotentDone handles the end of an attempt of an idempotent request, whether forwarded
// or not: it ends, refuses or retries the request. An attempt that could be retried takes a
// retry from the budget, even if the request is then refused because of maxBrokenServers.
func (c *Core) idempotentDone(r *request, result event.DispatchResult, out *event.Effects) {
	switch {
	case result.Kind == event.ResultServed || result.Kind == event.ResultCanceled:
		c.end(r)
	case result.Kind == event.ResultTimeout:
		c.refuse(r, errs.Refuse(errs.CodeDeadline, "the deadline passed while the request ran: allow more time"), out)
	case result.CallerGotBytes:
		c.refuse(r, errs.Refuse(errs.CodeServerFailed, "backend server %s broke off the answer: send the request again", r.server), out)
	case !c.retries.Take():
		c.refuse(r, errs.Refuse(errs.CodeServerFailed, "backend server %s failed and too much is being tried again: send the request again later", r.server).WithRetryAfter(clock.Second), out)
	case r.brokenServers >= maxBrokenServers:
		c.refuse(r, errs.Refuse(errs.CodeServerFailed, "%d backend servers broke off while they ran the request: it may be what makes them fail; change it before you send it again", r.brokenServers), out)
	default:
		r.tried = append(r.tried, r.server)
		c.advance(r, out)
	}
}

// cancel handles a caller that disconnected. A running action continues, so that its
// outcome is known.
func (c *Core) cancel(id units.RequestID, out *event.Effects) {
	r := c.requests[id]
	if r == nil {
		return
	}
	switch r.state {
	case stateRunning:
		if r.Idempotent {
			out.Add(event.CancelDispatch{Request: id, Attempt: r.attempt})
		}
	case stateGrantRequested:
		c.releaseGrant(r.owner, id, r.attempt, r.server, 0, false, out)
		c.refuse(r, errs.Refuse(errs.CodeCanceled, "the caller closed the connection"), out)
	case stateQueued:
		c.refuse(r, errs.Refuse(errs.CodeCanceled, "the caller closed the connection"), out)
	case stateIntent:
	}
}
