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

// Options say how a WeightStore behaves.
type Options struct {
	// LoadsPerSecond bounds the loads that start; 0 is 4.
	LoadsPerSecond float64
	// FullSpeed is the number of loads in flight up to which one takes LoadTime;
	// beyond, it takes proportionally longer. 0 is 8.
	FullSpeed int
	// LoadTime is the time of one load at full speed; 0 is 250 ms.
	LoadTime clock.Millis
}

// WeightStore hands out adapters. The zero value has the rates of the brief's
// larger deployment and holds every version but those set to fail.
type WeightStore struct {
	Options

	mu       sync.Mutex
	inFlight int
	// most is the greatest number of loads in flight so far.
	most   int
	loads  int
	freeAt time.Time
	slow   float64
	failed map[units.AdapterVersion]bool
}

// Defaults of the zero value.
const (
	defaultLoadsPerSecond = 4
	defaultFullSpeed      = 8
	defaultLoadTime       = 250 * clock.Millis(1)
)

// Errors of a load.
var errNoSuchVersion = errors.New("the weight store does not hold this version")

// SetSlow makes every load factor times slower; 0 ends it.
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

// Faults are the failures that a WeightStore shows. The zero value shows none.
type Faults struct {
	// Slow makes every load so many times slower.
	Slow float64 `json:"slow"`
	// Fail lists the versions whose loads fail.
	Fail []units.AdapterVersion `json:"fail"`
}

// SetFaults replaces the failures in force.
func (s *WeightStore) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = faults.Slow
	s.failed = map[units.AdapterVersion]bool{}
	for _, av := range faults.Fail {
		s.failed[av] = true
	}
}

// Loads returns how many loads have started and the most that were in flight at
// once.
func (s *WeightStore) Loads() (started, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.most
}

// Load returns once the adapter's weights have been read.
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

func (s *WeightStore) begin(av units.AdapterVersion) (wait time.Duration, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.loads++
	s.most = max(s.most, s.inFlight)
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
	if s.freeAt.After(now) {
		start = s.freeAt
	}
	slow := max(1, s.slow)
	s.freeAt = start.Add(time.Duration(slow * float64(time.Second) / rate))
	transfer := load.Duration() * time.Duration(max(1, (s.inFlight+full-1)/full))
	return start.Sub(now) + time.Duration(slow*float64(transfer)), s.failed[av]
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
