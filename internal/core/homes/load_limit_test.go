package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
)

// sharedStore is a weight store that carries atOnce loads at full speed; with more in flight
// each takes proportionally longer.
type sharedStore struct {
	atOnce int
	// ends are the times at which the loads in flight end.
	ends []clock.Millis
}

// start begins a load and returns its duration.
func (s *sharedStore) start(now, load clock.Millis) clock.Millis {
	open := s.ends[:0]
	for _, end := range s.ends {
		if end > now {
			open = append(open, end)
		}
	}
	s.ends = open
	took := load * clock.Millis(max(s.atOnce, len(s.ends)+1)) / clock.Millis(s.atOnce)
	s.ends = append(s.ends, now+took)
	return took
}

// TestLoadLimitFindsTheStoresCapacity plays a crowd that asks for more adapters than can be
// loaded, against stores that carry fewer and more loads than the limit begins with. The limit
// must come to use most of what the store carries, and must not go far beyond it.
func TestLoadLimitFindsTheStoresCapacity(t *testing.T) {
	const load, step, start = 250 * clock.Millis(1), 5 * clock.Millis(1), 8.0
	for _, atOnce := range []int{5, 8, 16, 24} {
		t.Run(fmt.Sprint(atOnce), func(t *testing.T) {
			store := &sharedStore{atOnce: atOnce}
			var l loadLimit
			var ends []clock.Millis
			due := map[clock.Millis]bool{}
			inFlight, samples := 0, 0
			for now := clock.Millis(1000); now < 21000; now += step {
				open := ends[:0]
				for _, end := range ends {
					if end > now {
						open = append(open, end)
						continue
					}
					l.finished(now)
				}
				ends = open
				for float64(len(ends)) < l.current(start) {
					took := store.start(now, load)
					ends = append(ends, now+took)
					if took > load+loadMargin {
						// A request finds it late at the first step after its expected end.
						due[now+(load+loadMargin+step)/step*step] = true
					}
				}
				l.bound(now)
				if due[now] {
					l.late(now)
				}
				if now >= 11000 {
					inFlight, samples = inFlight+len(ends), samples+1
				}
			}
			mean := float64(inFlight) / float64(samples)
			must.GreaterEq(t, 0.75*float64(atOnce), mean)
			must.LessEq(t, 1.5*float64(atOnce), mean)
		})
	}
}

// TestLoadLimitGrowsOnlyWhileItBinds checks that loads of a calm time don't raise the limit:
// nothing shows then that the store carries more.
func TestLoadLimitGrowsOnlyWhileItBinds(t *testing.T) {
	var l loadLimit
	must.Eq(t, 8, l.current(8))
	for now := clock.Millis(1000); now < 5000; now += 10 {
		l.finished(now)
	}
	must.Eq(t, 8, l.current(8))
	l.bound(5000)
	for now := clock.Millis(5000); now < 5400; now += 10 {
		l.finished(now)
	}
	must.Greater(t, 10.0, l.current(8))
	for now := clock.Millis(6000); now < 30000; now += 100 {
		l.late(now)
	}
	must.Eq(t, minLoadsInFlight, l.current(8))
}
