package fleet

import (
	"sync"

	"mangostile/internal/base/clock"
)

// maxStandstill is the longest time without a sign that the process runs after which it still
// counts as one that ran all the while.
const maxStandstill = clock.Second

// running records since when the process has run without standing still, as it does while it is
// frozen or its machine is suspended. The zero value is ready to use.
type running struct {
	mu sync.Mutex
	// lastAt is the time of the last sign that it runs, since that of the first one after it
	// stood still. Both are by the clock that counts suspended time; 0 means none.
	lastAt, since clock.Millis
}

// note records a sign that the process runs. It returns since when it has, and for how long it had
// stood still if this is the first sign after that.
func (r *running) note(bootNow clock.Millis) (since, stood clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastAt == 0 || bootNow > r.lastAt+maxStandstill {
		if r.lastAt > 0 {
			stood = bootNow - r.lastAt
		}
		r.since = bootNow
	}
	r.lastAt = max(r.lastAt, bootNow)
	return r.since, stood
}

// noteRunning returns since when the process has run without standing still. What waited meanwhile,
// such as messages of other entry VMs, may be old.
func (n *Node) noteRunning() clock.Millis {
	since, stood := n.running.note(n.clock.BootNow())
	if stood > 0 {
		n.log.Warn("process_resumed", "stood_ms", int64(stood))
	}
	return since
}
