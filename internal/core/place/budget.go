package place

import "mangostile/internal/base/clock"

// Budget limits the loads of one entry VM to its share of the weight store's capacity. The
// zero value allows DefaultLoadsInFlight loads in flight at any rate.
type Budget struct {
	Policy Policy
	// share is the entry VM's fraction of the failure domain's rate; 0 means all of it.
	share float64
	// inFlightShare is the entry VM's fraction of the loads in flight beyond the one that
	// each member always may have.
	inFlightShare float64
	// members is the number of entry VMs that share the failure domain's limits.
	members int
	// tokens is the number of loads that may start, as of refilledAt.
	tokens     float64
	refilledAt clock.Millis
	// inFlight counts the loads that were taken and have not ended.
	inFlight int
}

// burst bounds the loads that may start at once after an idle time.
const burst = 2

// SetShare sets the entry VM's fractions, from 0 to 1, of the failure domain's share: of
// the rate, and of the loads in flight beyond the one that each of the members always may
// have.
func (b *Budget) SetShare(rate, inFlight float64, members int) {
	b.share = min(max(rate, 0), 1)
	b.inFlightShare = min(max(inFlight, 0), 1)
	b.members = members
}

// Capacity returns the number of loads a second that the failure domain's share allows, or
// the number of loads in flight if the rate is not limited.
func (b *Budget) Capacity() float64 {
	total := b.Policy.LoadsPerSecond
	if total == 0 {
		total = float64(b.Policy.LoadsInFlight)
	}
	if total == 0 {
		total = DefaultLoadsInFlight
	}
	return total / float64(max(1, b.Policy.Shares))
}

// localLimit returns the local entry VM's share of total, a limit over all failure domains.
func (b *Budget) localLimit(total float64) float64 {
	if b.Policy.Shares > 1 {
		total /= float64(b.Policy.Shares)
	}
	if b.share > 0 {
		total *= b.share
	}
	return total
}

// maxInFlight returns the local limit of loads in flight. It is at least 1, so that every
// entry VM can load. The sum over the members does not exceed the failure domain's limit
// unless there are more members than that.
func (b *Budget) maxInFlight() int {
	total := int(b.Policy.LoadsInFlight)
	if total == 0 {
		total = DefaultLoadsInFlight
	}
	total /= int(max(1, b.Policy.Shares))
	if b.members <= 1 {
		return max(1, total)
	}
	return 1 + int(float64(max(0, total-b.members))*b.inFlightShare)
}

func (b *Budget) refill(now clock.Millis) {
	rate := b.localLimit(b.Policy.LoadsPerSecond)
	b.tokens = min(burst, b.tokens+rate*(now-b.refilledAt).Duration().Seconds())
	b.refilledAt = now
}

// Ready reports whether a load may start.
func (b *Budget) Ready(now clock.Millis) bool {
	if b.inFlight >= b.maxInFlight() {
		return false
	}
	if b.Policy.LoadsPerSecond == 0 {
		return true
	}
	b.refill(now)
	return b.tokens >= 1
}

// ReadyToPrefetch reports whether a load may start that no request waits for: no load is
// in flight, and the rate, if it is limited, has been idle until burst loads may start.
func (b *Budget) ReadyToPrefetch(now clock.Millis) bool {
	return b.Ready(now) && b.inFlight == 0 && (b.Policy.LoadsPerSecond == 0 || b.tokens >= burst)
}

// Take counts the start of a load. The caller must check Ready first.
func (b *Budget) Take(now clock.Millis) {
	b.refill(now)
	b.tokens--
	b.inFlight++
}

// Done counts the end of a load that was taken and started, successful or not.
func (b *Budget) Done() { b.inFlight-- }

// Refund returns a load to the budget that was taken and not started.
func (b *Budget) Refund() {
	b.inFlight--
	b.tokens++
}

// InFlight returns the number of loads in flight.
func (b *Budget) InFlight() int { return b.inFlight }
