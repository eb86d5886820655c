package fleet

import (
	"context"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"
)

// Timing of a stop.
const (
	// keepAliveStopDelay is the time after Stop at which idle keep-alive connections
	// are closed, so that callers send their next request to another entry VM.
	keepAliveStopDelay = 2200 * clock.Millis(1)
	// stopNoticeDelay is the time after Stop before which an idle process does not
	// exit: until then, the balancer may not have noticed that it is not ready.
	stopNoticeDelay = 2500 * clock.Millis(1)
	// stopSendWindow is how long after Stop every request is still sent to backend servers.
	// By then the balancer has noticed the stop. How long a stream takes depends on the
	// queue and the batch of its backend server, so that none sent later is sure to end
	// in time.
	stopSendWindow = 2900 * clock.Millis(1)
	// stopReserve is subtracted from the grace period: requests end at the latest this
	// long before the period ends. It covers stopPollPeriod, the answers and releaseTimeout, at
	// the same time, and stopExitReserve.
	stopReserve = 450 * clock.Millis(1)
	// stopAnswerTime is the least time for the answers to requests that the end of the grace
	// period has ended. While some are missing, it lasts until stopExitReserve before the end.
	stopAnswerTime = 100 * clock.Millis(1)
	// stopExitReserve is the time for the process to end.
	stopExitReserve = 150 * clock.Millis(1)
	// stopAnswerPolls is the least number of polls in that time.
	stopAnswerPolls = 6
	stopPollPeriod  = 50 * time.Millisecond
	drainPollPeriod = 5 * time.Millisecond
	// stopIdlePolls is the number of consecutive polls without a request after which
	// a stopping process ends once it has answered what still arrives.
	stopIdlePolls = 6
)

// stoppingReason is the reason of requests that are refused or ended by a stop.
const stoppingReason = "the entry VM is stopping"

// idlePolls counts consecutive polls without an unanswered request.
type idlePolls int

// poll counts a poll and reports whether the last stopIdlePolls of them found no request
// in flight. It counts polls and not elapsed time: a process short of CPU time may let
// time pass without reading what has arrived, but it reads that between two polls.
func (q *idlePolls) poll(inFlight int) bool {
	if inFlight > 0 {
		*q = 0
		return false
	}
	*q++
	return *q >= stopIdlePolls
}

// answerPeriod is the time in which the requests that the end of the grace period has ended are answered.
// It counts from the poll that ended them, which may be late, and it counts polls besides: a process short
// of processor time may let time pass without writing answers. The zero value has not begun.
type answerPeriod struct {
	begun bool
	until clock.Millis
	polls int
}

// poll counts a poll after the end of the grace period and reports whether the period is over. remaining is
// the time until stopExitReserve begins, missing the number of connections that await an answer.
func (a *answerPeriod) poll(now, remaining clock.Millis, missing int) bool {
	if !a.begun {
		a.begun, a.until = true, now+stopAnswerTime
	}
	a.polls++
	return now >= a.until && a.polls > stopAnswerPolls && (missing == 0 || remaining <= 0)
}

// Stop makes the entry VM finish its open requests and exit. It does not wait.
func (n *Node) Stop() {
	if n.stoppedAt.CompareAndSwap(0, int64(n.clock.Now())) {
		n.log.Info("entry_vm_stopping", "entry_vm", n.settings.ID, "in_flight", n.inFlight.Load())
	}
}

func (n *Node) isStopping() bool { return n.stoppedAt.Load() != 0 }

// sinceStop returns the time since Stop, and 0 before it.
func (n *Node) sinceStop() clock.Millis {
	at := clock.Millis(n.stoppedAt.Load())
	if at == 0 {
		return 0
	}
	return n.clock.Now() - at
}

// endsBeforeStop reports whether a request that is sent to a backend server now is bound to end
// before a stopping process exits. A stream that has begun may always go on: the alternative is
// to break it off.
func (c *exchange) endsBeforeStop() bool {
	n := c.node
	since := n.sinceStop()
	remaining := n.settings.Grace - stopReserve - since
	if !n.isStopping() || c.started || since < stopSendWindow && remaining > 0 {
		return true
	}
	return c.route.Kind != topo.KindStream && c.req.Deadline-n.clock.Now() < remaining
}

// endIfStopping ends the request if a stop leaves no time for it, and reports whether it did.
func (c *exchange) endIfStopping() bool {
	if c.endsBeforeStop() {
		return false
	}
	c.node.withCore(func(core *choose.Core) { core.Abandoned(&c.req) })
	c.giveUp(stoppingReason, notReadyRetryAfter)
	return true
}

func (n *Node) endSendWindowIfDue(sinceStop clock.Millis) {
	if sinceStop >= stopSendWindow {
		n.endSendWindow()
	}
}

// awaitStop ends the process after Stop, by calling cancel, once no requests arrive any more or
// the grace period is over.
func (n *Node) awaitStop(ctx context.Context, cancel func(), front *callerListener) error {
	ticker := time.NewTicker(stopPollPeriod)
	defer ticker.Stop()
	var idle idlePolls
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		since := n.sinceStop()
		isOver := n.isStopping() && since >= n.settings.Grace-stopReserve
		if since < keepAliveStopDelay && !isOver {
			continue
		}
		busy := n.callers.closeIdle(n.clock.Now())
		n.endSendWindowIfDue(since)
		if since >= stopNoticeDelay && idle.poll(busy) || isOver {
			n.drain(ctx, front)
			cancel()
			return nil
		}
	}
}

// drain accepts the connections that wait, closes the listener and waits until all connections
// are closed, each one after the answer to its last request. At the end of the grace period it
// ends the requests in progress.
func (n *Node) drain(ctx context.Context, front *callerListener) {
	n.log.Info("entry_vm_draining", "entry_vm", n.settings.ID, "after_ms", int64(n.sinceStop()), "in_flight", n.inFlight.Load(), "connections", n.callers.count())
	ticker := time.NewTicker(drainPollPeriod)
	defer ticker.Stop()
	accepting := true
	var answers answerPeriod
	for {
		since := n.sinceStop()
		n.endSendWindowIfDue(since)
		remaining := n.settings.Grace - stopReserve - since
		if remaining <= 0 {
			n.endGrace()
		}
		if accepting && (!front.pending() || remaining <= 0) {
			_ = front.Close()
			accepting = false
		}
		now := n.clock.Now()
		if remaining <= 0 {
			// No connection is new enough to be kept.
			now += firstRequestTimeout
		}
		missing := n.callers.closeIdle(now)
		if remaining <= 0 && answers.poll(n.clock.Now(), remaining+stopReserve-stopExitReserve, missing) || front.ended.Load() && n.callers.count() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
