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

// mention is the last record on one model engine, valid or not. A claim whose sender had
// not read that record is invalid, so that all entry VMs that have read the stream since
// then agree on the lease, whatever part of the earlier stream they have read.
type mention struct {
	at units.Offset
	// seenAt is when the record was read, on the reader's clock.
	seenAt clock.Millis
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
	last   map[units.BackendServerID]mention
	// from is the offset from which all records were read; since is when that reading
	// started.
	from  units.Offset
	since clock.Millis
	// whole is set if no record before next was skipped.
	whole    bool
	started  bool
	caughtUp bool
}

// maxBacklog is the number of past records that are read when the reader starts or catches
// up. Leases in older records can no longer be valid.
const maxBacklog = 64

// Next returns the offset of the first record that has not been applied.
func (b *State) Next() units.Offset { return b.next }

// Lease returns the lease of server, or nil if no record of one has been read.
func (b *State) Lease(server units.BackendServerID) *Lease { return b.leases[server] }

// Claimable reports whether the lease of server may be claimed at now.
func (b *State) Claimable(now clock.Millis, server units.BackendServerID) bool {
	if !b.caughtUp || b.mayMissLease(now) {
		return false
	}
	l := b.leases[server]
	return l != nil && l.Released || !b.MayBeHeld(now, server)
}

// MayBeHeld reports whether the last record on server was read less than Term ago, so that
// an entry VM may hold its lease.
func (b *State) MayBeHeld(now clock.Millis, server units.BackendServerID) bool {
	last, ok := b.last[server]
	return ok && now < last.seenAt+Term
}

// mayMissLease reports whether a valid lease may be missing because its record precedes
// those that were read.
func (b *State) mayMissLease(now clock.Millis) bool { return !b.whole && now < b.since+2*Term }

// Fold applies a batch of records and returns the leases that it granted to incarnation of
// the entry VM self. It reports false if the batch skips records or if, at the start, more
// than maxBacklog are unread; the caller must then read the stream again from Next.
func (b *State) Fold(now clock.Millis, ev event.RecordsRead, self units.EntryVMID, incarnation units.Incarnation) ([]Granted, bool) {
	if !b.started {
		b.started = true
		b.whole = b.next == 0
		b.since = now
	}
	if !b.caughtUp && ev.End-b.next > maxBacklog {
		b.restart(now, ev.End-maxBacklog)
		return nil, false
	}
	var granted []Granted
	for i := range ev.Records {
		r := &ev.Records[i]
		if r.Offset < b.next {
			continue
		}
		if r.Offset > b.next {
			return granted, false
		}
		b.next++
		var record Record
		if msgpack.Unmarshal(r.Body, &record) != nil {
			continue
		}
		took := b.fold(now, &record, r.Offset)
		if record.Holder == self && record.Incarnation == incarnation {
			granted = append(granted, took...)
		}
	}
	b.caughtUp = b.caughtUp || b.next >= ev.End
	return granted, true
}

// Skip continues at oldest after earlier records have expired. It drops all leases: their
// holders must take them again, since a skipped record may have given them to another.
func (b *State) Skip(now clock.Millis, oldest units.Offset) {
	if oldest > b.next {
		b.restart(now, oldest)
	}
}

// restart drops all leases and continues at offset next.
func (b *State) restart(now clock.Millis, next units.Offset) {
	*b = State{next: next, from: next, started: true, since: now}
}

// fold applies one record and returns the leases that it granted.
func (b *State) fold(now clock.Millis, record *Record, offset units.Offset) []Granted {
	if b.leases == nil {
		b.leases = map[units.BackendServerID]*Lease{}
		b.last = map[units.BackendServerID]mention{}
	}
	var granted []Granted
	for _, claim := range record.Claims {
		last, mentioned := b.last[claim.Server]
		b.last[claim.Server] = mention{at: offset, seenAt: now}
		l := b.leases[claim.Server]
		next := &Lease{Holder: record.Holder, Incarnation: record.Incarnation, Fence: claim.Fence, Released: claim.Released}
		taken := claim.Fence == 0
		switch {
		case taken && (record.AsOf < b.from || mentioned && last.at >= record.AsOf):
			continue
		case taken:
			next.Fence = units.Fence(offset) + 1
		case l != nil && l.Fence > claim.Fence || claim.Released && (l == nil || l.Fence != claim.Fence):
			continue
		}
		b.leases[claim.Server] = next
		if !claim.Released {
			granted = append(granted, Granted{Server: claim.Server, Fence: next.Fence, Sequence: record.Sequence, Taken: taken, Fresh: !mentioned && b.whole})
		}
	}
	return granted
}
