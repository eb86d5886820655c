// Package claim elects the entry VM that may send orders to the backend servers of a
// shard. The lease is kept in a partition of the platform's log: a record is appended
// only if the partition still ends at the offset up to which its writer has read.
package claim

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Kind is the kind of a Record.
type Kind string

// Kinds of records: KindClaim begins a lease, with a new fence, KindRenew extends it and
// KindRelease ends it.
const (
	KindClaim   Kind = "claim"
	KindRenew   Kind = "renew"
	KindRelease Kind = "release"
)

// Record is one record of a shard's partition.
type Record struct {
	Kind   Kind            `msgpack:"k"`
	Holder units.EntryVMID `msgpack:"h"`
	// Address is where the holder receives messages of other entry VMs.
	Address     string            `msgpack:"a"`
	Incarnation units.Incarnation `msgpack:"r"`
	// Number counts the appends of one incarnation, to tell a record from a later
	// retry of it.
	Number uint32 `msgpack:"n"`
	// OrderDelay is the time during which the holder gives no orders yet, in ms from
	// the sending of the record.
	OrderDelay clock.Millis `msgpack:"w,omitempty"`
	// Era is that of the offset at which the holder appended the record. A record found in a later
	// era says nothing about the lease.
	Era units.Era `msgpack:"e,omitempty"`
}

// Bounds of the lease.
const (
	// Term is how long the lease is valid after the sending of a record. It outlasts
	// most outages of the store, during which no other entry VM could take over.
	Term = 5 * clock.Second
	// RenewPeriod is the time between two renewals.
	RenewPeriod = clock.Second
	// ClaimTimeout is how long a partition must not grow before another entry VM
	// claims the lease. It exceeds Term by more than clocks drift apart in that time.
	ClaimTimeout = Term + 400*clock.Millis(1)
	// releaseClaimDelay reserves a released lease for the next process on the same
	// machine, which may give orders at once. It costs the others nothing: they may
	// not give orders until HandoverInterval has passed.
	releaseClaimDelay = 2 * clock.Second
	// appendTimeout bounds the wait for the answer to an append.
	appendTimeout = 700 * clock.Millis(1)
	// refusedBackoff is the time from a refused append to the next one. For claims of a
	// lease that another entry VM held it doubles with each append that is not answered
	// with a result, up to maxClaimBackoff: all entry VMs of a shard try to claim during an
	// outage of the store.
	refusedBackoff  = 300 * clock.Millis(1)
	maxClaimBackoff = 2400 * clock.Millis(1)
)

// Lease is one entry VM's view of the lease of one shard. All methods must be called
// from one goroutine, with a clock that counts suspended time.
type Lease struct {
	Self        units.EntryVMID
	Address     string
	Incarnation units.Incarnation
	// HandoverInterval is the least time between orders of two holders.
	HandoverInterval clock.Millis
	// ClaimDelay is added to ClaimTimeout; entry VMs that should claim later have a
	// longer one.
	ClaimDelay clock.Millis
	// Rejoins reports that the whole system has started before: an empty partition may be one that
	// has lost the records of a lease which is still valid.
	Rejoins bool

	// era is that of the offsets; restored says that it is not the first one of this process.
	era      units.Era
	restored bool
	// caughtUp reports that the end of the partition, next, is known.
	caughtUp bool
	next     units.Offset
	// last is the last record, nil if none was found; grewAt is when the partition was
	// last seen to grow.
	last   *Record
	grewAt clock.Millis
	fence  units.Fence
	// The lease is valid until validUntil; orders may be given from orderFrom on.
	validUntil clock.Millis
	orderFrom  clock.Millis
	// pending is the append whose answer is awaited, or nil.
	pending  *Append
	appends  uint32
	renewAt  clock.Millis
	released bool
	// yieldedUntil is the end of the time in which the lease is left to others after Yield.
	yieldedUntil clock.Millis
	// The holder reported that its lease ends at reportedUntil unless the partition
	// grows beyond reportedNext.
	reportedNext  units.Offset
	reportedUntil clock.Millis
	// stale reports that an append met a conflict and the partition must be read again.
	stale bool
	// retryAt is the earliest time of the next append after failed ones, of which there
	// were failures in a row.
	retryAt  clock.Millis
	failures int
}

// Append is a request to append Record if the partition ends at offset At.
type Append struct {
	At     units.Offset
	Record Record
	SentAt clock.Millis
}

// Next returns the offset from which to read the partition.
func (l *Lease) Next() units.Offset { return l.next }

// Holder returns the ID and address of the holder in the last record, both empty if the
// lease was released or never claimed.
func (l *Lease) Holder() (units.EntryVMID, string) {
	if l.last == nil || l.last.Kind == KindRelease {
		return "", ""
	}
	return l.last.Holder, l.last.Address
}

// Fence returns the fencing number of the current holder's orders.
func (l *Lease) Fence() units.Fence { return l.fence }

// Holds reports whether this entry VM holds a valid lease at now.
func (l *Lease) Holds(now clock.Millis) bool { return !l.released && now < l.validUntil }

// ValidUntil returns the time at which this entry VM's last lease ends or ended, or 0 if
// there was none or it ended early.
func (l *Lease) ValidUntil() clock.Millis { return l.validUntil }

// Pending reports whether the answer to an append is awaited.
func (l *Lease) Pending() bool { return l.pending != nil }

// Stale reports whether the partition must be read before anything is appended.
func (l *Lease) Stale() bool { return l.stale }

// MayOrder reports whether this entry VM may send an order at now.
func (l *Lease) MayOrder(now clock.Millis) bool { return l.Holds(now) && now >= l.orderFrom }

// Fold applies records read from offset from on; end is the end of the partition.
// Records before Next are skipped; from beyond Next means a gap. Stale is false afterwards.
func (l *Lease) Fold(now clock.Millis, from units.Offset, records []Record, end units.Offset) {
	if !l.caughtUp || from > l.next {
		l.grewAt = now
	}
	for i := range records {
		offset := from + units.Offset(i)
		if offset < l.next && l.caughtUp || records[i].Era < l.era {
			continue
		}
		l.fold(now, offset, &records[i])
	}
	if end > l.next || !l.caughtUp {
		l.next = max(end, from+units.Offset(len(records)))
	}
	l.caughtUp, l.stale = true, false
}

// fold applies one record. If it is the pending append, that is accepted; a record of
// another incarnation ends this one's lease.
func (l *Lease) fold(now clock.Millis, offset units.Offset, r *Record) {
	if l.pending != nil && l.pending.At == offset && r.Holder == l.Self && r.Incarnation == l.Incarnation && r.Number == l.pending.Record.Number {
		l.applyAccepted(*l.pending)
		return
	}
	if r.Holder != l.Self || r.Incarnation != l.Incarnation {
		l.invalidate()
	}
	l.apply(now, offset, r)
}

// apply makes r the last record.
func (l *Lease) apply(now clock.Millis, offset units.Offset, r *Record) {
	l.failures = 0
	if fence := fenceAt(l.era, offset); r.Kind == KindClaim || eraOf(l.fence) != l.era || l.fence == 0 {
		l.fence = fence
	}
	l.last, l.grewAt, l.next = r, now, offset+1
}

// invalidate ends this entry VM's lease and drops a pending append whose offset is taken.
func (l *Lease) invalidate() {
	l.validUntil = 0
	if l.pending != nil && l.pending.At < l.next {
		l.pending = nil
	}
}

// Gap handles the expiry of unread records before offset oldest, which ends this entry VM's
// lease, since one of them may have been another entry VM's claim. It reports whether oldest is ahead
// of what was read.
func (l *Lease) Gap(now clock.Millis, oldest units.Offset) bool {
	if oldest <= l.next {
		return false
	}
	l.next, l.grewAt = oldest, now
	if !l.heldBefore(now) {
		l.validUntil = 0
	}
	return true
}

// ObserveHolder handles a holder's own report that its lease ends after remaining, in ms,
// unless the partition grows beyond next. Reports older than the records read are ignored.
func (l *Lease) ObserveHolder(now clock.Millis, holder Record, fence units.Fence, next units.Offset, remaining clock.Millis) {
	l.EnterEra(now, eraOf(fence))
	if eraOf(fence) < l.era || next < l.next || l.Holds(now) {
		return
	}
	if next > l.next || l.last == nil {
		l.last, l.fence, l.next = &holder, fence, next
	}
	l.caughtUp, l.stale = true, false
	l.grewAt = max(l.grewAt, now)
	l.reportedNext, l.reportedUntil = next, now+remaining
}

// driftMargin covers how far clocks drift apart in the remaining time that a holder
// reports.
const driftMargin = 100 * clock.Millis(1)

// hasReport reports whether the holder has reported the end of its current lease. An
// append at that offset fails if the holder has renewed the lease since.
func (l *Lease) hasReport() bool { return l.reportedNext > 0 && l.reportedNext == l.next }

// Due returns the append to make now, or nil. The caller sends it at once and passes
// the result to HandleResult.
func (l *Lease) Due(now clock.Millis) *Append {
	if l.released || !l.caughtUp || l.stale || now < l.retryAt {
		return nil
	}
	if l.pending != nil {
		if now < l.pending.SentAt+appendTimeout {
			return nil
		}
		l.failed(*l.pending)
		if now < l.retryAt {
			return nil
		}
	}
	var record Record
	switch {
	case l.heldBefore(now):
		record = l.record(KindClaim, now)
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
	return Record{Kind: kind, Holder: l.Self, Address: l.Address, Incarnation: l.Incarnation, Number: l.appends, OrderDelay: max(0, l.orderFrom-now), Era: l.era}
}

// claimable reports whether the lease may be claimed at now.
func (l *Lease) claimable(now clock.Millis) bool {
	switch {
	case now < l.yieldedUntil:
		return false
	case l.isUnclaimed():
		return now >= l.grewAt+l.ClaimDelay
	case l.last != nil && l.last.Holder == l.Self:
		return true
	case l.last != nil && l.last.Kind == KindRelease:
		return now >= l.grewAt+min(releaseClaimDelay, l.HandoverInterval)+l.ClaimDelay
	case l.hasReport():
		return now >= l.reportedUntil+driftMargin+l.ClaimDelay
	default:
		return now >= l.grewAt+ClaimTimeout+l.ClaimDelay
	}
}

// isUnclaimed reports whether no entry VM can ever have held the lease.
func (l *Lease) isUnclaimed() bool { return l.last == nil && l.next == 0 && !l.restored && !l.Rejoins }

// orderFromAfterClaim returns when orders may begin after a claim, so that orders of two
// holders are HandoverInterval apart.
func (l *Lease) orderFromAfterClaim(now clock.Millis) clock.Millis {
	switch {
	case l.isUnclaimed():
		return now
	case l.last != nil && l.last.Holder == l.Self:
		return max(l.orderFrom, now+l.last.OrderDelay)
	case l.last != nil && l.last.Kind == KindRelease:
		return max(l.orderFrom, l.grewAt+l.HandoverInterval+l.last.OrderDelay)
	case l.hasReport():
		return max(l.orderFrom, l.reportedUntil+driftMargin+l.HandoverInterval)
	default:
		return max(l.orderFrom, l.grewAt+Term+l.HandoverInterval)
	}
}

// Result is the answer to an append.
type Result uint8

// Results of an append.
const (
	Accepted Result = iota + 1
	// Conflict means that the partition ended at another offset.
	Conflict
	// Refused means that the record was not appended and will not be.
	Refused
	// Unknown means that the record may have been appended or may be later.
	Unknown
	// Restored means that the offset is of an era of the store that has ended.
	Restored
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
	case Restored:
		return "restored"
	default:
		return "unknown"
	}
}

// HandleResult applies the result of an append.
func (l *Lease) HandleResult(a Append, result Result) {
	if l.pending == nil || *l.pending != a {
		// The answer is late; if the record was appended, a read finds it.
		return
	}
	switch result {
	case Accepted:
		l.applyAccepted(a)
	case Conflict:
		l.pending, l.stale = nil, true
		l.validUntil = 0
	case Restored:
		// If the record was appended all the same, its era shows that it is void.
		l.pending, l.stale = nil, true
	case Refused:
		if a.Record.Kind == KindRelease {
			l.yieldedUntil = 0
		}
		l.failed(a)
	case Unknown:
		// A read may find the record until appendTimeout has passed.
	}
}

// failed drops an append that was refused or not answered and sets the time of the next one.
// The last holder retries often: unlike others it may give orders at once.
func (l *Lease) failed(a Append) {
	l.pending = nil
	backoff := refusedBackoff
	if l.last == nil || l.last.Holder != l.Self {
		backoff = min(refusedBackoff<<min(l.failures, 6), maxClaimBackoff)
	}
	l.failures++
	l.retryAt = a.SentAt + backoff
}

// applyAccepted applies an append of this entry VM. The lease is valid from the time at which
// it was sent, however late the answer is.
func (l *Lease) applyAccepted(a Append) {
	l.pending = nil
	if a.At < l.next {
		return
	}
	record := a.Record
	l.apply(a.SentAt, a.At, &record)
	if record.Kind == KindRelease {
		l.validUntil = 0
		return
	}
	l.validUntil = a.SentAt + Term
	l.renewAt = a.SentAt + RenewPeriod
}

// Yield ends the lease in favor of another entry VM and returns the append of the release
// record, or nil if this entry VM holds no valid lease or the answer to an append is awaited.
// orderTimeout is how long an order that was sent before may still be on its way. The caller
// passes the result to HandleResult. If the append is refused, the lease can be claimed again.
func (l *Lease) Yield(now, orderTimeout clock.Millis) *Append {
	if !l.Holds(now) || l.pending != nil || l.stale {
		return nil
	}
	l.orderFrom = max(l.orderFrom, now+orderTimeout)
	l.pending = &Append{At: l.next, Record: l.record(KindRelease, now), SentAt: now}
	l.validUntil, l.yieldedUntil = 0, now+yieldPause
	return l.pending
}

// Release ends the lease and returns the append of the release record, or nil if this
// entry VM held no valid lease.
func (l *Lease) Release(now clock.Millis) *Append {
	held := l.Holds(now)
	l.released, l.validUntil = true, 0
	if !held {
		return nil
	}
	return &Append{At: l.next, Record: l.record(KindRelease, now), SentAt: now}
}
