package engine

import (
	"sync"
	"time"

	"mangostile/internal/base/clock"
)

// Faults are the failures that a POST to /fault brings about. Those in force
// last until the next POST.
type Faults struct {
	// BreakAfterTokens breaks the connection of each stream after so many
	// tokens; the stream goes on and can be resumed.
	BreakAfterTokens int `json:"break_after_tokens"`
	// Crash breaks off all requests and starts the engine cold, once.
	Crash bool `json:"crash"`
	// CrossAnswers gives two callers each other's answers.
	CrossAnswers bool `json:"cross_answers"`
	// DelayMillis delays each answer before its first byte.
	DelayMillis clock.Millis `json:"delay_ms"`
	// Leaving makes the engine refuse new requests and report that it leaves.
	Leaving bool `json:"leaving"`
	// LoseAnswers runs whole requests and then breaks the connection.
	LoseAnswers bool `json:"lose_answers"`
}

// SetFaults replaces the failures in force.
func (e *Engine) SetFaults(faults Faults) {
	if faults.Crash {
		e.Crash()
	}
	faults.Crash = false
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// SetLeaving makes the engine refuse new requests, or take them again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.Leaving = leaving
}

func (e *Engine) inForce() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// crossWait is how long an answer waits for another one to be crossed with.
const crossWait = 500 * time.Millisecond

// crosser swaps answers in pairs. The zero value is ready.
type crosser struct {
	mu      sync.Mutex
	waiting *crossing
}

type crossing struct {
	run   *run
	other chan *run
}

// swap returns another run in place of r, or r if none came in time.
func (c *crosser) swap(r *run) *run {
	c.mu.Lock()
	if first := c.waiting; first != nil {
		c.waiting = nil
		c.mu.Unlock()
		first.other <- r
		return first.run
	}
	own := &crossing{run: r, other: make(chan *run, 1)}
	c.waiting = own
	c.mu.Unlock()
	timer := time.NewTimer(crossWait)
	defer timer.Stop()
	select {
	case other := <-own.other:
		return other
	case <-timer.C:
	}
	c.mu.Lock()
	withdrawn := c.waiting == own
	if withdrawn {
		c.waiting = nil
	}
	c.mu.Unlock()
	if withdrawn {
		return r
	}
	return <-own.other
}
