package credit

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// large is a quota of 600 requests a second, of which one in nine is large, with a burst of a second.
var large = topo.Quota{Rate: 600_000, Burst: 600_000, ByTokens: true}

// maxRefused is the greatest share of requests that may be refused below the quota in the seconds after
// a failure.
const maxRefused = 0.01

// TestCalm lets the use of a customer rise from far below its limit to 7.5 times it and fall again. The
// load is that of 78 entry VMs which each get few of the customer's requests: what each of them sees
// alone says little about the use of all.
func TestCalm(t *testing.T) {
	w := newWorld(t, 78, large)
	for _, tc := range []struct {
		demand  float64
		refused float64
	}{{0.3, 0}, {0.6, 0}, {0.8, 0}, {1.5, 0.4}, {7.5, 0.9}, {0.5, 0.1}, {0.8, 0}} {
		_, refused := w.run(20*clock.Second, tc.demand)
		must.LessEq(t, tc.refused, refused, must.Sprint(tc.demand))
		must.LessEq(t, bound(large), w.worst(0))
	}
}

// TestLargeRequestsAreServedToo guards against small requests that take all of the credit as it gets
// free, so that none is ever left for a large one, at four times the limit.
func TestLargeRequestsAreServedToo(t *testing.T) {
	w := newWorld(t, 24, large)
	w.run(12*clock.Second, 4)
	before := len(w.admitted)
	asked, _ := w.run(20*clock.Second, 4)
	served := 0
	for _, s := range w.admitted[before:] {
		if s.cost > 1000 {
			served++
		}
	}
	must.GreaterEq(t, 0.25*float64(asked)/9/4, float64(served))
}

// TestFailures brings about a failure of entry VMs or of links while a customer uses four fifths of its
// limit, and twice its limit. The use may at no time exceed what the deployment promises, and below the
// limit hardly any request may be refused.
func TestFailures(t *testing.T) {
	half := func(w *world) {
		for i, v := range w.vms {
			v.down = i/6%2 == 0
		}
	}
	tests := []struct {
		name string
		// fail brings the failure about, which repair ends after lasts.
		fail, repair func(w *world)
		lasts        clock.Millis
	}{
		{name: "keeper killed", lasts: restartDelay, fail: func(w *world) { w.keeper().down = true }, repair: bootAll},
		{name: "keeper lost for good", lasts: 20 * clock.Second, fail: func(w *world) { w.keeper().down = true }},
		{name: "keeper frozen", lasts: 5 * clock.Second, fail: func(w *world) { w.keeper().frozen = true }, repair: thawAll},
		{name: "half killed", lasts: restartDelay, fail: half, repair: bootAll},
		{name: "half lost for good", lasts: 20 * clock.Second, fail: half},
		{name: "all restarted", lasts: restartDelay, fail: func(w *world) {
			for _, v := range w.vms {
				v.down = true
			}
		}, repair: bootAll},
		{name: "region cut", lasts: 40 * clock.Second, fail: func(w *world) {
			region := func(v *testVM) bool { return v.member.Domain < "d3" }
			w.cut = func(a, b *testVM) bool { return region(a) != region(b) }
		}, repair: heal},
		{name: "failure domain cut", lasts: 40 * clock.Second, fail: func(w *world) {
			w.cut = func(a, b *testVM) bool { return (a.member.Domain == "d0") != (b.member.Domain == "d0") }
		}, repair: heal},
		// An entry VM that reaches no other has only its own share.
		{name: "four cut off", lasts: 40 * clock.Second, fail: func(w *world) {
			alone := func(v *testVM) bool { return v.member.Address < "12" }
			w.cut = func(a, b *testVM) bool { return a != b && (alone(a) || alone(b)) }
		}, repair: heal},
	}
	for _, tc := range tests {
		for _, demand := range []float64{0.8, 2} {
			t.Run(tc.name, func(t *testing.T) {
				t.Parallel()
				w := newWorld(t, 78, large)
				w.run(12*clock.Second, demand)
				tc.fail(w)
				asked, refused := w.run(tc.lasts, demand)
				if tc.repair != nil {
					tc.repair(w)
				}
				askedAfter, after := w.run(20*clock.Second, demand)
				t.Logf("demand %.1f: refused %.4f of %d, then %.4f of %d; most used %.3f of the bound", demand, refused, asked, after, askedAfter, w.worst(0)/bound(large))
				must.LessEq(t, bound(large), w.worst(0))
				if demand < 1 {
					must.LessEq(t, maxRefused*float64(asked+askedAfter), refused*float64(asked)+after*float64(askedAfter))
				}
			})
		}
	}
}

func bootAll(w *world) {
	for _, v := range w.vms {
		if v.down {
			w.boot(v)
		}
	}
}

func thawAll(w *world) {
	for _, v := range w.vms {
		v.frozen = false
	}
}

func heal(w *world) { w.cut = func(_, _ *testVM) bool { return false } }

// TestChangedLimits lowers a limit to half at twice the demand, and raises it again. The lower limit
// binds one window after it is known, without refusing everything until the use has fallen below it.
func TestChangedLimits(t *testing.T) {
	half := large
	half.Rate, half.Burst = large.Rate/2, large.Burst/2
	w := newWorld(t, 78, large)
	w.run(20*clock.Second, 2)
	w.setQuota(half)
	lowered := w.now
	asked, refused := w.run(4*clock.Second, 2)
	must.Greater(t, float64(asked)/10, (1-refused)*float64(asked))
	w.run(16*clock.Second, 2)
	must.LessEq(t, bound(half), w.worst(lowered+4*clock.Second))
	w.setQuota(large)
	w.run(20*clock.Second, 0.8)
	_, refused = w.run(10*clock.Second, 0.8)
	must.LessEq(t, maxRefused, refused)
	must.LessEq(t, bound(large), w.worst(0))
}

// TestOnlyEntryVM asks the keeper of a quota itself, which gets four times the requests that its limit
// allows, for a window.
func TestOnlyEntryVM(t *testing.T) {
	c := New(start, Config{Self: "a", Incarnation: 1, Address: "a", Domain: "d0", Domains: []units.FailureDomain{"d0"}})
	c.SetMembers(nil, 1)
	c.SetCustomers(start, []*topo.Customer{{Name: customer, Quota: topo.Quota{Rate: 1, Burst: 2}}})
	admitted := 0
	for i := range 32 {
		claim := Claim{Customer: customer, Cost: 1, Deadline: start + clock.Minute}
		now := start + 10*clock.Second + clock.Millis(i)*250
		c.Tick(now)
		if _, ok := c.Admit(now, &claim).(Admitted); ok {
			admitted++
		}
	}
	must.Eq(t, 10, admitted)
}

// TestControlCost measures what quotas cost with 340 entry VMs, of which each gets six requests a second
// of the customer. The keeper's part is the greatest.
func TestControlCost(t *testing.T) {
	quota := topo.Quota{Rate: 3_000_000, Burst: 3_000_000, ByTokens: true}
	const budget = 5_000 // bytes a second for control, by the page
	for _, demand := range []float64{0.35, 0.95} {
		w := newWorld(t, 340, quota)
		w.run(8*clock.Second, demand*quota.Rate/large.Rate)
		for _, v := range w.vms {
			v.sent = 0
		}
		w.sent = 0
		w.run(8*clock.Second, demand*quota.Rate/large.Rate)
		most := 0
		for _, v := range w.vms {
			most = max(most, v.sent)
		}
		t.Logf("%.2f of the limit: %d B a second and entry VM, %d at the keeper", demand, w.sent/8/len(w.vms), most/8)
		must.LessEq(t, budget, w.sent/8/len(w.vms))
	}
}

// TestThawedEntryVMAsksAgain freezes an entry VM with credit for longer than that is valid.
func TestThawedEntryVMAsksAgain(t *testing.T) {
	w := newWorld(t, 12, large)
	w.run(12*clock.Second, 0.9)
	var frozen *testVM
	for _, v := range w.vms {
		if v != w.keeper() && v.core.accounts[customer].left(w.now) > 0 {
			frozen = v
		}
	}
	must.NotNil(t, frozen)
	claim := Claim{Customer: customer, Cost: 1, Deadline: w.now + clock.Minute}
	_, waits := frozen.core.Admit(w.now+relaxedTTL+1, &claim).(Wait)
	must.True(t, waits)
}
