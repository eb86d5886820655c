package claim

import (
	"testing"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
)

func TestNewCapacity(t *testing.T) {
	for _, tc := range []struct {
		name        string
		cores, mbps float64
		want        Capacity
	}{
		{"nothing known", 0, 0, 0},
		{"no link known", 0.4, 0, 0.4},
		{"no processor known", 0, 500, 2},
		{"bound by its processor", 0.4, 1000, 0.4},
		{"bound by its link", 0.192, 20, 0.08},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.want, NewCapacity(tc.cores, tc.mbps)) })
	}
}

// TestStrongEntryVMsClaimFirst has a fleet of 3 strong and 30 weak entry VMs find an expired
// lease at once, whether or not they know each other's capacities. A strong one must get it:
// weak ones are kept busy by the reports of the fleet and lose the lease again.
func TestStrongEntryVMsClaimFirst(t *testing.T) {
	const strong, weak = Capacity(0.8), Capacity(0.08)
	for _, strongest := range []Capacity{0, strong} {
		var earliestStrong, earliestWeak clock.Millis = -1, -1
		for i := range 33 {
			own, earliest := weak, &earliestWeak
			if i%11 == 5 {
				own, earliest = strong, &earliestStrong
			}
			// The spread by id is at most 800 ms.
			spread := clock.Millis(i*97%33) * 24
			if delay := spread + WeakDelay(own, strongest); *earliest < 0 || delay < *earliest {
				*earliest = delay
			}
		}
		must.Less(t, earliestWeak, earliestStrong)
	}
	must.Zero(t, WeakDelay(0.4, 0.4), must.Sprint("nobody waits among equals"))
	must.Zero(t, WeakDelay(0, strong), must.Sprint("nor without a known capacity"))
}

func TestWeakHolderYieldsToAStrongOne(t *testing.T) {
	for _, tc := range []struct {
		name string
		// seen are the highest capacities of others, 6 s apart.
		seen []Capacity
		want bool
	}{
		{"among equals", []Capacity{0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1}, false},
		{"a little stronger", []Capacity{0.15, 0.15, 0.15, 0.15, 0.15, 0.15, 0.15}, false},
		{"stronger for a moment", []Capacity{0.8, 0.8, 0.8, 0.1, 0.8, 0.8, 0.8}, false},
		{"stronger all the time", []Capacity{0.8, 0.8, 0.8, 0.8, 0.8, 0.8}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var y Yielding
			due := false
			for i, strongest := range tc.seen {
				due = y.Due(clock.Millis(i+1)*6*clock.Second, 0.1, strongest)
			}
			must.Eq(t, tc.want, due)
		})
	}
}

// TestYieldedLeaseGoesToAnother checks that the earlier holder leaves the lease to another
// entry VM, whose orders begin after all orders of the earlier holder have arrived and a
// handover interval has passed, and that it takes the lease back if nobody wants it.
func TestYieldedLeaseGoesToAnother(t *testing.T) {
	log, a, b := &testLog{}, newLease("a", 1), newLease("b", 1)
	claimNow(t, log, a, 1000)
	release := a.Yield(2000, 500)
	must.NotNil(t, release)
	must.False(t, a.MayOrder(2000))
	a.HandleResult(*release, log.append(*release))
	must.Nil(t, a.Due(2000+yieldPause-1))
	must.NotNil(t, a.Due(2000+yieldPause))
	log.read(2010, b)
	now := 2010 + releaseClaimDelay
	due := b.Due(now)
	must.NotNil(t, due)
	b.HandleResult(*due, log.append(*due))
	must.True(t, b.Holds(now))
	must.False(t, b.MayOrder(2000+500+testHandover-1))
	must.True(t, b.MayOrder(2010+500+testHandover))
}

// TestRefusedYieldIsTakenBack lets the store refuse the release: the holder claims again.
func TestRefusedYieldIsTakenBack(t *testing.T) {
	log, a := &testLog{}, newLease("a", 1)
	claimNow(t, log, a, 1000)
	release := a.Yield(2000, 500)
	must.NotNil(t, release)
	a.HandleResult(*release, Refused)
	due := a.Due(2000 + refusedBackoff)
	must.NotNil(t, due)
	must.Eq(t, KindClaim, due.Record.Kind)
}
