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
	// times holds when the last events were received, by number, and fastest is the shortest time for
	// paceEvents of them, 0 if there were fewer.
	times   [paceEvents]clock.Millis
	fastest clock.Millis
}

// paceEvents is the number of events whose time shows the pace of a stream: so many seldom all meet a
// pause, and the errors of single times even out.
const paceEvents = 4

// received records events that arrived together.
func (g *eventGaps) received(now clock.Millis, events int) {
	if g.firstAt == 0 {
		g.firstAt, g.lastAt, g.count = now, now, events-1
		g.note(now, events)
		return
	}
	g.count += events
	g.note(now, events)
	if gap := now - g.lastAt; gap > g.longest {
		g.longest, g.longestEvent = gap, g.count
	}
	g.lastAt = now
}

// note records the times of the last events.
func (g *eventGaps) note(now clock.Millis, events int) {
	for i := g.count - min(events, paceEvents) + 1; i <= g.count; i++ {
		at := &g.times[i%paceEvents]
		if i >= paceEvents && (g.fastest == 0 || now-*at < g.fastest) {
			g.fastest = max(1, now-*at)
		}
		*at = now
	}
}

// took returns the time from the first event to the last.
func (g *eventGaps) took() clock.Millis { return g.lastAt - g.firstAt }

// seen returns what the core learns of the attempt.
func (g *eventGaps) seen() choose.SeenGaps {
	return choose.SeenGaps{Longest: g.longest, Events: g.count, Took: g.took(), Fastest: float64(g.fastest) / paceEvents}
}
