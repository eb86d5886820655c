// Package store is a stand-in for the rate-limited weight store.
package store

import (
	"context"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/pkg/errors"
)

// Options configure a WeightStore.
type Options struct {
	// LoadsPerSecond limits the rate at which loads start; 0 is 4.
	LoadsPerSecond float64
	// FullSpeed is the number of loads in flight up to which a load takes LoadTime. With
	// more in flight, it takes LoadTime times their number divided by FullSpeed, rounded
	// up. 0 is 8.
	FullSpeed int
	// LoadTime is the duration of one load at full speed; 0 is 250 ms.
	LoadTime clock.Millis
}

// WeightStore simulates the timing and failures of loads. The zero value has the rates of
// the larger deployment in the requirements and holds every version but those set to fail.
type WeightStore struct {
	Options

	mu       sync.Mutex
	inFlight int
	// maxInFlight is the greatest number of concurrent loads so far.
	maxInFlight int
	loads       int
	// nextStartAt is the earliest time at which the rate limit lets the next load start.
	nextStartAt time.Time
	slow        float64
	failed      map[units.AdapterVersion]bool
}

// Defaults of the zero value.
const (
	defaultLoadsPerSecond = 4
	defaultFullSpeed      = 8
	defaultLoadTime       = 250 * clock.Millis(1)
)

var errNoSuchVersion = errors.New("the weight store does not hold this version")

// SetSlow multiplies the time of every load and the interval between the starts of loads
// by a factor; factors up to 1, such as 0, restore the normal speed.
func (s *WeightStore) SetSlow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Fail makes loads of a version fail, or succeed again.
func (s *WeightStore) Fail(av units.AdapterVersion, fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = map[units.AdapterVersion]bool{}
	}
	s.failed[av] = fail
}

// Faults are the failures that a WeightStore simulates. The zero value has none.
type Faults struct {
	// Slow is the factor of SetSlow; 0 is the normal speed.
	Slow float64 `json:"slow"`
	// Fail lists the versions whose loads fail.
	Fail []units.AdapterVersion `json:"fail"`
}

// SetFaults replaces the active faults.
func (s *WeightStore) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = faults.Slow
	s.failed = map[units.AdapterVersion]bool{}
	for _, av := range faults.Fail {
		s.failed[av] = true
	}
}

// Loads returns how many loads have started and the maximum in flight at once.
func (s *WeightStore) Loads() (started, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.maxInFlight
}

// Load waits for the time that reading the adapter's weights takes. It fails for a version
// that the store does not hold.
func (s *WeightStore) Load(ctx context.Context, av units.AdapterVersion) error {
	wait, failed := s.begin(av)
	defer s.end()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if failed {
		return errNoSuchVersion
	}
	return nil
}

// begin counts a load as started. It returns the load's duration, with the delay due to the
// rate limit, and whether the load fails.
func (s *WeightStore) begin(av units.AdapterVersion) (wait time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.loads++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	rate, full, load := s.LoadsPerSecond, s.FullSpeed, s.LoadTime
	if rate == 0 {
		rate = defaultLoadsPerSecond
	}
	if full == 0 {
		full = defaultFullSpeed
	}
	if load == 0 {
		load = defaultLoadTime
	}
	now := time.Now()
	start := now
	if s.nextStartAt.After(now) {
		start = s.nextStartAt
	}
	slow := max(1, s.slow)
	s.nextStartAt = start.Add(time.Duration(slow * float64(time.Second) / rate))
	transfer := load.Duration() * time.Duration(max(1, (s.inFlight+full-1)/full))
	return start.Sub(now) + time.Duration(slow*float64(transfer)), s.failed[av]
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
