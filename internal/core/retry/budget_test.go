package retry

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestBudgetBoundsRetries checks that the retries never exceed the reserve plus those that
// the requests add, with requests and retries in random order.
func TestBudgetBoundsRetries(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var b Budget
		requests, retries := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "request") == 0 {
				b.Request()
				requests++
			} else if b.Take() {
				retries++
			}
			must.LessEq(t, reserve+perRequest*float64(requests)+1e-6, float64(retries))
		}
	})
}

// TestBackoffDoublesUpToMax checks that the backoff doubles up to maxBackoff and that a
// random number shortens it by no more than half.
func TestBackoffDoublesUpToMax(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		n := rapid.Int32Range(1, 40).Draw(t, "try")
		wait := Backoff(n, rapid.Uint64().Draw(t, "draw"))
		longest := Backoff(n, 0)
		must.Between(t, longest/2, wait, longest)
		must.LessEq(t, maxBackoff, longest)
		must.LessEq(t, Backoff(n+1, 0), longest)
		must.Eq(t, min(firstBackoff<<min(n-1, 10), maxBackoff), longest)
		must.Less(t, 3*clock.Second, longest)
	})
}
