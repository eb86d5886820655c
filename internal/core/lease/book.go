// Package lease folds the lease stream of a failure domain: who may give orders
// to the model engines that do not check fencing numbers. A lease is claimed and
// renewed by records; the order of the log decides, and no clock of the log. Records must be kept for longer than any
// append is on its way.
package lease

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/vmihailenco/msgpack/v5"
)

// Term is how long a lease that is not renewed is left to its holder by the
// others, on their own clocks. The holder's own right ends earlier, so that
// clocks may run at different rates.
const Term = 4*clock.Second + 500

// Record is one record of a lease stream.
type Record struct {
	Holder      units.EntryVMID   `msgpack:"h"`
	Incarnation units.Incarnation `msgpack:"i"`
	// Sequence counts the records of one incarnation.
	Sequence uint64 `msgpack:"n"`
	// AsOf is the offset up to which the holder had read the stream. A claim
	// counts only if nothing happened to the lease since.
	AsOf   units.Offset `msgpack:"o"`
	Claims []Claim      `msgpack:"c"`
}

// Claim is what a record says of one model engine.
type Claim struct {
	Server units.BackendServerID `msgpack:"s"`
	// Fence is that of the lease to be renewed or released, or 0 to take it.
	Fence    units.Fence `msgpack:"f,omitempty"`
	Released bool        `msgpack:"r,omitempty"`
}

// Lease is the right to give orders to one model engine.
type Lease struct {
	Holder      units.EntryVMID
	Incarnation units.Incarnation
	// Fence is the offset after the record that took the lease.
	Fence    units.Fence
	Released bool
}

// mention is the last record on one model engine, whether or not it counted. A
// claim that was sent before that record was read does not count, so that all who
// have read the stream since then agree on it, whatever they know of the past.
type mention struct {
	at units.Offset
	// seenAt is the instant at which the record was read.
	seenAt clock.Millis
}

// Granted is a claim of a record that counted.
type Granted struct {
	Server   units.BackendServerID
	Fence    units.Fence
	Sequence uint64
	// Taken is set if the lease was taken rather than renewed, Fresh if nobody
	// can have held it before.
	Taken bool
	Fresh bool
}

// Book is the fold of one lease stream. The zero value has read nothing.
type Book struct {
	next   units.Offset
	leases map[units.BackendServerID]*Lease
	last   map[units.BackendServerID]mention
	// from is the offset from which on all records were read, and since the
	// instant at which that was begun.
	from  units.Offset
	since clock.Millis
	// whole is set if no record before next was left out.
	whole    bool
	started  bool
	caughtUp bool
}

// maxBacklog is the number of records of the past that are read. Older ones can't
// hold a lease that is still in force.
const maxBacklog = 64

// Next returns the offset of the first record that is not folded.
func (b *Book) Next() units.Offset { return b.next }

// Lease returns the lease of server, or nil if none is known.
func (b *Book) Lease(server units.BackendServerID) *Lease { return b.leases[server] }

// Claimable reports whether the lease of server may be claimed at now.
func (b *Book) Claimable(now clock.Millis, server units.BackendServerID) bool {
	if !b.caughtUp || b.learning(now) {
		return false
	}
	l := b.leases[server]
	return l != nil && l.Released || !b.InForce(now, server)
}

// InForce reports whether the stream has lately mentioned server, so that someone
// may hold its lease.
func (b *Book) InForce(now clock.Millis, server units.BackendServerID) bool {
	last, ok := b.last[server]
	return ok && now < last.seenAt+Term
}

// learning reports whether a lease that is in force may not be known yet, since it
// was taken before the book began.
func (b *Book) learning(now clock.Millis) bool { return !b.whole && now < b.since+2*Term }

// Fold applies a batch and returns what it granted to one run of an entry VM. It
// reports false if the batch leaves out records, or if there are too many of
// them: the stream is then to be read from Next on.
func (b *Book) Fold(now clock.Millis, ev event.RecordsRead, self units.EntryVMID, run units.Incarnation) ([]Granted, bool) {
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
		if record.Holder == self && record.Incarnation == run {
			granted = append(granted, took...)
		}
	}
	b.caughtUp = b.caughtUp || b.next >= ev.End
	return granted, true
}

// Skip goes on at oldest after records before it have expired. Who held a lease
// must then take it anew, since it may have been taken by another unseen.
func (b *Book) Skip(now clock.Millis, oldest units.Offset) {
	if oldest > b.next {
		b.restart(now, oldest)
	}
}

// restart forgets all leases and goes on at an offset.
func (b *Book) restart(now clock.Millis, next units.Offset) {
	*b = Book{next: next, from: next, started: true, since: now}
}

func (b *Book) fold(now clock.Millis, record *Record, offset units.Offset) []Granted {
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
