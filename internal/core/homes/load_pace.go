package homes

import "mangostile/internal/base/clock"

// loadPace learns how long loads take from requests that find a load not over. A report of a
// backend server shows the end of a load only seconds later, so the expected time shrinks by a
// little with each load that nobody found late, and grows with each that somebody did. Both steps
// together keep the share of late loads at a few in 100, whatever the true time is.
type loadPace struct {
	// slowness is the factor by which loads take longer than Policy.AdapterLoad, at least 1.
	slowness float64
}

const (
	// slowdownFactor, recoveryFactor and maxSlowness adapt slowness: a late load multiplies it by
	// the first, a finished one by the second, up to the third. Their ratio leaves 1 of 20 loads
	// late.
	slowdownFactor = 1.04
	recoveryFactor = 0.998
	maxSlowness    = 4
	// initialSlowness is the slowness before anything is learned. A load that is expected too early
	// costs all that wait for it a send for nothing, one expected too late some milliseconds.
	initialSlowness = 1.2
	// congestedSlowness is the slowness from which on the weight store carries more loads than at full
	// speed. Below it slowness is that of the backend servers and of the way to them.
	congestedSlowness = 1.15 * initialSlowness
	// congestedRecovery replaces recoveryFactor above it: a congestion ends at once.
	congestedRecovery = 0.97
)

// late records that a request found a load not over some time after its order was answered, and
// reports whether loads take longer because the weight store is congested. usual is the set time of a
// load. A load that began before others showed that loads take longer tells nothing new.
func (l *loadPace) late(after, usual clock.Millis) bool {
	if after < l.expected(usual) {
		return false
	}
	l.slowness = min(maxSlowness, l.slowness*slowdownFactor)
	return l.slowness > congestedSlowness
}

// finished records that a load ended in its expected time.
func (l *loadPace) finished() {
	recovery := recoveryFactor
	if l.slowness > congestedSlowness {
		recovery = congestedRecovery
	}
	l.slowness = max(1, l.slowness*recovery)
}

// expected returns the time of a load from the weight store whose set time is given.
func (l *loadPace) expected(load clock.Millis) clock.Millis {
	return clock.Millis(float64(load) * l.slowness)
}
