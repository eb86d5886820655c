package choose

import "mangostile/internal/base/clock"

// crowdedReason is the reason of waiting for a copy that is loading although there is a loaded one.
const crowdedReason = "loaded copies are crowded"

// crowdedTime is the time to the first event from which on a request rather waits for a copy that is
// loading. It bounds what a wrong estimate costs: below it, hardly any caller would see the gain.
const crowdedTime = 400 * clock.Millis(1)

// isWorthWaiting reports whether r is answered sooner if it waits for a copy that is ready at an instant
// at the backend server next than in the queue of best, in which nothing can be moved to the new copy.
func (c *Core) isWorthWaiting(r *Request, best, next *view, readyAt clock.Millis) bool {
	if readyAt > r.waitsUntil() || !c.admits(r, next) || r.tried(next.ID) {
		return false
	}
	now := c.expected(r, best)
	return now >= float64(crowdedTime) && float64(readyAt-c.now)+c.expected(r, next)+float64(crowdedTime)/2 < now
}

// loadsSooner reports whether a copy that is ready at an instant in another region is better for r than
// a load of its own, which would not even have begun by then in a shard with a queue of loads.
func (c *Core) loadsSooner(r *Request, elsewhere clock.Millis, shard string) bool {
	p := c.placer(shard)
	return elsewhere > 0 && elsewhere <= r.waitsUntil() && p != nil && c.now+p.waitOf(r) > elsewhere
}

// returnsAfter returns the time after which the caller of r should come back when there may be room after
// a delay. Callers that were refused together come back spread over as much time again, so that they
// find the room that becomes free meanwhile and not each other.
func (r *Request) returnsAfter(delay clock.Millis) clock.Millis {
	return delay + clock.Millis(returnSpread*float64(delay)*spread(r.ID, ""))
}

// returnSpread is the share of a delay over which returning callers are spread.
const returnSpread = 1.0
