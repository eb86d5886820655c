package fleet

import (
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
)

// DefaultMaxDelay is the usual Settings.MaxDelay. A look at the callers that is late by watchPeriod
// and this delay, and a close that is late by this delay, end the request of a caller that left
// within half a second.
const DefaultMaxDelay = 150 * clock.Millis(1)

// loggedDelay is the delay from which on it is logged.
const loggedDelay = DefaultMaxDelay

// processDelay is by how much the process runs later than it should. The zero value, before the
// first measurement, is no delay.
type processDelay struct {
	// last is the delay that was measured at the time at, both in ms.
	last, at atomic.Int64
}

func (d *processDelay) note(now, delay clock.Millis) {
	d.last.Store(int64(delay))
	d.at.Store(int64(now))
}

// current returns the last delay that was measured, or the one by which the next measurement is
// overdue if that is longer.
func (d *processDelay) current(now clock.Millis) clock.Millis {
	at := clock.Millis(d.at.Load())
	if at == 0 {
		return 0
	}
	return max(clock.Millis(d.last.Load()), now-at-clock.FromDuration(watchPeriod))
}

// endIfDelayed refuses a request that was just read if the process is short of processor time, and
// reports whether it did. What it accepts beyond that it serves late and cancels late, and makes
// later what it has accepted already; the caller's next attempt reaches another entry VM.
func (c *exchange) endIfDelayed() bool {
	n := c.node
	limit := n.settings.MaxDelay
	if limit == 0 || n.delay.current(n.clock.Now()) < limit {
		return false
	}
	c.refuse("the entry VM is short of processor time", delayedRetryAfter)
	return true
}

// delayedRetryAfter is the retry delay given to callers of an entry VM that is short of processor
// time. The next measurement follows within it.
const delayedRetryAfter = 300 * clock.Millis(1)

// noteDelay records the delay of a goroutine that was due for that long.
func (n *Node) noteDelay(delay time.Duration) {
	n.meter.ProcessDelay(delay)
	late := clock.FromDuration(delay)
	n.delay.note(n.clock.Now(), late)
	if late >= loggedDelay {
		n.log.Warn("process_delayed", "delay_ms", int64(late), "in_flight", n.inFlight.Load())
	}
}
