package owner

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

const (
	// priorityStep is the head start of a request over those of the next lower priority.
	// A request is overtaken only by those that arrive within maxFairDelay, plus this time
	// for each step of priority.
	priorityStep = 2 * clock.Second
	// fairDelay is the time by which each request of an adapter with weight 1 ranks
	// behind the one before it.
	fairDelay = 200 * clock.Millis(1)
	// maxFairDelay bounds the delay of an adapter's requests in total.
	maxFairDelay = 10 * clock.Second
)

// fairness orders the requests of one server: start-time fair queuing between
// adapters by weight, with priorities as a head start. The zero value is ready.
type fairness struct {
	// finish holds the virtual finish time of each adapter's last request.
	finish map[units.AdapterName]clock.Millis
}

// rank returns the rank of a new request; smaller goes first. It does not change while
// the request waits, so that every request reaches the front eventually.
func (f *fairness) rank(now clock.Millis, req *queuedRequest) clock.Millis {
	if f.finish == nil {
		f.finish = map[units.AdapterName]clock.Millis{}
	}
	start := max(now, f.finish[req.Adapter.Adapter])
	f.finish[req.Adapter.Adapter] = min(start+fairDelay/clock.Millis(max(1, req.Weight)), now+maxFairDelay)
	return start - clock.Millis(req.Priority)*priorityStep
}

// prune removes adapters whose virtual finish time has passed.
func (f *fairness) prune(now clock.Millis) {
	for adapter, finish := range f.finish {
		if finish <= now {
			delete(f.finish, adapter)
		}
	}
}

// enqueue inserts req into the queue by rank, after those of equal rank.
func (s *server) enqueue(now clock.Millis, req *queuedRequest) {
	req.rank = s.fairness.rank(now, req)
	at, _ := slices.BinarySearchFunc(s.queue, req.rank, func(b *queuedRequest, rank clock.Millis) int {
		if b.rank <= rank {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, at, req)
}
