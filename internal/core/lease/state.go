// Package lease computes the leases of a failure domain from its lease stream. The holder
// of a lease may order loads and evictions on a model engine that does not check fencing
// numbers. Records claim and renew leases; their order in the log decides, not the log's
// clock. The log must retain records for longer than any append is in flight.
package lease

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/vmihailenco/msgpack/v5"
)

// Term is how long other entry VMs respect a lease that is not renewed, on their own
// clocks. The holder treats its lease as expired earlier, so that clocks may run at
// different rates.
const Term = 4*clock.Second + 500

// Record is one record of a lease stream.
type Record struct {
	Holder      units.EntryVMID   `msgpack:"h"`
	Incarnation units.Incarnation `msgpack:"i"`
	// Sequence counts the records of one incarnation.
	Sequence uint64 `msgpack:"n"`
	// AsOf is the offset up to which the holder had read the stream. A claim of a new
	// lease is valid only if no record from AsOf on concerns the same engine.
	AsOf   units.Offset `msgpack:"o"`
	Claims []Claim      `msgpack:"c"`
}

// Claim is the part of a record that takes, renews or releases the lease of one model
// engine.
type Claim struct {
	Server units.BackendServerID `msgpack:"s"`
	// Fence is the fencing number of the lease to renew or release, or 0 to take it.
	Fence    units.Fence `msgpack:"f,omitempty"`
	Released bool        `msgpack:"r,omitempty"`
}

// Lease is the exclusive permission to order loads and evictions on one model engine.
type Lease struct {
	Holder      units.EntryVMID
	Incarnation units.Incarnation
	// Fence is the fencing number: the offset after the record that took the lease.
	Fence    units.Fence
	Released bool
}

// lastRecord locates the last record on one model engine, valid or not. A claim of a new
// lease whose sender had not read that record is invalid. All entry VMs that have read the
// stream since then therefore agree on the lease, whatever they read before.
type lastRecord struct {
	offset units.Offset
	// readAt is when the record was read, on the reader's clock.
	readAt clock.Millis
}

// Granted is a valid claim of a record.
type Granted struct {
	Server   units.BackendServerID
	Fence    units.Fence
	Sequence uint64
	// Taken is set if the lease was taken rather than renewed, Fresh if no entry VM can
	// have held it before.
	Taken bool
	Fresh bool
}

// State holds the leases computed from one lease stream. The zero value has read nothing.
type State struct {
	next   units.Offset
	leases map[units.BackendServerID]*Lease
	last   map[units.BackendServerID]lastRecord
	// from is the offset from which all records were read; since is when that reading
	// started.
	from  units.Offset
	since clock.Millis
	// complete is set if no record before next was skipped.
	complete bool
	started  bool
	// caughtUp is set after the end of the stream has been reached once.
	caughtUp bool
}

// maxBacklog is the number of records before the end of the stream that are read at the
// start and after a skip. Leases in older records can no longer be valid.
const maxBacklog = 64

// Next returns the offset of the first record that has not been applied.
func (s *State) Next() units.Offset { return s.next }

// Lease returns the lease of server, or nil if no record of one has been read.
func (s *State) Lease(server units.BackendServerID) *Lease { return s.leases[server] }

// Claimable reports whether the lease of server may be claimed at now: the stream has been
// read to its end, no valid lease can be missing, and the lease was released or no entry
// VM may hold it.
func (s *State) Claimable(now clock.Millis, server units.BackendServerID) bool {
	if !s.caughtUp || s.mayMissLease(now) {
		return false
	}
	l := s.leases[server]
	return l != nil && l.Released || !s.MayBeHeld(now, server)
}

// MayBeHeld reports whether the last record on server was read less than Term ago, so that
// an entry VM may hold its lease.
func (s *State) MayBeHeld(now clock.Millis, server units.BackendServerID) bool {
	last, ok := s.last[server]
	return ok && now < last.readAt+Term
}

// mayMissLease reports whether a valid lease may be missing because its record precedes
// those that were read.
func (s *State) mayMissLease(now clock.Millis) bool { return !s.complete && now < s.since+2*Term }

// Fold applies a batch of records and returns the leases that it granted to incarnation of
// the entry VM self. It reports false if the batch skips records or if, at the start, more
// than maxBacklog are unread; the caller must then read the stream again from Next. A
// record that can't be decoded grants nothing.
func (s *State) Fold(now clock.Millis, ev event.RecordsRead, self units.EntryVMID, incarnation units.Incarnation) ([]Granted, bool) {
	if !s.started {
		s.started = true
		s.complete = s.next == 0
		s.since = now
	}
	if !s.caughtUp && ev.End-s.next > maxBacklog {
		s.restart(now, ev.End-maxBacklog)
		return nil, false
	}
	var granted []Granted
	for i := range ev.Records {
		r := &ev.Records[i]
		if r.Offset < s.next {
			continue
		}
		if r.Offset > s.next {
			return granted, false
		}
		s.next++
		var record Record
		if msgpack.Unmarshal(r.Body, &record) != nil {
			continue
		}
		leases := s.applyRecord(now, &record, r.Offset)
		if record.Holder == self && record.Incarnation == incarnation {
			granted = append(granted, leases...)
		}
	}
	s.caughtUp = s.caughtUp || s.next >= ev.End
	return granted, true
}

// Skip continues at oldest after earlier records have expired. It drops all leases: their
// holders must take them again, since a skipped record may have given them to another.
func (s *State) Skip(now clock.Millis, oldest units.Offset) {
	if oldest > s.next {
		s.restart(now, oldest)
	}
}

// restart drops all leases and continues at offset next.
func (s *State) restart(now clock.Millis, next units.Offset) {
	*s = State{next: next, from: next, started: true, since: now}
}

// applyRecord applies one record and returns the leases that it granted, but not those that
// it released.
func (s *State) applyRecord(now clock.Millis, record *Record, offset units.Offset) []Granted {
	if s.leases == nil {
		s.leases = map[units.BackendServerID]*Lease{}
		s.last = map[units.BackendServerID]lastRecord{}
	}
	var granted []Granted
	for _, claim := range record.Claims {
		last, mentioned := s.last[claim.Server]
		s.last[claim.Server] = lastRecord{offset: offset, readAt: now}
		l := s.leases[claim.Server]
		next := &Lease{Holder: record.Holder, Incarnation: record.Incarnation, Fence: claim.Fence, Released: claim.Released}
		taken := claim.Fence == 0
		switch {
		case taken && (record.AsOf < s.from || mentioned && last.offset >= record.AsOf):
			continue
		case taken:
			next.Fence = units.Fence(offset) + 1
		case l != nil && l.Fence > claim.Fence || claim.Released && (l == nil || l.Fence != claim.Fence):
			continue
		}
		s.leases[claim.Server] = next
		if !claim.Released {
			granted = append(granted, Granted{Server: claim.Server, Fence: next.Fence, Sequence: record.Sequence, Taken: taken, Fresh: !mentioned && s.complete})
		}
	}
	return granted
}
