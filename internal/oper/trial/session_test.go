package trial

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "rewrite golden files")

// TestSessions compares every decision line of short simulations with golden files.
func TestSessions(t *testing.T) {
	base := smallScenario(5)
	base.Duration, base.Adapters, base.Replicas, base.Entries, base.Slots, base.BatchMax = 15*clock.Second, 6, 2, 2, 2, 4
	base.Restarts, base.FailingLoads, base.SlowStore, base.Shifts = 0, 0, 0, 0
	for _, tc := range []struct {
		name      string
		objective float64
		change    func(s *Scenario)
	}{
		{"stalls", 0, func(*Scenario) {}},
		{"batch", 1, func(*Scenario) {}},
		{"failing_loads_and_restart", 0, func(s *Scenario) { s.FailingLoads, s.Restarts = 0.4, 1 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := base
			tc.change(&s)
			golden(t, filepath.Join("testdata", tc.name+".golden"), decisionLines(s, tc.objective))
		})
	}
}

// decisionLines returns the decision lines of one simulation.
func decisionLines(s Scenario, objective float64) string {
	var lines strings.Builder
	p := &cores{policy: policySettings(s, objective)}
	w := newWorld(s, newTrace(s), p)
	p.onDecision = func(entry int, d event.Decision) {
		fmt.Fprintf(&lines, "at=%d entry=%d area=%s request=%s choice=%s reason=%s", w.now, entry, d.Area, d.Request, d.Choice, d.Reason)
		for i := 0; i+1 < len(d.Pairs); i += 2 {
			if rate, ok := d.Pairs[i+1].(float64); ok {
				d.Pairs[i+1] = fmt.Sprintf("%.4f", rate)
			}
			fmt.Fprintf(&lines, " %v=%v", d.Pairs[i], d.Pairs[i+1])
		}
		lines.WriteByte('\n')
	}
	w.play()
	return lines.String()
}

func golden(t *testing.T, path, got string) {
	if *update {
		must.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		must.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, string(want), got)
}
