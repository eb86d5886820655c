package fleet

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestEndNeedsQuietPolls answers a stop that cut off a request which had come half a
// second before and that a process short of processor time had not read yet.
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
			var left quiet
			got := false
			for _, n := range tc.inFlight {
				got = left.poll(n)
			}
			must.Eq(t, tc.want, got)
		})
	}
}
