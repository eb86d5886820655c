// Package claim decides who may order the backend servers of a shard about. The
// right is a lease in a partition of the platform's log: every record is appended
// on the condition that the partition ends where its writer has read to.
package claim

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Kind is the kind of a Record.
type Kind string

// Kinds of records.
const (
	KindClaim   Kind = "claim"
	KindRenew   Kind = "renew"
	KindRelease Kind = "release"
)

// Record is one record of a shard's partition.
type Record struct {
	Kind   Kind            `msgpack:"k"`
	Holder units.EntryVMID `msgpack:"h"`
	// Address is where the holder takes messages of other entry VMs.
	Address string            `msgpack:"a"`
	Run     units.Incarnation `msgpack:"r"`
	// Number counts the appends of one run, so that a record is not taken for a
	// later try of the same.
	Number uint32 `msgpack:"n"`
	// Hold is how much longer the holder gives no orders, counted from the
	// sending of the record.
	Hold clock.Millis `msgpack:"w,omitempty"`
}

// Bounds of the lease.
const (
	// Term is how long the right holds after the sending of a record. It outlasts
	// most outages of the store, in which nobody could take over.
	Term = 5 * clock.Second
	// RenewPeriod is the time between two renewals.
	RenewPeriod = clock.Second
	// Silence is how long a partition must not grow before somebody else claims.
	// It exceeds Term by more than clocks drift apart in that time.
	Silence = Term + 400*clock.Millis(1)
	// returnTerm is how long a lease that was released waits for its machine's next
	// process, which may order at once. Others lose nothing: they may not order
	// before Turn has passed.
	returnTerm = 2 * clock.Second
	// answerTerm is how long the answer to an append is waited for.
	answerTerm = 700 * clock.Millis(1)
	// refusedPause is the time between two appends of which the first was refused.
	refusedPause = 300 * clock.Millis(1)
)

// Lease is the view that one entry VM has of one shard. All methods must be called
// from one goroutine, with a clock that counts suspended time.
type Lease struct {
	Self    units.EntryVMID
	Address string
	Run     units.Incarnation
	// Turn is the least time between orders of two holders.
	Turn clock.Millis
	// Standby is added to Silence; entry VMs that should claim later have more.
	Standby clock.Millis

	// read is set once the partition was read to its end; next is then that end.
	read bool
	next units.Offset
	// last is the last record, nil if none was found; grewAt when it was read.
	last   *Record
	grewAt clock.Millis
	fence  units.Fence
	// right ends at rightUntil; orders are given from orderFrom on.
	rightUntil clock.Millis
	orderFrom  clock.Millis
	// pending is the append that was not answered yet.
	pending  *Append
	appends  uint32
	renewAt  clock.Millis
	released bool
	// The holder said that its right ends at toldUntil if toldNext stays the end.
	toldNext  units.Offset
	toldUntil clock.Millis
	// stale is set after a conflict, until the partition was read again.
	stale bool
	// retryAt is the earliest next append after one that was refused.
	retryAt clock.Millis
}

// Append is a record to be appended if the partition ends at At.
type Append struct {
	At     units.Offset
	Record Record
	SentAt clock.Millis
}

// Next returns the offset to read from.
func (l *Lease) Next() units.Offset { return l.next }

// Holder returns the entry VM that holds the lease as last read, and its address.
func (l *Lease) Holder() (units.EntryVMID, string) {
	if l.last == nil || l.last.Kind == KindRelease {
		return "", ""
	}
	return l.last.Holder, l.last.Address
}

// Fence returns the number that orders of the current holder carry.
func (l *Lease) Fence() units.Fence { return l.fence }

// Holds reports whether the right holds at an instant.
func (l *Lease) Holds(now clock.Millis) bool { return !l.released && now < l.rightUntil }

// Until returns the end of the right.
func (l *Lease) Until() clock.Millis { return l.rightUntil }

// Pending reports whether the answer to an append is awaited.
func (l *Lease) Pending() bool { return l.pending != nil }

// Stale reports whether the partition must be read before anything is appended.
func (l *Lease) Stale() bool { return l.stale }

// MayOrder reports whether an order may be sent at an instant.
func (l *Lease) MayOrder(now clock.Millis) bool { return l.Holds(now) && now >= l.orderFrom }

// Fold takes records read from the offset from on; end is the end of the
// partition. Records before Next are passed over; a later start is a gap.
func (l *Lease) Fold(now clock.Millis, from units.Offset, records []Record, end units.Offset) {
	if !l.read || from > l.next {
		l.grewAt = now
	}
	for i := range records {
		offset := from + units.Offset(i)
		if offset < l.next && l.read {
			continue
		}
		l.fold(now, offset, &records[i])
	}
	if end > l.next || !l.read {
		l.next = max(end, from+units.Offset(len(records)))
	}
	l.read, l.stale = true, false
}

func (l *Lease) fold(now clock.Millis, offset units.Offset, r *Record) {
	if l.pending != nil && l.pending.At == offset && r.Holder == l.Self && r.Run == l.Run && r.Number == l.pending.Record.Number {
		l.accepted(*l.pending)
		return
	}
	if r.Holder != l.Self || r.Run != l.Run {
		l.lost()
	}
	l.note(now, offset, r)
}

// note takes over a record that counts.
func (l *Lease) note(now clock.Millis, offset units.Offset, r *Record) {
	if r.Kind == KindClaim || l.fence == 0 {
		l.fence = units.Fence(offset) + 1
	}
	l.last, l.grewAt, l.next = r, now, offset+1
}

func (l *Lease) lost() {
	l.rightUntil = 0
	if l.pending != nil && l.pending.At < l.next {
		l.pending = nil
	}
}

// Gap tells that records before an offset have expired unread.
func (l *Lease) Gap(now clock.Millis, oldest units.Offset) {
	if oldest > l.next {
		l.next, l.grewAt, l.rightUntil = oldest, now, 0
	}
}

// Told takes what the holder itself says: its right ends after left unless the
// partition grows beyond next.
func (l *Lease) Told(now clock.Millis, holder Record, fence units.Fence, next units.Offset, left clock.Millis) {
	if next < l.next || l.Holds(now) {
		return
	}
	if next > l.next || l.last == nil {
		l.last, l.fence, l.next = &holder, fence, next
	}
	l.read, l.stale = true, false
	l.grewAt = max(l.grewAt, now)
	l.toldNext, l.toldUntil = next, now+left
}

// toldMargin covers how far clocks drift apart in the time that a holder says is left.
const toldMargin = 100 * clock.Millis(1)

// told reports whether the end of the holder's right is known from the holder. An
// append at that offset fails if the holder has renewed its right since.
func (l *Lease) told() bool { return l.toldNext > 0 && l.toldNext == l.next }

// Due returns the record to append now, or nil. The caller sends it at once and
// reports with Answered.
func (l *Lease) Due(now clock.Millis) *Append {
	if l.released || !l.read || l.stale || now < l.retryAt {
		return nil
	}
	if l.pending != nil {
		if now < l.pending.SentAt+answerTerm {
			return nil
		}
		l.pending = nil
	}
	var record Record
	switch {
	case l.Holds(now):
		if now < l.renewAt {
			return nil
		}
		record = l.record(KindRenew, now)
	case l.claimable(now):
		l.orderFrom = l.orderFromAfterClaim(now)
		record = l.record(KindClaim, now)
	default:
		return nil
	}
	l.pending = &Append{At: l.next, Record: record, SentAt: now}
	return l.pending
}

func (l *Lease) record(kind Kind, now clock.Millis) Record {
	l.appends++
	return Record{Kind: kind, Holder: l.Self, Address: l.Address, Run: l.Run, Number: l.appends, Hold: max(0, l.orderFrom-now)}
}

func (l *Lease) claimable(now clock.Millis) bool {
	switch {
	case l.last == nil && l.next == 0:
		return now >= l.grewAt+l.Standby
	case l.last != nil && l.last.Holder == l.Self:
		return true
	case l.last != nil && l.last.Kind == KindRelease:
		return now >= l.grewAt+min(returnTerm, l.Turn)+l.Standby
	case l.told():
		return now >= l.toldUntil+toldMargin+l.Standby
	default:
		return now >= l.grewAt+Silence+l.Standby
	}
}

// orderFromAfterClaim keeps orders of two holders Turn apart.
func (l *Lease) orderFromAfterClaim(now clock.Millis) clock.Millis {
	switch {
	case l.last == nil && l.next == 0:
		return now
	case l.last != nil && l.last.Holder == l.Self:
		return max(l.orderFrom, now+l.last.Hold)
	case l.last != nil && l.last.Kind == KindRelease:
		return max(l.orderFrom, l.grewAt+l.Turn+l.last.Hold)
	case l.told():
		return max(l.orderFrom, l.toldUntil+toldMargin+l.Turn)
	default:
		return max(l.orderFrom, l.grewAt+Term+l.Turn)
	}
}

// Result is the answer to an append.
type Result uint8

// Results of an append.
const (
	Accepted Result = iota + 1
	// Conflict tells that the partition ended elsewhere.
	Conflict
	// Refused tells that nothing was appended and nothing will be.
	Refused
	// Unknown tells that the record may be appended now or later.
	Unknown
)

// String returns the name of r in log lines.
func (r Result) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case Conflict:
		return "conflict"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Answered takes the result of an append.
func (l *Lease) Answered(a Append, result Result) {
	if l.pending == nil || *l.pending != a {
		// The answer came late; the record is found by reading.
		return
	}
	switch result {
	case Accepted:
		l.accepted(a)
	case Conflict:
		l.pending, l.stale = nil, true
		l.rightUntil = 0
	case Refused:
		l.pending = nil
		l.retryAt = a.SentAt + refusedPause
	case Unknown:
		// The record is looked for until answerTerm has passed.
	}
}

func (l *Lease) accepted(a Append) {
	l.pending = nil
	if a.At < l.next {
		return
	}
	record := a.Record
	l.note(a.SentAt, a.At, &record)
	if record.Kind == KindRelease {
		l.rightUntil = 0
		return
	}
	l.rightUntil = a.SentAt + Term
	l.renewAt = a.SentAt + RenewPeriod
}

// Release ends the right and returns the record that tells so, or nil if there
// was no right.
func (l *Lease) Release(now clock.Millis) *Append {
	held := l.Holds(now)
	l.released, l.rightUntil = true, 0
	if !held {
		return nil
	}
	return &Append{At: l.next, Record: l.record(KindRelease, now), SentAt: now}
}
