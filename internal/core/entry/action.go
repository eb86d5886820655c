package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/once"
)

// intent is the progress of an action's intent through the log.
type intent struct {
	// record is the id of the intent's record, or "" before it is appended.
	record units.RecordID
	// offset is set once placed.
	offset units.Offset
	placed bool
}

// defaultServiceDeadline is the deadline of a service that sets none.
const defaultServiceDeadline = 10 * clock.Second

func (c *Core) admitService(r *request) *errs.Refusal {
	service, ok := c.cfg.Services[r.Service]
	if !ok {
		return errs.Refuse(errs.CodeUnknownService, "service %s is not in the settings: check the path", r.Service)
	}
	if !r.Idempotent && r.Key == "" {
		return errs.Refuse(errs.CodeKeyRequired, "this call must not run twice: send an Idempotency-Key header")
	}
	if r.Deadline == 0 {
		r.Deadline = c.now + service.Deadline
		if service.Deadline == 0 {
			r.Deadline = c.now + defaultServiceDeadline
		}
	}
	return nil
}

// actionKey keeps the keys of different callers and services apart.
func actionKey(r *request) string {
	return string(r.Caller) + "\x00" + string(r.Service) + "\x00" + r.Key
}

func (c *Core) advanceService(r *request, out *event.Effects) {
	if !r.Idempotent && !r.intent.placed {
		c.placeIntent(r, out)
		return
	}
	choice := c.Router.Service(c.now, r.Service, r.tried)
	if choice.Server == nil {
		r.state = stateQueued
		r.tried = nil
		return
	}
	r.attempt++
	r.state = stateRunning
	r.server = choice.Server.ID()
	c.Router.Sent(r.server)
	out.Add(event.Decision{Area: "route", Request: r.ID, Choice: string(r.server), Reason: choice.Reason, Pairs: []any{
		"service", r.Service, "attempt", r.attempt, "refused", choice.Refused,
	}})
	out.Add(event.Dispatch{
		Request: r.ID, Attempt: r.attempt, Server: r.server, Address: choice.Server.Spec.Address,
		Deadline: r.Deadline, RecordAnswer: !r.Idempotent,
	})
}

// placeIntent appends the intent of an action.
func (c *Core) placeIntent(r *request, out *event.Effects) {
	key := actionKey(r)
	c.Ledger.Follow(key, out)
	r.state = stateIntent
	r.intent.record = units.RecordID("intent-" + string(r.ID))
	out.Add(event.AppendRecord{
		Stream: once.StreamOf(key), ID: r.intent.record,
		Body: once.Encode(once.Entry{Key: key, Digest: r.Digest, Request: r.ID}),
	})
}

// intentAppended takes the answer to the append of an intent.
func (c *Core) intentAppended(r *request, ev event.AppendDone, out *event.Effects) {
	switch ev.Result {
	case event.AppendAccepted:
		r.intent.offset = ev.Offset
		r.intent.placed = true
		c.decideAction(r, out)
	case event.AppendRefused:
		c.refuse(r, errs.Refuse(errs.CodeLogUnavailable, "the log service took no record: send the request again with the same key").After(clock.Second), out)
	case event.AppendUnknown:
		// The record is looked for in the stream until the deadline.
	}
}

// decideAction runs or refuses an action once its place in the log is folded.
func (c *Core) decideAction(r *request, out *event.Effects) {
	key := actionKey(r)
	if !r.intent.placed {
		if state := c.Ledger.Known(key); state == nil || state.First != r.ID {
			return
		}
		r.intent.placed = true
	} else if _, folded := c.Ledger.State(key, r.intent.offset); !folded {
		return
	}
	state := c.Ledger.Known(key)
	switch {
	case state == nil:
		c.refuse(r, errs.Refuse(errs.CodeLogUnavailable, "the record of the request has expired: send it again with a new key"), out)
	case state.Digest != r.Digest:
		c.refuse(r, errs.Refuse(errs.CodeKeyReused, "this Idempotency-Key was used for another request: use a new key"), out)
	case state.First == r.ID:
		c.advance(r, out)
	case state.Outcome != nil && !state.Outcome.NotRun:
		c.replay(r, state.Outcome, out)
	default:
		c.refuse(r, errs.RefuseUnknown(errs.CodeOutcomeUnknown, "the first request with this key has no recorded outcome: ask again later with the same key").After(clock.Second), out)
	}
}

func (c *Core) replay(r *request, outcome *once.Outcome, out *event.Effects) {
	delete(c.requests, r.ID)
	out.Add(event.Decision{Area: "once", Request: r.ID, Choice: "replayed", Reason: "outcome_recorded"})
	out.Add(event.Replay{Request: r.ID, Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body})
}

// retryActions looks again at the actions that wait for the log.
func (c *Core) retryActions(out *event.Effects) {
	for _, r := range c.sortedRequests() {
		if r.state == stateIntent {
			c.decideAction(r, out)
		}
	}
}

func (c *Core) tickIntent(r *request, out *event.Effects) {
	if c.now < r.Deadline {
		return
	}
	// The intent may be in the log, but only this entry VM could have acted on
	// it, and it did not.
	c.recordOutcome(r, &once.Outcome{NotRun: true}, out)
	c.refuse(r, errs.Refuse(errs.CodeLogUnavailable, "the log service did not answer within the deadline: send the request again with the same key").After(clock.Second), out)
}

// actionDone takes the end of an action's only attempt that may have run.
func (c *Core) actionDone(r *request, result event.DispatchResult, out *event.Effects) {
	switch {
	case result.Kind == event.ResultServed:
		c.recordOutcome(r, &once.Outcome{Status: result.Status, ContentType: result.ContentType, Body: result.Body}, out)
		delete(c.requests, r.ID)
	case result.Kind.Ran() == errs.RanNo && c.now < r.Deadline && r.attempt < maxAttempts:
		r.tried = append(r.tried, r.server)
		c.advance(r, out)
	case result.Kind.Ran() == errs.RanNo:
		c.recordOutcome(r, &once.Outcome{NotRun: true}, out)
		c.refuse(r, errs.Refuse(errs.CodeServerFailed, "no instance of service %s could be reached: send the request again with the same key", r.Service), out)
	default:
		c.refuse(r, errs.RefuseUnknown(errs.CodeOutcomeUnknown, "the connection to the service broke after the request was sent: ask the service whether it ran"), out)
	}
}

func (c *Core) recordOutcome(r *request, outcome *once.Outcome, out *event.Effects) {
	key := actionKey(r)
	out.Add(event.AppendRecord{
		Stream: once.StreamOf(key), ID: units.RecordID("outcome-" + string(r.ID)),
		Body: once.Encode(once.Entry{Key: key, Digest: r.Digest, Request: r.ID, Outcome: outcome}),
	})
}
