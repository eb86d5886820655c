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

// requestState is how far a request has come.
type requestState uint8

// States of a request.
const (
	// stateQueued: no server could be chosen; another try comes with a tick.
	stateQueued requestState = iota
	// stateAsking: the owner of the chosen server was asked for a grant.
	stateAsking
	// stateRunning: an attempt is on its way or runs.
	stateRunning
	// stateIntent: the intent of an action is being appended or read back.
	stateIntent
)

// maxAttempts bounds the servers that one request is sent to.
const maxAttempts = 4

// askTimeout is the time after which a grant that was asked for and did not
// come is asked for elsewhere, unless the owner is alive.
const askTimeout = 2 * clock.Second

// refusedPeriod is how long a server is avoided whose owner can't grant.
const refusedPeriod = 500 * clock.Millis(1)

// avoidPeriod is how long a server is avoided after it broke a connection.
const avoidPeriod = 2 * clock.Second

// request is a request that has not ended.
type request struct {
	event.Request
	state requestState
	// row is the adapter's row when the request came.
	row     *table.Row
	adapter units.AdapterVersion
	// attempt counts the servers chosen so far.
	attempt int32
	// sent counts the attempts that were sent to a server.
	sent   int32
	server units.BackendServerID
	owner  units.EntryVMID
	// forwardedTo is set while an attempt runs in another failure domain.
	forwardedTo units.EntryVMID
	// notForwarded is the last reason for which the request stayed.
	notForwarded string
	askedAt      clock.Millis
	// absent is set if the chosen server neither had nor loaded the adapter when
	// asked for, stalled if it did not have it.
	absent, stalled bool
	// waits counts the times that no server could be chosen; the next try comes
	// at tryAt.
	waits int32
	tryAt clock.Millis
	// runningAt is the instant of the grant.
	runningAt clock.Millis
	grant     units.GrantNumber
	// renewed is the last renewal of grant.
	renewed renewal
	tried   []units.BackendServerID
	// broken counts the servers that broke the connection.
	broken int
	// ran is RanUnknown once an attempt may have run.
	ran errs.Ran
	// intent is the progress of an action.
	intent    intent
	arrivedAt clock.Millis
}

// advance takes the next step of a request that has no attempt on its way.
func (c *Core) advance(r *request, out *event.Effects) {
	switch {
	case c.now >= r.Deadline:
		c.refuse(r, errs.Refuse(errs.CodeDeadline, "the deadline passed: allow more time or send the request again later"), out)
	case r.sent >= maxAttempts:
		c.refuse(r, errs.Refuse(errs.CodeNoCapacity, "no backend server took the request in %d tries: send it again later", maxAttempts).After(clock.Second), out)
	case r.Service != "":
		c.advanceService(r, out)
	default:
		c.askGrant(r, out)
	}
}

// refuse ends a request. An attempt that may have run makes the refusal say so.
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

// end forgets a request that has ended.
func (c *Core) end(r *request) {
	delete(c.requests, r.ID)
	c.Ledger.Forget(r.ID)
}

// tickRequests moves on requests that wait.
func (c *Core) tickRequests(out *event.Effects) {
	for _, r := range c.sortedRequests() {
		switch r.state {
		case stateQueued:
			if c.now >= min(r.tryAt, r.Deadline) {
				c.advance(r, out)
			}
		case stateAsking:
			c.tickAsking(r, out)
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
