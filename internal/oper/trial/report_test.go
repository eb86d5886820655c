package trial

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// smallScenario returns a scenario that runs within a second.
func smallScenario(seed uint64) Scenario {
	s := Kanoride(seed)
	s.Duration = clock.Minute
	s.Adapters = 300
	s.Rate = 2
	s.Replicas = 4
	s.Entries = 3
	s.Restarts = 2
	return s
}

// TestRunIsDeterministic guards against results that depend on more than the seed, such as
// the iteration order of a map.
func TestRunIsDeterministic(t *testing.T) {
	var bodies [2]string
	for i := range bodies {
		report := Run(smallScenario(7))
		body, err := json.Marshal(report)
		must.NoError(t, err)
		bodies[i] = string(body)
	}
	must.Eq(t, bodies[0], bodies[1])
}

// TestRunKeepsWhatMustHold checks for each policy that no adapter is evicted under a running
// request, that each request is either served or missed, and that some are served.
func TestRunKeepsWhatMustHold(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		report := Run(smallScenario(seed))
		for _, r := range report.Results {
			test.Eq(t, 0, r.EvictedRunning, test.Sprint(r.Policy, seed))
			test.Eq(t, r.Requests, r.Served+r.Missed, test.Sprint(r.Policy, seed))
			test.Positive(t, r.Served, test.Sprint(r.Policy, seed))
		}
		must.NoError(t, report.SavePlot(filepath.Join(t.TempDir(), "plot.png")))
	}
}

// TestBoundIsBest checks that no policy stalls requests for less time than the bound. Its
// traces have few slots, a store that keeps up, and neither restarts nor failing loads,
// since chance makes those hit one policy more than another.
func TestBoundIsBest(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		s := smallScenario(seed)
		s.Restarts, s.FailingLoads, s.Slots, s.LoadsPerSecond = 0, 0, 6, 4
		s.Duration = 2 * clock.Minute
		report := Run(s)
		bound := report.find(Bound)
		for _, r := range report.Results {
			test.LessEq(t, r.StallSum, bound.StallSum, test.Sprint(r.Policy, seed))
		}
	}
}

func TestTraceFollowsTheSeed(t *testing.T) {
	a, b := newTrace(smallScenario(1)), newTrace(smallScenario(1))
	must.Eq(t, len(a.calls), len(b.calls))
	for i := range a.calls {
		must.Eq(t, a.calls[i].adapter, b.calls[i].adapter)
		must.Eq(t, a.calls[i].at, b.calls[i].at)
	}
	must.NotEq(t, a.calls[0].at, newTrace(smallScenario(2)).calls[0].at)
}
