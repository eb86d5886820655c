package choose

import "mangostile/internal/base/clock"

// budgetSlots is the number of slots into which a budget's window is divided.
const budgetSlots = 10

// budget limits retries to a service to a share of its requests in a sliding window,
// plus a reserve.
type budget struct {
	window   clock.Millis
	requests [budgetSlots]int
	retries  [budgetSlots]int
	// slot is the number of the current slot, counted from time 0.
	slot int64
}

// advance moves the window to now and clears the slots that it newly covers.
func (b *budget) advance(now clock.Millis) {
	slot := int64(now / (b.window / budgetSlots))
	for ; b.slot < slot; b.slot++ {
		if slot-b.slot > budgetSlots {
			b.slot = slot - budgetSlots
		}
		i := (b.slot + 1) % budgetSlots
		b.requests[i], b.retries[i] = 0, 0
	}
}

func (b *budget) request(now clock.Millis) {
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// take consumes one retry if ratio and reserve allow it and reports whether they do.
func (b *budget) take(now clock.Millis, ratio, reserve float64) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > ratio*float64(requests)+reserve {
		return false
	}
	b.retries[b.slot%budgetSlots]++
	return true
}
