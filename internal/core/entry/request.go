package entry

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/table"

	"github.com/cespare/xxhash/v2"
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
	server  units.BackendServerID
	owner   units.EntryVMID
	askedAt clock.Millis
	grant   units.GrantNumber
	tried   []units.BackendServerID
	// ran is RanUnknown once an attempt may have run.
	ran errs.Ran
	// intent is the progress of an action.
	intent    intent
	arrivedAt clock.Millis
}

// arrive handles a new request of a caller.
func (c *Core) arrive(req event.Request, out *event.Effects) {
	if c.requests[req.ID] != nil {
		out.Add(event.Refuse{Request: req.ID, Refusal: errs.Refuse(errs.CodeBadRequest, "request id %s is in use: leave the header out or choose another", req.ID)})
		return
	}
	r := &request{Request: req, ran: errs.RanNo, arrivedAt: c.now}
	refusal := c.admit(r)
	if refusal != nil {
		out.Add(event.Decision{Area: "admit", Request: r.ID, Choice: "refused", Reason: string(refusal.Code)})
		out.Add(event.Refuse{Request: r.ID, Refusal: refusal})
		return
	}
	c.requests[r.ID] = r
	c.advance(r, out)
}

func (c *Core) admit(r *request) *errs.Refusal {
	switch {
	case c.leaving:
		return errs.Refuse(errs.CodeLeaving, "this entry VM is leaving: send the request to another").After(clock.Second)
	case !c.configSeen:
		return errs.Refuse(errs.CodeNotReady, "this entry VM has no table yet: send the request again or to another entry VM").After(clock.Second)
	case r.Service != "":
		return c.admitService(r)
	default:
		return c.admitAdapter(r)
	}
}

func (c *Core) admitAdapter(r *request) *errs.Refusal {
	row := c.Table.Row(r.Adapter.Adapter)
	if row == nil {
		return errs.Refuse(errs.CodeUnknownAdapter, "adapter %s is not in the table: check the name in model", r.Adapter.Adapter)
	}
	if !row.Allows(r.Caller) {
		return errs.Refuse(errs.CodeCallerNotAllowed, "caller %s may not reach adapter %s: ask an operator to add it to the callers column", r.Caller, row.Adapter)
	}
	if !row.Enabled {
		return errs.Refuse(errs.CodeDisabled, "adapter %s is disabled: ask an operator to set enabled to true", row.Adapter)
	}
	r.row = row
	r.adapter = r.Adapter
	if r.adapter.Version == "" {
		r.adapter.Version, _ = row.PickVersion(xxhash.Sum64String(string(r.ID)))
	}
	if !row.HasVersion(r.adapter.Version) {
		return errs.Refuse(errs.CodeUnknownVersion, "adapter %s has no version %q: use one of its versions column, or leave the version out", row.Adapter, r.adapter.Version)
	}
	r.Priority += row.Priority
	if r.Deadline == 0 {
		r.Deadline = c.now + row.Deadline
	}
	return nil
}

// advance takes the next step of a request that has no attempt on its way.
func (c *Core) advance(r *request, out *event.Effects) {
	switch {
	case c.now >= r.Deadline:
		c.refuse(r, errs.Refuse(errs.CodeDeadline, "the deadline passed: allow more time or send the request again later"), out)
	case r.attempt >= maxAttempts:
		c.refuse(r, errs.Refuse(errs.CodeNoCapacity, "no backend server took the request in %d tries: send it again later", maxAttempts).After(clock.Second), out)
	case r.Service != "":
		c.advanceService(r, out)
	default:
		c.askGrant(r, out)
	}
}

func (c *Core) askGrant(r *request, out *event.Effects) {
	choice := c.Router.Engine(c.now, r.row.Base, r.adapter, r.tried)
	if choice.Server == nil {
		if r.state != stateQueued || r.attempt == 0 && c.now == r.arrivedAt {
			out.Add(event.Decision{Area: "route", Request: r.ID, Choice: "wait", Reason: "no_backend_server", Pairs: []any{"refused", choice.Refused}})
		}
		r.state = stateQueued
		r.tried = nil
		return
	}
	r.attempt++
	r.state = stateAsking
	r.server = choice.Server.ID()
	r.owner = c.Members.OwnerOf(r.server)
	r.askedAt = c.now
	c.Router.Sent(r.server)
	out.Add(event.Decision{Area: "route", Request: r.ID, Choice: string(r.server), Reason: choice.Reason, Pairs: []any{
		"adapter", r.adapter.String(), "attempt", r.attempt, "owner", r.owner, "refused", choice.Refused,
	}})
	out.Add(event.SendPeer{To: r.owner, Message: &peer.GrantAsk{
		Request: r.ID, Attempt: r.attempt, Server: r.server, Adapter: r.adapter, Priority: r.Priority, Within: r.Deadline - c.now,
		Fingerprint: r.Digest, Prefix: r.Prefix, Tokens: r.PromptTokens + r.MaxTokens,
	}})
}

// granted takes an owner's answer.
func (c *Core) granted(from units.EntryVMID, m *peer.GrantReply, out *event.Effects) {
	r := c.requests[m.Request]
	if r == nil || r.state != stateAsking || r.attempt != m.Attempt || r.server != m.Server {
		if m.Grant != 0 && !c.holds(r, m) {
			c.release(from, m.Request, m.Attempt, m.Server, m.Grant, false, out)
		}
		return
	}
	if m.Grant == 0 {
		c.grantRefused(r, m, out)
		return
	}
	r.grant = m.Grant
	r.owner = from
	r.state = stateRunning
	out.Add(event.Dispatch{
		Request: r.ID, Attempt: r.attempt, Server: r.server, Address: c.Router.Server(r.server).Spec.Address, Adapter: r.adapter,
		Deadline: r.Deadline, NotAfter: r.askedAt + m.Term, Priority: r.Priority,
	})
}

// holds reports whether m repeats the grant that r runs on.
func (c *Core) holds(r *request, m *peer.GrantReply) bool {
	return r != nil && r.state == stateRunning && r.grant == m.Grant && r.server == m.Server
}

func (c *Core) grantRefused(r *request, m *peer.GrantReply, out *event.Effects) {
	out.Add(event.Decision{Area: "route", Request: r.ID, Choice: "refused_by_owner", Reason: string(m.Refusal.Code), Pairs: []any{"backend_server", m.Server}})
	switch m.Refusal.Code {
	case errs.CodeLoadFailed, errs.CodeDeadline:
		c.refuse(r, m.Refusal, out)
	default:
		r.tried = append(r.tried, r.server)
		c.advance(r, out)
	}
}

func (c *Core) release(to units.EntryVMID, id units.RequestID, attempt int32, server units.BackendServerID, grant units.GrantNumber, died bool, out *event.Effects) {
	out.Add(event.SendPeer{To: to, Message: &peer.GrantRelease{
		Request: id, Attempt: attempt, Server: server, Grant: grant, ServerDied: died,
	}})
}

// dispatchDone takes the end of an attempt.
func (c *Core) dispatchDone(ev event.DispatchDone, out *event.Effects) {
	r := c.requests[ev.Request]
	if r == nil || r.state != stateRunning || r.attempt != ev.Attempt {
		return
	}
	kind := ev.Result.Kind
	if r.grant != 0 {
		c.release(r.owner, r.ID, r.attempt, r.server, r.grant, kind == event.ResultBroken, out)
		r.grant = 0
	}
	out.Add(event.Decision{Area: "serve", Request: r.ID, Choice: string(r.server), Reason: kind.String(), Pairs: []any{"attempt", r.attempt}})
	if kind == event.ResultBroken || kind == event.ResultNotSent {
		c.Router.Avoid(r.server, c.now+avoidPeriod)
	}
	if kind.Ran() == errs.RanUnknown {
		r.ran = errs.RanUnknown
	}
	if !r.Idempotent {
		c.actionDone(r, ev.Result, out)
		return
	}
	c.attemptDone(r, ev.Result, out)
}

func (c *Core) attemptDone(r *request, result event.DispatchResult, out *event.Effects) {
	switch {
	case result.Kind == event.ResultServed || result.Kind == event.ResultCanceled:
		delete(c.requests, r.ID)
	case result.Kind == event.ResultTimeout:
		c.refuse(r, errs.Refuse(errs.CodeDeadline, "the deadline passed while the request ran: allow more time"), out)
	case result.CallerGotBytes:
		c.refuse(r, errs.Refuse(errs.CodeServerFailed, "backend server %s broke off the answer: send the request again", r.server), out)
	default:
		r.tried = append(r.tried, r.server)
		c.advance(r, out)
	}
}

// refuse ends a request. An attempt that may have run makes the refusal say so.
func (c *Core) refuse(r *request, refusal *errs.Refusal, out *event.Effects) {
	if r.ran == errs.RanUnknown && refusal.Ran == errs.RanNo {
		copied := *refusal
		copied.Ran = errs.RanUnknown
		refusal = &copied
	}
	delete(c.requests, r.ID)
	out.Add(event.Decision{Area: "admit", Request: r.ID, Choice: "refused", Reason: string(refusal.Code), Pairs: []any{"ran", refusal.Ran}})
	out.Add(event.Refuse{Request: r.ID, Refusal: refusal})
}

// cancel handles a caller that has gone away. A running action goes on, so that
// its outcome is known.
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
	case stateAsking:
		c.release(r.owner, id, r.attempt, r.server, 0, false, out)
		c.refuse(r, errs.Refuse(errs.CodeCanceled, "the caller closed the connection"), out)
	case stateQueued:
		c.refuse(r, errs.Refuse(errs.CodeCanceled, "the caller closed the connection"), out)
	case stateIntent:
	}
}

// tickRequests moves on requests that wait.
func (c *Core) tickRequests(out *event.Effects) {
	for _, r := range c.sortedRequests() {
		switch r.state {
		case stateQueued:
			c.advance(r, out)
		case stateAsking:
			c.tickAsking(r, out)
		case stateIntent:
			c.tickIntent(r, out)
		case stateRunning:
		}
	}
}

func (c *Core) tickAsking(r *request, out *event.Effects) {
	if c.now >= r.Deadline {
		c.release(r.owner, r.ID, r.attempt, r.server, 0, false, out)
		c.advance(r, out)
		return
	}
	if c.now-r.askedAt < askTimeout || c.Members.OwnerOf(r.server) == r.owner && c.Members.Alive(c.now, r.owner) {
		return
	}
	c.release(r.owner, r.ID, r.attempt, r.server, 0, false, out)
	c.advance(r, out)
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
