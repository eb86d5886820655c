// Package retry limits the number of retries and computes their backoff.
package retry

import "mangostile/internal/base/clock"

const (
	// perRequest is the number of retries that each new request adds to the budget.
	perRequest = 0.1
	// reserve is the initial and maximum budget, in retries.
	reserve = 20
)

// Budget limits retries to a fraction of the requests, so that a simultaneous failure of
// many backend servers does not multiply the load on the remaining ones. The zero value
// has the full reserve.
type Budget struct {
	// spent is the reserve minus the available retries, from 0 to reserve.
	spent float64
}

// Request counts a new request and adds perRequest retries to the budget, up to reserve.
func (b *Budget) Request() { b.spent = max(0, b.spent-perRequest) }

// Take takes one retry from the budget and reports whether one was available.
func (b *Budget) Take() bool {
	if b.spent > reserve-1 {
		return false
	}
	b.spent++
	return true
}

const (
	firstBackoff = 100 * clock.Millis(1)
	maxBackoff   = 2 * clock.Second
)

// Backoff returns the time in ms to wait before retry n, counted from 1. It doubles with n
// up to maxBackoff. draw, a random number, shortens it by up to half, so that requests that
// failed together are not retried together.
func Backoff(n int32, draw uint64) clock.Millis {
	wait := min(firstBackoff<<min(max(n-1, 0), 10), maxBackoff)
	return wait - clock.Millis(draw%uint64(wait/2+1))
}
