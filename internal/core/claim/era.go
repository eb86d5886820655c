package claim

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// eraShift is the number of bits of a fencing number that hold an offset. Those above hold the era, so
// that an offset which the store gives out again yields a higher fencing number.
const eraShift = 32

func fenceAt(era units.Era, offset units.Offset) units.Fence {
	return units.Fence(era)<<eraShift + units.Fence(offset) + 1
}

func eraOf(fence units.Fence) units.Era { return units.Era(fence >> eraShift) }

// EnterEra handles an answer of the store that names its era, and reports whether the era is later than
// the known one. The store has then lost its last records: the lease is what it was, but nobody can read
// that any more. An entry VM that holds it may go on until it ends, and claim it anew at once. Others
// know only that a lease from before may last for Term.
func (l *Lease) EnterEra(now clock.Millis, era units.Era) bool {
	if era <= l.era {
		return false
	}
	isFirst := !l.caughtUp && l.next == 0
	l.era = era
	if isFirst {
		return true
	}
	l.restored = true
	l.caughtUp, l.stale, l.pending, l.failures = false, false, nil, 0
	l.next, l.last, l.grewAt = 0, nil, now
	l.reportedNext, l.reportedUntil = 0, 0
	if !l.Holds(now) {
		l.validUntil = 0
	}
	return true
}

// heldBefore reports whether this entry VM holds the lease since before the era began. No other one can
// have claimed it since.
func (l *Lease) heldBefore(now clock.Millis) bool {
	return l.restored && l.last == nil && l.Holds(now)
}
