package fleet

import (
	"context"
	"time"
)

// watchPeriod is the time between two looks at the callers whose requests are being served.
const watchPeriod = 200 * time.Millisecond

// watchCallers ends the requests of callers that have disconnected, until ctx is done. The HTTP
// server does so too, but not if bytes came behind the request, and late in a process short of
// processor time, since the Go scheduler serves timers before the network poller.
//
// It also measures the process's delay: everything that it decides is late by that much.
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
		n.noteRunning()
		n.noteDelay(time.Since(due))
		n.callers.cancelLeft()
		timer.Reset(watchPeriod)
		due = time.Now().Add(watchPeriod)
	}
}
