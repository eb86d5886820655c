package fleet

import (
	"context"
	"time"

	"mangostile/internal/base/clock"
)

const (
	// delayPeriod is the time between two measurements of the process's delay.
	delayPeriod = 100 * time.Millisecond
	// loggedDelay is the delay from which on the process logs it.
	loggedDelay = 200 * clock.Millis(1)
)

// measureDelay measures by how much goroutines run later than they should: on a machine short of
// processor time, everything that the process decides is late by that much.
func (n *Node) measureDelay(ctx context.Context) error {
	timer := time.NewTimer(delayPeriod)
	defer timer.Stop()
	due := time.Now().Add(delayPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		delay := time.Since(due)
		n.meter.ProcessDelay(delay)
		if late := clock.FromDuration(delay); late >= loggedDelay {
			n.log.Warn("process_delayed", "delay_ms", int64(late), "in_flight", n.inFlight.Load())
		}
		timer.Reset(delayPeriod)
		due = time.Now().Add(delayPeriod)
	}
}
