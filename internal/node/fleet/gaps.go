package fleet

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
)

// eventGaps measures the times between the events of one attempt. Only the attempt's goroutine uses
// it, so that an event takes no lock. The zero value is one without events.
type eventGaps struct {
	lastAt clock.Millis
	// firstAt is when the first event was received, 0 before.
	firstAt clock.Millis
	// longest is the longest gap, which ended with the event number longestEvent, counted from 0.
	longest      clock.Millis
	longestEvent int
	// count is the number of events after the first one.
	count int
}

// received records events that arrived together.
func (g *eventGaps) received(now clock.Millis, events int) {
	if g.firstAt == 0 {
		g.firstAt, g.lastAt, g.count = now, now, events-1
		return
	}
	g.count += events
	if gap := now - g.lastAt; gap > g.longest {
		g.longest, g.longestEvent = gap, g.count
	}
	g.lastAt = now
}

// took returns the time from the first event to the last.
func (g *eventGaps) took() clock.Millis { return g.lastAt - g.firstAt }

// seen returns what the core learns of the attempt.
func (g *eventGaps) seen() choose.SeenGaps {
	return choose.SeenGaps{Longest: g.longest, Events: g.count, Took: g.took()}
}
