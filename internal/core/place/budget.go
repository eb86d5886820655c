package place

import "mangostile/internal/base/clock"

// Budget is one entry VM's part of what the weight store allows over all. The
// zero value allows DefaultLoadsInFlight loads at once at any rate.
type Budget struct {
	Policy Policy
	// share is the part of the failure domain's rate, 0 to 1; 0 is all.
	share float64
	// inFlightShare is the part of the loads in flight that are not one for each
	// of the members.
	inFlightShare float64
	members       int
	// tokens is the number of loads that may start, as of at.
	tokens float64
	at     clock.Millis
	// inFlight counts loads that were taken and have not ended.
	inFlight int
}

// burst bounds the loads that may start at once after a pause.
const burst = 2

// SetShare sets the parts of the failure domain's part: of the rate, and of the
// loads in flight beyond the one that each of the members may always have.
func (b *Budget) SetShare(rate, inFlight float64, members int) {
	b.share = min(max(rate, 0), 1)
	b.inFlightShare = min(max(inFlight, 0), 1)
	b.members = members
}

// Capacity is the number of loads that the failure domain's part allows in a
// second, or at once if there is no bound on the rate.
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

// part is the own part of a bound over all failure domains.
func (b *Budget) part(total float64) float64 {
	if b.Policy.Shares > 1 {
		total /= float64(b.Policy.Shares)
	}
	if b.share > 0 {
		total *= b.share
	}
	return total
}

// maxInFlight is at least 1, so that every entry VM can load. The sum over the
// members is no more than the bound, unless there are more members than that.
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
	rate := b.part(b.Policy.LoadsPerSecond)
	b.tokens = min(burst, b.tokens+rate*(now-b.at).Duration().Seconds())
	b.at = now
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

// Spare reports whether a load may start that nobody waits for: the budget has
// been left alone for a time.
func (b *Budget) Spare(now clock.Millis) bool {
	return b.Ready(now) && b.inFlight == 0 && (b.Policy.LoadsPerSecond == 0 || b.tokens >= burst)
}

// Take counts a load that starts. Ready must hold.
func (b *Budget) Take(now clock.Millis) {
	b.refill(now)
	b.tokens--
	b.inFlight++
}

// Done counts the end of a load.
func (b *Budget) Done() { b.inFlight-- }

// Return gives a load back that was taken and not started.
func (b *Budget) Return() {
	b.inFlight--
	b.tokens++
}

// InFlight returns the number of loads on their way.
func (b *Budget) InFlight() int { return b.inFlight }
