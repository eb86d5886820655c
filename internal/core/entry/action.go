package entry

import (
	"maps"
	"slices"
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/once"
)

// intentRetryDelay is the time after which an intent that was not read back from the log
// is appended again.
const intentRetryDelay = clock.Second

// maxIntentAppends is the maximum number of records of one intent.
const maxIntentAppends = 8

// intent tracks the intent record of an action through the log.
type intent struct {
	// appends counts the records appended so far. retryAt is when the next one is due.
	appends int
	retryAt clock.Millis
	// mayRun is true once the log shows that the action may run.
	mayRun bool
	// duplicateAt is when the log showed that another request with the key came first and
	// had no outcome yet, or 0.
	duplicateAt clock.Millis
}

// earlierOutcomeTimeout is how long a request waits for the outcome of an earlier request
// with its key. The caller receives the response before the log receives the outcome, so
// the intent of a repeated request may reach the log first. It is half of
// outcomeRetryDelay: a longer wait means that an append was lost.
const earlierOutcomeTimeout = clock.Second

// defaultServiceDeadline applies to services without a configured deadline.
const defaultServiceDeadline = 10 * clock.Second

func (c *Core) admitService(r *request) *errs.Refusal {
	service, ok := c.cfg.Services[r.Service]
	if !ok {
		return errs.Refuse(errs.CodeUnknownService, "service %s is not in the settings: check the path", r.Service)
	}
	if !r.Idempotent && r.Key == "" {
		return errs.Refuse(errs.CodeKeyRequired, "this call must not run twice: send an Idempotency-Key header")
	}
	if !r.Idempotent {
		if refusal := c.checkKey(r); refusal != nil {
			return refusal
		}
	}
	if r.Deadline == 0 {
		r.Deadline = c.now + service.Deadline
		if service.Deadline == 0 {
			r.Deadline = c.now + defaultServiceDeadline
		}
	}
	return c.limit(r)
}

// checkKey refuses keys whose age can't be determined, and keys for which the ledger is
// full, before anything is appended.
func (c *Core) checkKey(r *request) *errs.Refusal {
	if _, ok := once.KeyTime(r.Key); !ok {
		return errs.Refuse(errs.CodeBadRequest, "the Idempotency-Key shows no time: use a UUIDv7, or 13 digits of Unix milliseconds, a hyphen and a text of your own")
	}
	if c.Ledger.Full(actionKey(r)) {
		return errs.Refuse(errs.CodeOverloaded, "too many actions in the last hour: send the request again later with the same key").WithRetryAfter(clock.Minute)
	}
	return nil
}

// actionKey scopes the idempotency key by caller and service, so that equal keys of
// different callers don't collide.
func actionKey(r *request) string {
	return once.Scope(string(r.Caller), string(r.Service), r.Key)
}

func (c *Core) advanceService(r *request, out *event.Effects) {
	choice := c.Router.Service(c.now, r.Service, r.tried)
	// An action whose intent was appended here must not be forwarded: the intent of
	// another entry VM would come second.
	if choice.Server == nil && r.intent.appends == 0 && c.forward(r, c.Router.HasService(r.Service), out) {
		return
	}
	if choice.Server != nil && c.sendToFollower(r, out) {
		return
	}
	if !r.Idempotent && !r.intent.mayRun && (choice.Server != nil || r.intent.appends > 0) {
		c.appendIntent(r, out)
		return
	}
	if choice.Server == nil {
		r.state = stateQueued
		r.tried = nil
		return
	}
	r.attempt++
	r.sent++
	r.state = stateRunning
	r.server = choice.Server.ID()
	c.Router.Sent(c.now, r.server, false)
	out.Add(event.Decision{Area: "route", Request: r.ID, Choice: string(r.server), Reason: choice.Reason, Pairs: []any{
		"service", r.Service, "attempt", r.attempt, "refused", choice.Skipped.String(),
	}})
	out.Add(event.Dispatch{
		Request: r.ID, Attempt: r.attempt, Server: r.server, Address: choice.Server.Spec.Address,
		Deadline: r.Deadline, RecordAnswer: !r.Idempotent,
	})
}

// appendIntent appends the intent of an action. It may be called repeatedly: further
// records of the same intent have no effect.
func (c *Core) appendIntent(r *request, out *event.Effects) {
	key := actionKey(r)
	c.Ledger.Follow(c.now, key, r.ID, out)
	r.state = stateIntent
	r.intent.appends++
	r.intent.retryAt = c.now + intentRetryDelay
	out.Add(event.AppendRecord{
		Stream: once.StreamOf(key), ID: intentRecord(r.ID),
		Body: once.Encode(once.Entry{Key: key, Digest: r.Digest, Request: r.ID}),
	})
}

// Prefixes of record IDs in action streams.
const (
	intentPrefix  = "intent-"
	outcomePrefix = "outcome-"
)

func intentRecord(id units.RequestID) units.RecordID {
	return units.RecordID(intentPrefix + string(id))
}

// actionAppended removes an outcome that the log service has confirmed. A lost or refused
// append needs no action here: until the deadline, an intent that is not read back from
// its stream is appended again, and so is an outcome until giveUpAt.
func (c *Core) actionAppended(ev event.AppendDone) {
	if ev.Result == event.AppendAccepted && strings.HasPrefix(string(ev.ID), outcomePrefix) {
		delete(c.outcomes, ev.ID)
	}
}

// decideAction runs or refuses an action once its intent was read back from the log.
func (c *Core) decideAction(r *request, out *event.Effects) {
	verdict, outcome := c.Ledger.Evaluate(actionKey(r), r.Digest, r.ID)
	switch verdict {
	case once.VerdictWait:
		return
	case once.VerdictRun:
		r.intent.mayRun = true
		c.advance(r, out)
		return
	case once.VerdictReplay:
		c.replay(r, outcome, out)
		return
	case once.VerdictUnknown:
		if r.intent.duplicateAt == 0 {
			r.intent.duplicateAt = c.now
		}
		if outcome == nil && c.now < min(r.intent.duplicateAt+earlierOutcomeTimeout, r.Deadline) {
			return
		}
	}
	if verdict == once.VerdictTooOld || verdict == once.VerdictAhead {
		// Other readers of the log may see this intent as the first with its key.
		c.recordOutcome(r, &once.Outcome{NotRun: true}, out)
	}
	c.refuse(r, verdictRefusal(verdict), out)
}

func verdictRefusal(verdict once.Verdict) *errs.Refusal {
	switch verdict {
	case once.VerdictKeyReused:
		return errs.Refuse(errs.CodeKeyReused, "this Idempotency-Key was used for another request: use a new key")
	case once.VerdictAhead:
		return errs.Refuse(errs.CodeBadRequest, "the time in the Idempotency-Key is more than %v ahead: set the caller's clock right and use a new key", once.MaxKeyAhead)
	case once.VerdictTooOld:
		return errs.RefuseUnknown(errs.CodeKeyTooOld, "the Idempotency-Key is older than %v or than the records that are left, and was not run now: ask the service whether an earlier request with it ran before you use a new key", once.KeyWindow)
	default:
		return errs.RefuseUnknown(errs.CodeOutcomeUnknown, "the first request with this key has no recorded outcome: ask again later with the same key").WithRetryAfter(clock.Second)
	}
}

func (c *Core) replay(r *request, outcome *once.Outcome, out *event.Effects) {
	if outcome.Shortened {
		c.refuse(r, errs.RefuseUnknown(errs.CodeOutcomeUnknown, "an earlier request with this key ran and got status %d, but its answer was too long to be kept: ask the service", outcome.Status), out)
		return
	}
	c.end(r)
	out.Add(event.Decision{Area: "once", Request: r.ID, Choice: "replayed", Reason: "outcome_recorded"})
	out.Add(event.Replay{Request: r.ID, Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body})
}

// decideActions evaluates the actions that wait for the log again.
func (c *Core) decideActions(out *event.Effects) {
	for _, r := range c.sortedRequests() {
		if r.state == stateIntent {
			c.decideAction(r, out)
		}
	}
}

func (c *Core) tickIntent(r *request, out *event.Effects) {
	if r.intent.duplicateAt > 0 {
		c.decideAction(r, out)
		return
	}
	if c.now < r.Deadline {
		if c.now >= r.intent.retryAt && r.intent.appends < maxIntentAppends {
			c.appendIntent(r, out)
		}
		return
	}
	// The intent may be in the log, but only this entry VM could have run the action, and
	// it did not.
	c.recordOutcome(r, &once.Outcome{NotRun: true}, out)
	c.refuse(r, errs.Refuse(errs.CodeLogUnavailable, "the log service did not answer within the deadline: send the request again with the same key").WithRetryAfter(clock.Second), out)
}

// actionDone handles the end of an action's only attempt that may have run.
func (c *Core) actionDone(r *request, result event.DispatchResult, out *event.Effects) {
	switch {
	case result.Kind == event.ResultServed:
		c.recordOutcome(r, &once.Outcome{Status: result.Status, ContentType: result.ContentType, Body: result.Body}, out)
		c.end(r)
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

// pendingOutcome is an outcome that the log service has not confirmed.
type pendingOutcome struct {
	stream  units.StreamName
	body    []byte
	retryAt clock.Millis
	// giveUpAt is when the core stops appending and leaves the outcome unrecorded.
	giveUpAt clock.Millis
}

// Limits of pending outcomes.
const (
	outcomeRetryDelay    = 2 * clock.Second
	outcomeAppendTimeout = 10 * clock.Minute
	// outcomeLeaveTimeout is how long a leaving entry VM waits for the log service.
	outcomeLeaveTimeout = 10 * clock.Second
	maxPendingOutcomes  = 1024
)

// recordOutcome appends the outcome of an action, repeatedly until the log service
// confirms it.
func (c *Core) recordOutcome(r *request, outcome *once.Outcome, out *event.Effects) {
	outcome.Shorten()
	key := actionKey(r)
	pending := &pendingOutcome{
		stream: once.StreamOf(key), body: once.Encode(once.Entry{Key: key, Digest: r.Digest, Request: r.ID, Outcome: outcome}),
		giveUpAt: c.now + outcomeAppendTimeout,
	}
	if c.leaving {
		pending.giveUpAt = c.now + outcomeLeaveTimeout
	}
	id := units.RecordID(outcomePrefix + string(r.ID))
	if len(c.outcomes) < maxPendingOutcomes {
		c.outcomes[id] = pending
	}
	c.appendOutcome(id, pending, out)
}

func (c *Core) appendOutcome(id units.RecordID, pending *pendingOutcome, out *event.Effects) {
	pending.retryAt = c.now + outcomeRetryDelay
	out.Add(event.AppendRecord{Stream: pending.stream, ID: id, Body: pending.body})
}

func (c *Core) tickOutcomes(out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(c.outcomes)) {
		pending := c.outcomes[id]
		switch {
		case c.now >= pending.giveUpAt:
			delete(c.outcomes, id)
		case c.now >= pending.retryAt:
			c.appendOutcome(id, pending, out)
		}
	}
}
