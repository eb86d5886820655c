package engine

import (
	"sync"
	"time"

	"mangostile/internal/base/clock"
)

// Faults are the failures that a POST to /fault injects. They stay active until the
// next POST.
type Faults struct {
	// BreakAfterTokens is the number of tokens after which each stream's connection
	// breaks; the run continues and the stream can be resumed.
	BreakAfterTokens int `json:"break_after_tokens"`
	// Crash aborts all requests and restarts the engine cold, once.
	Crash bool `json:"crash"`
	// CrossAnswers sends two callers each other's answers.
	CrossAnswers bool `json:"cross_answers"`
	// DelayMillis delays each answer before its first byte.
	DelayMillis clock.Millis `json:"delay_ms"`
	// Leaving makes the engine refuse new requests and report that it is leaving.
	Leaving bool `json:"leaving"`
	// LoseAnswers runs requests that don't stream to their end and then closes the
	// connection without an answer.
	LoseAnswers bool `json:"lose_answers"`
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(faults Faults) {
	if faults.Crash {
		e.Crash()
	}
	faults.Crash = false
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// SetLeaving makes the engine refuse new requests, or accept them again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.Leaving = leaving
}

func (e *Engine) activeFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// swapTimeout bounds the wait of an answer for another one to swap with.
const swapTimeout = 500 * time.Millisecond

// swapper swaps answers in pairs. The zero value is ready to use.
type swapper struct {
	mu      sync.Mutex
	waiting *swapPartner
}

type swapPartner struct {
	run   *run
	other chan *run
}

// swap returns another run in place of r, or r if none arrives within swapTimeout.
func (c *swapper) swap(r *run) *run {
	c.mu.Lock()
	if first := c.waiting; first != nil {
		c.waiting = nil
		c.mu.Unlock()
		first.other <- r
		return first.run
	}
	own := &swapPartner{run: r, other: make(chan *run, 1)}
	c.waiting = own
	c.mu.Unlock()
	timer := time.NewTimer(swapTimeout)
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
