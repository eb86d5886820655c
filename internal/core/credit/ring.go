package credit

import "mangostile/internal/base/clock"

// windowSlots is the number of slots of a window. One more is kept, so that what left the sum is at
// least a window old.
const windowSlots = 64

// ring sums up amounts over a sliding window. Its zero value, with the width of a slot set, is empty.
type ring struct {
	width clock.Millis
	slots [windowSlots + 1]float64
	// at is the number of the newest slot since time 0.
	at int64
}

func newRing(window clock.Millis) ring { return ring{width: max(1, window/windowSlots)} }

func (r *ring) slotOf(now clock.Millis) int64 { return int64(now / r.width) }

func (r *ring) advance(now clock.Millis) {
	to := r.slotOf(now)
	if to-r.at > int64(len(r.slots)) {
		r.slots, r.at = [windowSlots + 1]float64{}, to
	}
	for r.at < to {
		r.at++
		*r.slot(r.at) = 0
	}
}

// slot returns the slot of a number, which must be one of the last windowSlots+1.
func (r *ring) slot(number int64) *float64 { return &r.slots[number%int64(len(r.slots))] }

func (r *ring) has(number int64) bool {
	return number >= 0 && number <= r.at && number > r.at-int64(len(r.slots))
}

func (r *ring) add(now clock.Millis, amount float64) {
	r.advance(now)
	*r.slot(r.at) += amount
}

// remove takes an amount out of the oldest slots, so that what remains stays in the sum for no
// shorter than it should.
func (r *ring) remove(now clock.Millis, amount float64) {
	r.advance(now)
	for number := max(0, r.at-windowSlots); number <= r.at && amount > 0; number++ {
		slot := r.slot(number)
		taken := min(*slot, amount)
		*slot -= taken
		amount -= taken
	}
}

func (r *ring) sum(now clock.Millis) float64 {
	r.advance(now)
	total := 0.0
	for _, amount := range r.slots {
		total += amount
	}
	return total
}

// lately returns the sum of the newest slots that cover some time, at most the window.
func (r *ring) lately(now, span clock.Millis) float64 {
	r.advance(now)
	total := 0.0
	for number := r.at; r.has(number) && number > r.at-1-int64(span/r.width); number-- {
		total += *r.slot(number)
	}
	return total
}

func (r *ring) scale(factor float64) {
	for i := range r.slots {
		r.slots[i] *= factor
	}
}
