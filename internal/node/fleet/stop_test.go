package fleet

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestEndNeedsQuietPolls guards against a stop that cuts off a request which arrived
// half a second earlier and was not read yet because the process was short of CPU time.
func TestEndNeedsQuietPolls(t *testing.T) {
	for _, tc := range []struct {
		name     string
		inFlight []int
		want     bool
	}{
		{"one poll without requests", []int{0}, false},
		{"some", []int{0, 0, 0, 0, 0}, false},
		{"enough", []int{0, 0, 0, 0, 0, 0}, true},
		{"a request between", []int{0, 0, 0, 1, 0, 0, 0, 0, 0}, false},
		{"and enough after it", []int{0, 1, 0, 0, 0, 0, 0, 0}, true},
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

// TestLateRequestsOfAStopAreRefused guards against streams that a stopping entry VM accepts and
// then cuts off at the end of its grace period: one of 50 tokens, accepted 3.4 s after the stop
// with 4.2 s left, waited 1.7 s at its backend server and got 2.5 s of tokens.
func TestLateRequestsOfAStopAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name  string
		kind  topo.Kind
		since clock.Millis
		want  bool
	}{
		{"stream at once", topo.KindStream, 0, true},
		{"stream before the balancer has noticed", topo.KindStream, 2500, true},
		{"short stream later", topo.KindStream, 3370, false},
		{"stream at the end", topo.KindStream, 7500, false},
		{"call later", topo.KindOnce, 3370, true},
		{"call that could be cut off", topo.KindOnce, 7300, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := New(Options{Settings: Settings{ID: "vm0", Grace: 8 * clock.Second}})
			n.stoppedAt.Store(int64(n.clock.Now() - tc.since))
			c := &exchange{node: n, route: &topo.Route{Kind: tc.kind, Target: 800}, head: RequestHead{MaxTokens: 52}}
			must.Eq(t, tc.want, c.endsBeforeStop())
		})
	}
}
