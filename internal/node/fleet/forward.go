package fleet

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"
	"mangostile/internal/node/conns"

	"github.com/pkg/errors"
)

// Limits of forwarding.
const (
	// One caller's request is sent to at most maxSends+1 backend servers, including
	// those that did not execute it.
	maxSends = 4
	// attemptShare is the fraction of the remaining time that an attempt gets if
	// the request is idempotent and may be sent again.
	attemptShare = 0.45
)

// serve sends the request to backend servers until one has answered or no candidate
// is left, and answers the caller.
func (c *exchange) serve() {
	n := c.node
	remaining := (c.req.Deadline - n.clock.Now()).Duration()
	parent := c.r.Context()
	if c.route.Kind == topo.KindOnce {
		// An execution can't be undone when its caller disconnects.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, remaining)
	defer cancel()
	defer context.AfterFunc(n.graceOver, cancel)()
	if c.conn != nil && c.route.Kind != topo.KindOnce {
		c.conn.onLeft(cancel)
		defer c.conn.onLeft(nil)
	}
	if !c.bindToOrigin(ctx) {
		return
	}
	n.withCore(func(core *choose.Core) { core.Arrived(c.arrived, c.req.Service) })
	for len(c.req.Tried) <= maxSends {
		if c.endIfQuarantined() || c.endIfStopping() {
			return
		}
		c.req.Started = c.started || c.resumed
		var choice choose.Choice
		n.withCore(func(core *choose.Core) { choice = core.Choose(n.clock.Now(), &c.req) })
		switch choice := choice.(type) {
		case choose.Send:
			if c.send(ctx, choice) {
				return
			}
		case choose.Wait:
			if !c.wait(ctx, choice) {
				return
			}
		case choose.Refuse:
			c.giveUp(choice.Reason, choice.RetryAfter)
			return
		}
		if c.endIfDone(ctx) {
			return
		}
	}
	c.giveUp("too many backend servers were tried", 0)
}

// wait requests a usage report and waits until the choice may have changed, at most until
// choice.Until. It reports false if the request has ended meanwhile.
func (c *exchange) wait(ctx context.Context, choice choose.Wait) bool {
	n := c.node
	n.requestReport()
	c.log("request_waits", "reason", choice.Reason, "adapter", c.req.Adapter, "until_ms", int64(choice.Until-n.clock.Now()))
	timer := time.NewTimer(max(time.Millisecond, (choice.Until - n.clock.Now()).Duration()))
	defer timer.Stop()
	sendWindowOver := n.sendWindowOver.Done()
	if n.sendWindowOver.Err() != nil && c.endsBeforeStop() {
		// It does not end this wait.
		sendWindowOver = nil
	}
	select {
	case <-ctx.Done():
		return !c.endIfDone(ctx)
	case <-choice.Changed:
	case <-timer.C:
	case <-sendWindowOver:
	}
	return true
}

// endIfDone ends the request if the deadline has passed or a stop has ended it, and reports
// whether it did. If the caller has disconnected, it panics with http.ErrAbortHandler.
func (c *exchange) endIfDone(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	n := c.node
	n.withCore(func(core *choose.Core) { core.Abandoned(&c.req) })
	if c.callerLeft() {
		c.abort()
	}
	reason := "the time is over"
	if n.graceOver.Err() != nil {
		reason = stoppingReason
	}
	c.giveUp(reason, 0)
	return true
}

// abort ends a request whose caller has disconnected.
func (c *exchange) abort() {
	c.log("caller_left", "sends", c.req.Sends, "after_ms", int64(c.conn.silence()))
	panic(http.ErrAbortHandler)
}

// giveUp ends the request with the failure in c.fallback, if there is one, or with an
// answer of its own. If a part of the answer was already written, it aborts the caller's
// connection. retryAfter is sent only if no backend server can have executed the request.
func (c *exchange) giveUp(reason string, retryAfter clock.Millis) {
	c.node.meter.GivenUp(reason)
	switch {
	case c.started:
		c.log("stream_broken_off", "reason", reason, "last_event", c.lastEvent)
		if c.conn != nil && !c.r.ProtoAtLeast(1, 1) {
			// Without chunks, a usual end of the connection would end the answer.
			c.conn.resetOnClose()
		}
		panic(http.ErrAbortHandler)
	case c.fallback != nil:
		c.log("failure_passed_on", "status", c.fallback.status, "reason", reason)
		c.fallback.write(c)
	case c.executions == 0:
		c.refuse(reason, retryAfter)
	case c.node.clock.Now() >= c.req.Deadline:
		c.fail(http.StatusGatewayTimeout, reason)
	default:
		c.fail(http.StatusBadGateway, reason)
	}
}

// send makes one attempt and reports whether the request has ended.
func (c *exchange) send(ctx context.Context, to choose.Send) bool {
	n := c.node
	sentAt := n.clock.Now()
	attemptCtx, release := c.attemptContext(ctx)
	defer release()
	attemptCtx, cancel := context.WithCancelCause(attemptCtx)
	defer cancel(nil)
	a := attempt{exchange: c, to: to, ctx: attemptCtx, cancel: cancel, sentAt: sentAt}
	end, over := a.runCounted()
	n.meter.AttemptEnded(end.String())
	if a.hasAnswer && c.req.Sends == 1 {
		n.meter.LoadWait((sentAt - c.arrived).Duration())
		n.meter.FirstEvent((a.firstAt - c.arrived).Duration())
	}
	c.log("attempt_ended", "adapter", c.req.Adapter, "server", to.Server, "ways", to.Candidates, "active", to.Active, "prefill", to.Prefill, "tokens", to.Tokens, "cached", to.Cached, "expected_ms", int64(to.Cost), "waited_ms", int64(sentAt-c.arrived),
		"took_ms", int64(n.clock.Now()-sentAt), "first_ms", a.firstMS(sentAt), "end", end, "status", a.status, "why", a.reason, "sends", c.req.Sends, "events", a.events, "rate", round(to.Rate), "gap_risk", round(to.PauseRisk), "gap_ms", int64(a.gaps.longest), "gap_event", a.gaps.longestEvent, "events_ms", int64(a.gaps.took()), "outlived_ms", int64(a.outlived()), "content", c.content)
	if gap := c.route.GapTarget; gap > 0 && a.events > 1 {
		n.meter.StreamEnded(c.route.Name, to.PauseRisk > 0.5, a.gaps.longest > gap)
	}
	if over {
		return true
	}
	if end == choose.EndBroken && a.mayHaveRun {
		a.noteBreak(n.clock.BootNow())
	}
	if end == choose.EndMissing || end == choose.EndUnsent {
		n.requestReport()
	}
	if a.mayHaveRun {
		c.executions++
	} else if c.callerLeft() {
		c.abort()
	}
	if c.executions > 0 && (!c.route.Repeatable() || c.executions >= c.route.MaxAttempts || c.suspectBreaks >= maxSuspectBreaks) {
		if !c.endIfDone(ctx) {
			c.giveUp("the backend server failed", 0)
		}
		return true
	}
	return false
}

// outlived returns how long a request that was sent went on after its caller had left or its
// deadline had passed.
func (a *attempt) outlived() clock.Millis {
	var reason string
	var late clock.Millis
	switch overdue := a.node.clock.Now() - a.req.Deadline; {
	case !a.mayHaveRun:
		return 0
	case a.callerLeft():
		reason, late = "caller_left", a.conn.silence()
	case overdue > 0:
		reason, late = "deadline", overdue
	default:
		return 0
	}
	a.node.meter.RunOutlived(a.route.Kind.String(), reason, late.Duration())
	return late
}

// attemptContext returns the context of one attempt. For an idempotent request that may be
// sent again, it leaves time for that. A stream may use all of the remaining time.
func (c *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	remaining := c.req.Deadline - c.node.clock.Now()
	if c.route.Kind == topo.KindIdempotent && c.executions+1 < c.route.MaxAttempts {
		return context.WithTimeout(ctx, clock.Millis(attemptShare*float64(remaining)).Duration())
	}
	return context.WithCancel(ctx)
}

// attempt is one try to have a backend server execute the request.
type attempt struct {
	*exchange
	to  choose.Send
	ctx context.Context
	// cancel ends ctx with a cause.
	cancel context.CancelCauseFunc
	// sentAt is when the attempt began.
	sentAt clock.Millis
	// hasAnswer is true once the answer or its first event was received, at firstAt.
	hasAnswer bool
	// beginTimer calls checkBegin; nil if the attempt may begin at any time. answered is true once it needs
	// no further check.
	beginTimer *time.Timer
	answered   atomic.Bool
	// again is true if a crash was known to count against the request when it was sent.
	again bool
	// begun is true once a part of the answer itself was received, not only comments.
	begun   bool
	firstAt clock.Millis
	status  int
	events  int
	gaps    eventGaps
	reason  string
	// mayHaveRun is false only if the backend server surely did not execute the
	// request.
	mayHaveRun bool
}

// runCounted makes the attempt and tells the core how it ended, also if it panics.
func (a *attempt) runCounted() (end choose.End, over bool) {
	end = choose.EndCanceled
	defer func() {
		a.exchange.ran = a.exchange.ran || a.mayHaveRun
		a.node.withCore(func(core *choose.Core) {
			core.NoteGaps(a.node.clock.Now(), a.to.Server, a.gaps.seen())
			core.Ended(a.node.clock.Now(), &a.req, a.to.Server, a.hasAnswer, end)
		})
	}()
	defer a.node.quarantine.watch(a)()
	defer a.limitBegin()()
	return a.run()
}

// errOldVersion is the cause of an attempt that was canceled since it would begin too late on an old
// version of its adapter.
var errOldVersion = errors.New("the request did not begin before the old version of its adapter had to be left")

// limitBegin cancels the attempt if it has not begun by the time until which requests may begin at the
// version of its copy. The function that it returns ends that.
func (a *attempt) limitBegin() (end func()) {
	var limit clock.Millis
	a.node.withCore(func(core *choose.Core) { limit = core.BeginLimit() })
	wait := limit
	switch {
	case a.to.BeginBy != 0:
		wait = a.to.BeginBy - a.node.clock.Now()
	case limit == 0 || !topo.IsAdapter(a.req.Adapter):
		return func() {}
	}
	// The check uses the timer, which it must not find unset.
	a.beginTimer = time.AfterFunc(time.Hour, func() { a.checkBegin(limit) })
	a.beginTimer.Reset(wait.Duration())
	return a.endBeginLimit
}

// checkBegin cancels the attempt if the time by which it must have begun has passed. That time is looked up
// anew, since the version may have been replaced after the send; limit is the least time until it can pass
// for a version that is replaced from now on.
func (a *attempt) checkBegin(limit clock.Millis) {
	if a.answered.Load() {
		return
	}
	beginBy := a.to.BeginBy
	if beginBy == 0 {
		a.node.withCore(func(core *choose.Core) { beginBy = core.BeginBy(a.req.Adapter, a.to.Revision) })
	}
	now := a.node.clock.Now()
	switch {
	case beginBy == 0:
		a.beginTimer.Reset(limit.Duration())
	case now < beginBy:
		a.beginTimer.Reset((beginBy - now).Duration())
	default:
		a.cancel(errOldVersion)
	}
}

func (a *attempt) endBeginLimit() {
	a.answered.Store(true)
	if a.beginTimer != nil {
		a.beginTimer.Stop()
	}
}

// useless returns why the request should not be sent any more, or an empty string. Opening
// the connection, or a stop of the process, may have taken longer than the caller waits.
func (a *attempt) useless() string {
	switch {
	case a.callerLeft():
		return callerLeftReason
	case a.node.clock.Now() >= a.req.Deadline:
		return "the deadline passed before the request was sent"
	case a.quarantined():
		return reasonQuarantined
	case !a.endsBeforeStop():
		return stoppingReason
	default:
		return ""
	}
}

// callerLeftReason is the reason of an attempt that ended because its caller disconnected.
const callerLeftReason = "the caller left"

// run makes the attempt. If nothing could be sent on a reused connection, it tries once
// more on a fresh one. over is true if the request needs no further attempt: the caller
// has its answer or has disconnected.
func (a *attempt) run() (end choose.End, over bool) {
	conn, err := a.node.pool.Get(a.node.graceOver, a.to.Address, slices.Contains(a.refusedAt, a.to.Address))
	for {
		if err != nil {
			a.reason = err.Error()
			return choose.EndUnsent, false
		}
		if a.reason = a.useless(); a.reason != "" {
			a.node.pool.Return(conn)
			return choose.EndCanceled, false
		}
		if a.reason = a.withdrawn(); a.reason != "" {
			a.node.pool.Return(conn)
			return choose.EndWithdrawn, false
		}
		reused := conn.Reused
		answer, doErr := a.node.pool.Do(a.ctx, conn, a.request(reused))
		if doErr == nil {
			return a.handleAnswer(answer)
		}
		a.reason = doErr.Error()
		var unsent *conns.NotSentError
		if !errors.As(doErr, &unsent) {
			a.mayHaveRun = true
			return a.classifyError(doErr), false
		}
		if !reused || a.ctx.Err() != nil {
			return choose.EndUnsent, false
		}
		conn, err = a.node.pool.Get(a.node.graceOver, a.to.Address, true)
	}
}

// firstMS returns the time in ms from the send to the first event or answer, or -1 if
// there was none.
func (a *attempt) firstMS(sentAt clock.Millis) int64 {
	if !a.hasAnswer {
		return -1
	}
	return int64(a.firstAt - sentAt)
}

// classifyError returns how an attempt that failed with err ended.
func (a *attempt) classifyError(err error) choose.End {
	var invalid *conns.InvalidAnswerError
	switch {
	case a.callerLeft():
		a.reason = callerLeftReason
		return choose.EndCanceled
	case errors.Is(context.Cause(a.ctx), errQuarantined):
		a.reason = reasonQuarantined
		return choose.EndCanceled
	case errors.Is(context.Cause(a.ctx), errOldVersion):
		a.reason = errOldVersion.Error()
		return choose.EndCanceled
	case errors.As(err, &invalid):
		return choose.EndFailed
	case a.ctx.Err() != nil:
		a.reason = "the time for this attempt is over"
		return choose.EndFailed
	default:
		return choose.EndBroken
	}
}

// hopHeaders apply to a single connection and are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

func withoutHopHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			out.Del(name)
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// request returns the request of the attempt. reused says that it is not the first one of its
// connection.
func (a *attempt) request(reused bool) *conns.Request {
	header := withoutHopHeaders(a.r.Header)
	lastEvent := a.lastEvent
	if lastEvent == "" {
		lastEvent = a.head.LastEvent
	}
	a.node.system.WriteAttempt(header, AttemptHead{
		Server: a.to.Server, Remaining: max(1, a.req.Deadline-a.node.clock.Now()), Customer: a.req.Customer, Rank: a.req.Rank, Engine: a.req.Adapter != "", LastEvent: lastEvent,
	})
	return &conns.Request{Method: a.r.Method, Target: a.r.RequestURI, Host: a.r.Host, Header: header, Body: a.body, Matches: func(resp *http.Response) bool { return a.matches(resp, reused) }}
}

// matches reports whether resp is the answer to this request. An error answer without
// a request id matches too, unless it may be that of an earlier request of the connection.
func (a *attempt) matches(resp *http.Response, reused bool) bool {
	head := a.node.system.ReadAnswer(resp.StatusCode, resp.Header)
	a.noteHead(resp.StatusCode, head)
	id := head.ID
	return id == a.head.ID || id == "" && resp.StatusCode >= http.StatusBadRequest && !reused
}

// promisesNoRun reports whether a caller takes an answer with this status as a promise that its
// request did not run.
func promisesNoRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// handleAnswer classifies the answer of a backend server and forwards it to the caller
// where the request ends with it.
func (a *attempt) handleAnswer(answer *conns.Exchange) (choose.End, bool) {
	defer answer.Done()
	a.status = answer.StatusCode
	head := a.node.system.ReadAnswer(answer.StatusCode, answer.Header)
	switch {
	case promisesNoRun(answer.StatusCode) && !head.NotExecuted, head.NotExecuted && head.ID != a.head.ID:
		a.reason = "the refusal does not name the request, or does not say that it did not run"
		a.mayHaveRun = true
		return choose.EndFailed, false
	case head.NotExecuted && answer.StatusCode == http.StatusMisdirectedRequest:
		a.reason = "the backend server is another one or does not hold the adapter"
		a.drain(answer)
		a.refusedAt = append(a.refusedAt, a.to.Address)
		if head.Server != "" && head.Server != a.to.Server {
			return choose.EndBroken, false
		}
		return choose.EndMissing, false
	case head.NotExecuted:
		a.reason = "the backend server has no place"
		a.drain(answer)
		a.refusedAt = append(a.refusedAt, a.to.Address)
		return choose.EndFull, false
	case answer.Header.Get("Content-Encoding") != "" || answer.StatusCode < http.StatusMultipleChoices && !head.Stamped:
		a.reason = "the answer bears no signature or is encoded"
		a.mayHaveRun = true
		return choose.EndFailed, false
	case a.route.Kind == topo.KindStream && answer.StatusCode == http.StatusOK:
		a.mayHaveRun = true
		return a.forwardStream(answer)
	}
	a.mayHaveRun = true
	return a.forwardBuffered(answer)
}
