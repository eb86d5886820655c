package owner

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

const (
	// priorityStep is the time by which a request goes ahead of those of the
	// next lower priority. A request is overtaken only by those that come within
	// this time for each step of priority.
	priorityStep = 2 * clock.Second
	// turnTime is the time by which each request of an adapter with weight 1
	// falls behind the one before it.
	turnTime = 200 * clock.Millis(1)
	// maxTurns bounds how far an adapter's requests fall behind.
	maxTurns = 10 * clock.Second
)

// fairness orders the requests of one server: start-time fair queuing between
// adapters by weight, with priorities as a head start. The zero value is ready.
type fairness struct {
	// finish holds when the turn of an adapter's last request ends.
	finish map[units.AdapterName]clock.Millis
}

// rank returns the place of a new request; smaller goes first. It does not
// change while the request waits, so that every request comes to the front.
func (f *fairness) rank(now clock.Millis, a *ask) clock.Millis {
	if f.finish == nil {
		f.finish = map[units.AdapterName]clock.Millis{}
	}
	start := max(now, f.finish[a.Adapter.Adapter])
	f.finish[a.Adapter.Adapter] = min(start+turnTime/clock.Millis(max(1, a.Weight)), now+maxTurns)
	return start - clock.Millis(a.Priority)*priorityStep
}

// prune forgets adapters whose turns have ended.
func (f *fairness) prune(now clock.Millis) {
	for adapter, finish := range f.finish {
		if finish <= now {
			delete(f.finish, adapter)
		}
	}
}

// enqueue puts a into the queue by rank, after those of equal rank.
func (s *server) enqueue(now clock.Millis, a *ask) {
	a.rank = s.fairness.rank(now, a)
	at, _ := slices.BinarySearchFunc(s.asks, a.rank, func(b *ask, rank clock.Millis) int {
		if b.rank <= rank {
			return -1
		}
		return 1
	})
	s.asks = slices.Insert(s.asks, at, a)
}
