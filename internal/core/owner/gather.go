package owner

import "mangostile/internal/base/clock"

const (
	// gatherPart is the part of a request's time that it may wait for others
	// under an objective of 1.
	gatherPart = 0.3
	// maxGather bounds that wait.
	maxGather = 8 * clock.Second
	// gatherLeft is the part of a request's time that must be left for it to
	// wait for others.
	gatherLeft = 0.6
	// gatherFill is the part of a batch that ends the wait.
	gatherFill = 0.75
)

// gathering reports whether an idle server waits for more requests, so that
// they run in one fuller batch. A server that runs anything takes every request
// at once, since a place in a running batch costs little.
func (o *Owner) gathering(now clock.Millis, s *server) bool {
	if o.Objective <= 0 || len(s.grants) > 0 {
		return false
	}
	ready := 0
	for _, a := range s.asks {
		c := s.copies[a.Adapter]
		if c == nil || c.loading || c.unloading {
			continue
		}
		if a.Priority > 0 || now >= a.askedAt+o.gatherTime(a) || float64(a.deadline-now) < gatherLeft*float64(a.Within) {
			return false
		}
		ready++
	}
	return float64(ready) < gatherFill*float64(s.batchMax())
}

// gatherTime is how long a request may wait for others.
func (o *Owner) gatherTime(a *ask) clock.Millis {
	part := clock.Millis(o.Objective * gatherPart * float64(a.Within))
	return min(part, clock.Millis(o.Objective*float64(maxGather)))
}
