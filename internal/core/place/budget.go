package place

import "mangostile/internal/base/clock"

// Budget is one entry VM's part of what the weight store allows over all. The
// zero value allows DefaultLoadsInFlight loads at once at any rate.
type Budget struct {
	Policy Policy
	// share is the part of the failure domain's part, 0 to 1; 0 is all.
	share float64
	// tokens is the number of loads that may start, as of at.
	tokens float64
	at     clock.Millis
	// inFlight counts loads that were taken and have not ended.
	inFlight int
}

// burst bounds the loads that may start at once after a pause.
const burst = 2

// SetShare sets the part of the failure domain's part, from 0 to 1.
func (b *Budget) SetShare(share float64) { b.share = min(max(share, 0), 1) }

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

// maxInFlight is at least 1, so that a small part still loads.
func (b *Budget) maxInFlight() int {
	total := b.Policy.LoadsInFlight
	if total == 0 {
		total = DefaultLoadsInFlight
	}
	return max(1, int(b.part(float64(total))+0.5))
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
