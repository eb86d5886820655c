package owner

import "mangostile/internal/base/clock"

const (
	// gatherFraction is the fraction of a request's deadline budget that it may wait for
	// other requests under an objective of 1.
	gatherFraction = 0.3
	// maxGatherDelay bounds the wait for other requests under an objective of 1, in ms.
	maxGatherDelay = 8 * clock.Second
	// minGatherRemaining is the fraction of a request's deadline budget that must remain
	// for it to wait for other requests.
	minGatherRemaining = 0.6
	// gatherFill is the fraction of a batch that ends the wait once it is filled.
	gatherFill = 0.75
)

// gathering reports whether an idle server waits for more requests, so that they run in
// one fuller batch. A busy server grants every request at once, since a place in a
// running batch costs little. A request of raised priority, or one that can wait no
// longer, ends the wait.
func (o *Owner) gathering(now clock.Millis, s *server) bool {
	if o.Objective <= 0 || len(s.grants) > 0 {
		return false
	}
	ready := 0
	for _, req := range s.queue {
		c := s.copies[req.Adapter]
		if c == nil || c.loading || c.unloading {
			continue
		}
		if req.Priority > 0 || now >= req.receivedAt+o.gatherDelay(req) || float64(req.deadline-now) < minGatherRemaining*float64(req.Remaining) {
			return false
		}
		ready++
	}
	return float64(ready) < gatherFill*float64(s.batchMax())
}

// gatherDelay returns how long, in ms, a request may wait for others.
func (o *Owner) gatherDelay(req *queuedRequest) clock.Millis {
	part := clock.Millis(o.Objective * gatherFraction * float64(req.Remaining))
	return min(part, clock.Millis(o.Objective*float64(maxGatherDelay)))
}
