package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestLateAnswerCountsForItsOrderAlone guards against a backend server that is ordered to load more
// adapters than it holds: the late answer to an order from before a disruption counted as the answer to
// the order after it, and the copy that this one had loaded was forgotten.
func TestLateAnswerCountsForItsOrderAlone(t *testing.T) {
	const orderedAt, disruptedAt, lateBy = clock.Millis(1200), clock.Millis(1250), 800 * clock.Millis(1)
	restart := func(f *testPlacer) *topo.Server {
		f.backends.engines["s1"] = &fakeEngine{copies: map[units.AdapterName]topo.AdapterRevision{}, start: 99}
		listed := testServer("s1")
		listed.StartedAt = 99
		return listed
	}
	tests := []struct {
		name    string
		disrupt func(f *testPlacer)
	}{
		{"lease lost and claimed again", func(f *testPlacer) { f.Resync(disruptedAt) }},
		{"lease lost and claimed again twice", func(f *testPlacer) {
			f.Resync(disruptedAt)
			f.run(disruptedAt, disruptedAt+100)
			f.Resync(f.now)
		}},
		{"placer stood still and claimed again", func(f *testPlacer) {
			f.Resync(disruptedAt + 10*clock.Second)
		}},
		{"process restarted in place, listed first", func(f *testPlacer) {
			f.SetServers(disruptedAt, []*topo.Server{restart(f)}, testServices(2))
		}},
		{"process restarted in place, reported first", func(f *testPlacer) {
			restart(f)
			f.HandleReport(disruptedAt, "s1", f.backends.report("s1"))
		}},
		{"entry expired and came back", func(f *testPlacer) {
			f.SetServers(disruptedAt, nil, testServices(2))
			f.SetServers(disruptedAt+10, []*topo.Server{testServer("s1")}, testServices(2))
		}},
	}
	for _, test := range tests {
		for _, late := range []Result{Lost, Taken, Conflicts, NotSent} {
			t.Run(test.name+", "+late.String(), func(t *testing.T) {
				f := newTestPlacer(2, "s1")
				f.requestLoads(orderedAt, 500, "a1")
				unanswered := f.Step(orderedAt, true).Orders
				must.SliceLen(t, 1, unanswered)
				test.disrupt(f)
				// The next order, if one may be sent before the answer.
				for f.run(f.now, f.now+10); len(f.orders) == 0 && f.now < disruptedAt+lateBy; f.run(f.now, f.now+10) {
					f.requestLoads(f.now, 500, "a1")
				}
				// The callers of a1 leave.
				clear(f.loadRequests)
				f.HandleOrderResult(f.now, unanswered[0], late)
				for round := range 40 {
					f.requestLoads(f.now, 500, fmt.Sprint("b", 2*round), fmt.Sprint("b", 2*round+1))
					f.run(f.now, f.now+250)
					must.Zero(t, f.backends.crashed)
				}
				must.Greater(t, 10, len(f.loaded()), must.Sprint("orders must go on"))
			})
		}
	}
}

// TestDroppedAnswerDoesNotBlockOrders guards against a backend server that gets no orders any more since
// the answer to one was dropped.
func TestDroppedAnswerDoesNotBlockOrders(t *testing.T) {
	for _, leaseLost := range []bool{false, true} {
		f := newTestPlacer(2, "s1")
		f.requestLoads(1200, 500, "a1")
		must.SliceLen(t, 1, f.Step(1200, true).Orders)
		if leaseLost {
			f.Resync(1250)
		}
		f.run(1250, 1200+orderAnswerTimeout+reportDelay+100)
		f.requestLoads(f.now, 500, "a2")
		f.run(f.now, f.now+100)
		must.Eq(t, []string{"a2"}, f.loaded())
	}
}

// TestReportOfPreviousProcessIsIgnored guards against a restarted backend server for which the copies of
// its previous process are published, since the report of that came late.
func TestReportOfPreviousProcessIsIgnored(t *testing.T) {
	f := newTestPlacer(8, "s1")
	restarted := testServer("s1")
	restarted.StartedAt = 99
	f.SetServers(1200, []*topo.Server{restarted}, testServices(8))
	before := f.backends.report("s1")
	before.StartedAt, before.Copies = 50, []topo.Copy{{Adapter: "m/a1"}}
	f.HandleReport(1210, "s1", before)
	must.MapEmpty(t, f.servers["s1"].copies)
	must.False(t, f.servers["s1"].synced)
	f.run(1210, 1210+2*reportDelay)
	must.True(t, f.servers["s1"].synced)
}

// lateAnswer is the answer to an order, due at some time.
type lateAnswer struct {
	order Order
	// result is that of an order which reached the backend server, 0 before.
	result Result
	dueAt  clock.Millis
}

// TestAnswersInAnyOrderNeverOverfill lets answers come late and after other orders, while the lease is
// lost and claimed again, processes restart and entries of the list expire and come back.
func TestAnswersInAnyOrderNeverOverfill(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		f := newTestPlacer(3, "s1", "s2")
		start := map[units.BackendServerID]int64{"s1": 0, "s2": 0}
		list := func() (servers []*topo.Server) {
			for id, at := range start {
				s := testServer(string(id))
				s.StartedAt = at
				servers = append(servers, s)
			}
			return servers
		}
		now := clock.Millis(2000)
		var answers []lateAnswer
		for range rapid.IntRange(30, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.SampledFrom([]int{10, 30, 100, 300}).Draw(t, "elapsed"))
			f.requestLoads(now, 600, fmt.Sprint("a", rapid.IntRange(0, 9).Draw(t, "adapter")))
			server := units.BackendServerID(rapid.SampledFrom([]string{"s1", "s2"}).Draw(t, "server"))
			switch rapid.IntRange(0, 14).Draw(t, "disruption") {
			case 0:
				f.Resync(now)
			case 1:
				start[server] = int64(now)
				f.backends.engines[server] = &fakeEngine{copies: map[units.AdapterName]topo.AdapterRevision{}, start: int64(now)}
				for i := range answers {
					if answers[i].order.Server == server && answers[i].result == 0 {
						answers[i].result = Lost
					}
				}
			case 2:
				f.SetServers(now, list(), testServices(3))
			case 3:
				f.SetServers(now, nil, testServices(3))
				f.SetServers(now, list(), testServices(3))
			}
			plan := f.Step(now, true)
			for _, a := range plan.ReportRequests {
				f.HandleReport(now, a.Server, f.backends.report(a.Server))
			}
			for _, o := range plan.Orders {
				answers = append(answers, lateAnswer{order: o, dueAt: now + clock.Millis(rapid.IntRange(0, 600).Draw(t, "answer after"))})
			}
			answers = f.deliver(t, now, answers)
		}
		must.Zero(t, f.backends.crashed)
	})
}

// deliver executes some of the orders that have not reached their backend servers, and passes on the answers
// that are due. It returns the others.
func (f *testPlacer) deliver(t *rapid.T, now clock.Millis, answers []lateAnswer) []lateAnswer {
	var later []lateAnswer
	for _, a := range answers {
		if a.result == 0 && rapid.Bool().Draw(t, "executed now") {
			a.result = f.backends.execute(a.order)
		}
		switch {
		case now < a.dueAt:
			later = append(later, a)
		case a.result == 0:
			f.HandleOrderResult(now, a.order, Lost)
			// It may be executed all the same.
			if now < a.dueAt+3*clock.Second {
				later = append(later, a)
			}
		default:
			f.HandleOrderResult(now, a.order, rapid.SampledFrom([]Result{a.result, a.result, Lost}).Draw(t, "answer"))
		}
	}
	return later
}
