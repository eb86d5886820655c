package fleet

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestEndNeedsQuietPolls guards against a stop that cuts off a request which arrived
// half a second earlier and was not read yet because the process was short of CPU time.
func TestEndNeedsQuietPolls(t *testing.T) {
	for _, tc := range []struct {
		name     string
		inFlight []int64
		want     bool
	}{
		{"one poll without requests", []int64{0}, false},
		{"some", []int64{0, 0, 0, 0, 0}, false},
		{"enough", []int64{0, 0, 0, 0, 0, 0}, true},
		{"a request between", []int64{0, 0, 0, 1, 0, 0, 0, 0, 0}, false},
		{"and enough after it", []int64{0, 1, 0, 0, 0, 0, 0, 0}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var idle idlePolls
			got := false
			for _, n := range tc.inFlight {
				got = idle.poll(n)
			}
			must.Eq(t, tc.want, got)
		})
	}
}
