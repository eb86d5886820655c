package fleet

import (
	"context"
	"time"

	"mangostile/internal/base/clock"
)

const (
	// watchPeriod is the time between two looks at the callers whose requests are being
	// served.
	watchPeriod = 200 * time.Millisecond
	// loggedDelay is the delay of the process from which on it is logged.
	loggedDelay = 200 * clock.Millis(1)
)

// watchCallers ends the requests of callers that have disconnected, until ctx is done. The HTTP
// server does so too, but not if bytes came behind the request, and late in a process short of
// processor time, since the Go scheduler serves timers before the network poller.
//
// It also measures by how much the process runs later than it should: everything that it decides
// is late by that much.
func (n *Node) watchCallers(ctx context.Context) error {
	timer := time.NewTimer(watchPeriod)
	defer timer.Stop()
	due := time.Now().Add(watchPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		n.noteDelay(time.Since(due))
		n.callers.cancelLeft()
		timer.Reset(watchPeriod)
		due = time.Now().Add(watchPeriod)
	}
}

func (n *Node) noteDelay(delay time.Duration) {
	n.meter.ProcessDelay(delay)
	if late := clock.FromDuration(delay); late >= loggedDelay {
		n.log.Warn("process_delayed", "delay_ms", int64(late), "in_flight", n.inFlight.Load())
	}
}
