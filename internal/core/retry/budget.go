// Package retry bounds how often work is tried again.
package retry

import "mangostile/internal/base/clock"

const (
	// perRequest is what each new request adds to the budget.
	perRequest = 0.1
	// reserve is the budget at the start and the most that is kept.
	reserve = 20
)

// Budget bounds retries to a part of the requests, so that a failure of many
// backend servers at once does not multiply the work on those that are left.
// The zero value has its reserve.
type Budget struct {
	// spent is the reserve less the tokens at hand, 0 to reserve.
	spent float64
}

// Request counts a new request.
func (b *Budget) Request() { b.spent = max(0, b.spent-perRequest) }

// Take takes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	if b.spent > reserve-1 {
		return false
	}
	b.spent++
	return true
}

const (
	firstWait = 100 * clock.Millis(1)
	maxWait   = 2 * clock.Second
)

// Wait returns how long to wait before the try numbered n, from 1. It doubles
// and holds back up to half by draw, so that requests that failed together do
// not come back together.
func Wait(n int32, draw uint64) clock.Millis {
	wait := min(firstWait<<min(max(n-1, 0), 10), maxWait)
	return wait - clock.Millis(draw%uint64(wait/2+1))
}
