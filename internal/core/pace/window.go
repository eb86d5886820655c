package pace

import (
	"math"

	"mangostile/internal/base/clock"
)

const (
	// startShare is the share of its slots that a server which has just started gets as its window:
	// enough to show its pace with a few answers.
	startShare = 1.0 / 8
	// minWindow is the least window, so that one slow request doesn't leave the server idle.
	minWindow = 2
	// narrowPeriod is the least time between two reductions: the answers to requests that were sent
	// at the same time come together.
	narrowPeriod = 500 * clock.Millis(1)
	// expectedRatio is the time up to which an answer counts as one at the expected pace, as a
	// multiple of it.
	expectedRatio = 2
)

// Window bounds the requests of all entry VMs together at a server that has just started or recovered.
// It grows by one with each answer at the expected pace, so that it doubles in the time of an answer;
// it halves if the server refuses or slows down, and ends once it has reached the server's slots. The
// zero value has no bound.
type Window struct {
	limit      float64
	narrowedAt clock.Millis
}

// Open begins a window at a server with a number of slots.
func (w *Window) Open(slots int32) {
	*w = Window{limit: startOf(slots)}
	w.endAt(slots)
}

func startOf(slots int32) float64 { return max(minWindow, startShare*float64(slots)) }

func (w *Window) endAt(slots int32) {
	if w.limit >= float64(slots) {
		w.limit = 0
	}
}

// Limit returns the bound, 0 for none.
func (w *Window) Limit() int32 { return int32(math.Floor(w.limit)) }

// Set replaces the bound, 0 for none.
func (w *Window) Set(limit int32) { w.limit = float64(max(0, limit)) }

// Note records answers, or refusals, of a server that is believed to have a slowness. scale is the number
// of requests that each stands for; with 0, nothing changes.
func (w *Window) Note(now clock.Millis, s Sample, slowness, scale float64, slots int32) {
	switch {
	case w.limit == 0 || s.Answers == 0 || scale == 0:
	case s.Refused == 0 && s.Took <= expectedRatio*slowness*s.Expected:
		w.limit += scale * float64(s.Answers)
		w.endAt(slots)
	case w.narrowedAt == 0 || now >= w.narrowedAt+narrowPeriod:
		w.limit, w.narrowedAt = max(startOf(slots), w.limit/2), now
	}
}
