package choose

import "mangostile/internal/base/clock"

// budgetSlots is the number of parts that a budget's window is counted in.
const budgetSlots = 10

// budget bounds second sends to a service: to a share of the requests in a
// sliding window and a reserve.
type budget struct {
	window   clock.Millis
	requests [budgetSlots]int
	extras   [budgetSlots]int
	slot     int64
}

func (b *budget) advance(now clock.Millis) {
	slot := int64(now / (b.window / budgetSlots))
	for ; b.slot < slot; b.slot++ {
		if slot-b.slot > budgetSlots {
			b.slot = slot - budgetSlots
		}
		i := (b.slot + 1) % budgetSlots
		b.requests[i], b.extras[i] = 0, 0
	}
}

func (b *budget) request(now clock.Millis) {
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// take takes one extra send if ratio and reserve allow it.
func (b *budget) take(now clock.Millis, ratio, reserve float64) bool {
	b.advance(now)
	requests, extras := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	if float64(extras+1) > ratio*float64(requests)+reserve {
		return false
	}
	b.extras[b.slot%budgetSlots]++
	return true
}
