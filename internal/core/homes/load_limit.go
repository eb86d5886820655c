package homes

import "mangostile/internal/base/clock"

// loadLimit adapts how many loads the placer has in flight to what the weight store carries.
// The store's limit is shared by all shards and not published. Beyond it every load takes
// longer in proportion, so more loads in flight bring none sooner and only delay all; below
// it, requests wait although the store has capacity. As in congestion control, the limit
// grows by one load in the time of a load while it binds, and shrinks by a factor when
// requests find loads late. The zero value starts at the first floor passed to current.
type loadLimit struct {
	loads float64
	// boundAt is when the limit last kept a load back, reducedAt when it last shrank.
	boundAt   clock.Millis
	reducedAt clock.Millis
}

const (
	// limitBinds is how long after a load was kept back finished loads raise the limit.
	limitBinds = 500 * clock.Millis(1)
	// lateFactor multiplies the limit after a late load, at most once in lateReduction, the
	// usual time of a load: loads that run at the same time are late together.
	lateFactor    = 0.85
	lateReduction = defaultAdapterLoad
	// maxLimitGrowth bounds the limit to a multiple of its start.
	maxLimitGrowth = 4
)

// current returns the limit. start is where it begins; it does not fall below half of that.
func (l *loadLimit) current(start float64) float64 {
	if l.boundAt == 0 && l.reducedAt == 0 {
		// Nothing is learned yet, and start grows with the list of backend servers.
		l.loads = start
	}
	l.loads = max(start/2, min(l.loads, start*maxLimitGrowth))
	return max(minLoadsInFlight, l.loads)
}

// bound records that the limit kept a load back.
func (l *loadLimit) bound(now clock.Millis) { l.boundAt = max(1, now) }

// binds reports whether the limit has lately kept a load back.
func (l *loadLimit) binds(now clock.Millis) bool { return l.boundAt > 0 && now < l.boundAt+limitBinds }

// finished records that a load has ended in its expected time.
func (l *loadLimit) finished(now clock.Millis) {
	if l.binds(now) && l.loads > 0 {
		l.loads += 1 / l.loads
	}
}

// late records that a request found a load late.
func (l *loadLimit) late(now clock.Millis) {
	if l.reducedAt == 0 || now >= l.reducedAt+lateReduction {
		l.loads, l.reducedAt = l.loads*lateFactor, max(1, now)
	}
}
