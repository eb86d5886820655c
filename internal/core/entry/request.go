package entry

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"
)

// requestState is the stage of an open request.
type requestState uint8

// States of a request.
const (
	// stateQueued: no server could be chosen; a tick retries it.
	stateQueued requestState = iota
	// stateGrantRequested: a grant was requested from the owner of the chosen server.
	stateGrantRequested
	// stateRunning: an attempt was dispatched and has not ended.
	stateRunning
	// stateIntent: the intent of an action is being appended or read back.
	stateIntent
)

// maxAttempts is the maximum number of servers that one request is sent to.
const maxAttempts = 4

// grantRequestTimeout is the time after which a grant request without a reply is
// withdrawn and the request is routed again, unless the owner is alive and still owns the
// server.
const grantRequestTimeout = 2 * clock.Second

// refusedBackoff is how long a server is avoided after its owner refused a grant.
const refusedBackoff = 500 * clock.Millis(1)

// brokenBackoff is how long a server is avoided after it broke a connection or could not
// be reached.
const brokenBackoff = 2 * clock.Second

// request is an open request.
type request struct {
	event.Request
	state requestState
	// row is the adapter's row at the time the request arrived.
	row     *table.Row
	adapter units.AdapterVersion
	// attempt counts the servers chosen so far.
	attempt int32
	// sent counts the attempts that were sent to a server.
	sent   int32
	server units.BackendServerID
	owner  units.EntryVMID
	// forwardedTo is the entry VM that the current attempt was forwarded to, or empty.
	forwardedTo units.EntryVMID
	// notForwardedReason is the last logged reason for not forwarding the request.
	notForwardedReason string
	grantRequestedAt   clock.Millis
	// absent is true if, when the grant was requested, the chosen server neither had the
	// adapter loaded nor was loading it. stalled is true if it did not have it loaded.
	absent, stalled bool
	// routeFailures counts the times that no server could be chosen. retryAt is the time
	// of the next try.
	routeFailures int32
	retryAt       clock.Millis
	// runningAt is when the grant arrived.
	runningAt clock.Millis
	grant     units.GrantNumber
	// lastRenewal is the last renewal of grant.
	lastRenewal renewal
	tried       []units.BackendServerID
	// brokenServers counts the servers that broke the connection.
	brokenServers int
	// ran is RanUnknown once an attempt may have run.
	ran errs.Ran
	// intent tracks the intent record of an action.
	intent    intent
	arrivedAt clock.Millis
}

// advance performs the next step of a request that has no attempt running.
func (c *Core) advance(r *request, out *event.Effects) {
	switch {
	case c.now >= r.Deadline:
		c.refuse(r, errs.Refuse(errs.CodeDeadline, "the deadline passed: allow more time or send the request again later"), out)
	case r.sent >= maxAttempts:
		c.refuse(r, errs.Refuse(errs.CodeNoCapacity, "no backend server took the request in %d tries: send it again later", maxAttempts).WithRetryAfter(clock.Second), out)
	case r.Service != "":
		c.advanceService(r, out)
	default:
		c.requestGrant(r, out)
	}
}

// refuse ends a request with a refusal, which says so if an attempt may have run.
func (c *Core) refuse(r *request, refusal *errs.Refusal, out *event.Effects) {
	if r.ran == errs.RanUnknown && refusal.Ran == errs.RanNo {
		copied := *refusal
		copied.Ran = errs.RanUnknown
		refusal = &copied
	}
	c.end(r)
	out.Add(event.Decision{Area: "admit", Request: r.ID, Choice: "refused", Reason: string(refusal.Code), Pairs: []any{"ran", refusal.Ran}})
	out.Add(event.Refuse{Request: r.ID, Refusal: refusal})
}

// end removes a request that has ended.
func (c *Core) end(r *request) {
	delete(c.requests, r.ID)
	c.Ledger.Forget(r.ID)
}

// tickRequests advances the waiting requests.
func (c *Core) tickRequests(out *event.Effects) {
	for _, r := range c.sortedRequests() {
		switch r.state {
		case stateQueued:
			if c.now >= min(r.retryAt, r.Deadline) {
				c.advance(r, out)
			}
		case stateGrantRequested:
			c.tickGrantRequest(r, out)
		case stateIntent:
			c.tickIntent(r, out)
		case stateRunning:
		}
	}
}

func (c *Core) sortedRequests() []*request {
	requests := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.arrivedAt, b.arrivedAt), cmp.Compare(a.ID, b.ID))
	})
	return requests
}
