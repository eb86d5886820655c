package place

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// Delays after a failed load. The backoff doubles with each failure in a row.
const (
	firstBackoff clock.Millis = 250
	// OpenPeriod is how long a version is refused after OpenAfter failures.
	OpenPeriod = 30 * clock.Second
)

// OpenAfter is the number of failed loads in a row after which requests for the
// version are refused for OpenPeriod.
const OpenAfter = 4

// Failures is a circuit breaker for the loads of each adapter version. The zero value has
// no failures.
type Failures struct {
	versions map[units.AdapterVersion]*failure
}

// failure is a series of failed loads of one version.
type failure struct {
	count int
	// until is the time before which no load starts.
	until clock.Millis
}

// Failed counts a failed load of av. It reports whether requests for av must be refused
// from now on.
func (f *Failures) Failed(now clock.Millis, av units.AdapterVersion) bool {
	if f.versions == nil {
		f.versions = map[units.AdapterVersion]*failure{}
	}
	v := f.versions[av]
	if v == nil {
		v = &failure{}
		f.versions[av] = v
	}
	v.count++
	if v.count >= OpenAfter {
		v.until = now + OpenPeriod
		return true
	}
	v.until = now + jitter(firstBackoff<<(v.count-1), av, v.count)
	return false
}

// jitter returns a delay between half of wait and wait, the same for equal arguments.
func jitter(wait clock.Millis, av units.AdapterVersion, count int) clock.Millis {
	half := wait / 2
	return half + clock.Millis((xxhash.Sum64String(av.String())+uint64(count)*0x9e3779b97f4a7c15)%uint64(half+1))
}

// Loaded resets the failures of av after a successful load.
func (f *Failures) Loaded(av units.AdapterVersion) { delete(f.versions, av) }

// InBackoff reports whether no load of av may start at now.
func (f *Failures) InBackoff(now clock.Millis, av units.AdapterVersion) bool {
	v := f.versions[av]
	return v != nil && now < v.until
}

// OpenRemaining returns the time in ms for which requests for av are still refused, or 0.
// One load is tried after it.
func (f *Failures) OpenRemaining(now clock.Millis, av units.AdapterVersion) clock.Millis {
	v := f.versions[av]
	if v == nil || v.count < OpenAfter {
		return 0
	}
	return max(0, v.until-now)
}
