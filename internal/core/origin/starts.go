// Package origin keeps which version of a backend server's software began a stream, and decides
// which entry VMs know it, so that a caller that takes up the stream at another entry VM reaches
// that version.
package origin

import (
	"cmp"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Key identifies a stream by a hash of the id of the client attempt that brought its first event.
type Key uint64

// KeyOf returns the key of the stream that the client attempt id began.
func KeyOf(id units.RequestID) Key { return Key(xxhash.Sum64String(string(id))) }

// Limits of starts.
const (
	// MaxStarts is the number of starts that Starts holds by default.
	MaxStarts = 16384
	// MaxLifetime is the longest time for which a start is kept.
	MaxLifetime = 10 * clock.Minute
	// maxSoftwareBytes bounds the text of a version, maxServiceBytes the name of a service.
	maxSoftwareBytes = 256
	maxServiceBytes  = 256
)

// Start is the begin of a stream.
type Start struct {
	Key      Key           `msgpack:"k"`
	Software topo.Software `msgpack:"v"`
	// Service is the service that began the stream, empty if an entry VM of an earlier release told
	// the start.
	Service units.ServiceName `msgpack:"sv,omitempty"`
	// Remaining is the time in ms for which the caller may still take up the stream; it is
	// positive.
	Remaining clock.Millis `msgpack:"r"`
}

// Check returns an error if s breaks an invariant of its type.
func (s *Start) Check() error {
	if s.Remaining <= 0 {
		return errors.New("a start that has expired")
	}
	return CheckOrigin(s.Service, s.Software)
}

// CheckOrigin returns an error if a service or a version that another entry VM sent is too long.
func CheckOrigin(service units.ServiceName, v topo.Software) error {
	if len(service) > maxServiceBytes {
		return errors.Errorf("a service whose name has %d bytes", len(service))
	}
	return CheckSoftware(v)
}

// CheckSoftware returns an error if a version that another entry VM sent is too long.
func CheckSoftware(v topo.Software) error {
	if len(v) > maxSoftwareBytes {
		return errors.Errorf("a version of %d bytes", len(v))
	}
	return nil
}

// Starts holds the latest starts. The zero value is empty.
type Starts struct {
	// Limit is the number of starts held; 0 means MaxStarts.
	Limit int
	byKey map[Key]record
	// order lists the keys by their first Add. It has each key of byKey once.
	order []Key
	// overflowedUntil is the end of the last one of the starts that were dropped before it.
	overflowedUntil clock.Millis
}

type record struct {
	began topo.ServiceSoftware
	until clock.Millis
}

// Add records a start. The version of a stream that is known already stays; its service is added if
// it was not told before.
func (s *Starts) Add(now clock.Millis, start Start) {
	if s.byKey == nil {
		s.byKey = map[Key]record{}
	}
	until := now + min(start.Remaining, MaxLifetime)
	known, ok := s.byKey[start.Key]
	if !ok {
		s.forget(now)
		s.order = append(s.order, start.Key)
	}
	switch {
	case now >= known.until:
		known.began = topo.ServiceSoftware{Service: start.Service, Software: start.Software}
	case known.began.Service == "" && known.began.Software == start.Software:
		known.began.Service = start.Service
	}
	known.until = max(known.until, until)
	s.byKey[start.Key] = known
}

// forget drops the oldest starts while they have expired or leave no place for another one.
func (s *Starts) forget(now clock.Millis) {
	n := 0
	for n < len(s.order) && (now >= s.byKey[s.order[n]].until || len(s.byKey) >= cmp.Or(s.Limit, MaxStarts)) {
		s.overflowedUntil = max(s.overflowedUntil, s.byKey[s.order[n]].until)
		delete(s.byKey, s.order[n])
		n++
	}
	s.order = s.order[n:]
}

// Find returns the version that began a stream, and its service if that was told.
func (s *Starts) Find(now clock.Millis, key Key) (topo.ServiceSoftware, bool) {
	r, ok := s.byKey[key]
	if !ok || now >= r.until {
		return topo.ServiceSoftware{}, false
	}
	return r.began, true
}

// Overflowed reports whether a start was dropped before its time that would still be kept now.
func (s *Starts) Overflowed(now clock.Millis) bool { return now < s.overflowedUntil }

// Len returns the number of starts, including some that have expired.
func (s *Starts) Len() int { return len(s.byKey) }
