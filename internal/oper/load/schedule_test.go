package load

import (
	"testing"
	"time"

	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func testPlan() Plan {
	return Plan{
		Entries: []string{"127.0.0.1:1"}, Rate: 100, Duration: 10 * time.Second, RepeatShare: 0.5, Seed: 7, Skew: 1.3,
		Mix: Mix{Chat: 4, Letter: 3, Lookup: 2, Action: 1}, Service: "ledger", ActionPath: "/release", LookupPath: "/stock",
		Adapters: []units.AdapterVersion{{Adapter: "braid"}, {Adapter: "letter", Version: "v2"}, {Adapter: "lot"}},
	}
}

// TestScheduleIsFixed checks that equal plans give equal, ordered schedules and that a
// repeated action has the key and body of the first. Otherwise runs can't be compared.
func TestScheduleIsFixed(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		plan := testPlan()
		plan.Seed = rapid.Uint64().Draw(t, "seed")
		plan.Rate = rapid.Float64Range(1, 200).Draw(t, "rate")
		plan.ShiftEvery = time.Duration(rapid.IntRange(0, 4).Draw(t, "shift")) * time.Second
		first, second := plan.Schedule(), plan.Schedule()
		must.EqOp(t, len(first), len(second))
		keys := map[string]string{}
		for i := range first {
			must.EqOp(t, i, first[i].Number)
			must.True(t, i == 0 || first[i-1].At <= first[i].At)
			if first[i].Key != "" {
				body, known := keys[first[i].Key]
				must.EqOp(t, known, first[i].Repeated && known)
				must.True(t, !known || body == first[i].Body)
				keys[first[i].Key] = first[i].Body
			}
			a, b := first[i], second[i]
			a.Key, b.Key = "", ""
			must.EqOp(t, a, b)
		}
	})
}

func TestShiftChangesWhatIsPopular(t *testing.T) {
	plan := testPlan()
	plan.Adapters = nil
	for i := range 500 {
		plan.Adapters = append(plan.Adapters, units.AdapterVersion{Adapter: units.AdapterName(rune('a'+i%26)) + units.AdapterName(rune('a'+i/26))})
	}
	plan.Mix = Mix{Chat: 1}
	plan.ShiftEvery = 5 * time.Second
	counts := [2]map[units.AdapterVersion]int{{}, {}}
	for _, call := range plan.Schedule() {
		counts[call.At/plan.ShiftEvery][call.Adapter]++
	}
	most := func(counts map[units.AdapterVersion]int) (best units.AdapterVersion) {
		for av, n := range counts {
			if n > counts[best] {
				best = av
			}
		}
		return best
	}
	must.NotEqOp(t, most(counts[0]), most(counts[1]))
}

func TestPlanCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *Plan)
		want   string
	}{
		{"whole", func(*Plan) {}, ""},
		{"no entry VM", func(p *Plan) { p.Entries = nil }, "name at least one address"},
		{"no rate", func(p *Plan) { p.Rate = 0 }, "rate must be greater"},
		{"no time", func(p *Plan) { p.Duration = 0 }, "duration must be greater"},
		{"all warm-up", func(p *Plan) { p.WarmUp = p.Duration }, "shorter than the run"},
		{"flat skew", func(p *Plan) { p.Skew = 1 }, "skew must be greater"},
		{"negative share", func(p *Plan) { p.Mix.Chat = -1 }, "none below"},
		{"empty mix", func(p *Plan) { p.Mix = Mix{} }, "share above 0"},
		{"no adapters", func(p *Plan) { p.Adapters = nil }, "import a table first"},
		{"no service", func(p *Plan) { p.Service = "" }, "name one or set"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plan := testPlan()
			tt.change(&plan)
			err := plan.Check()
			if tt.want == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorContains(t, err, tt.want)
		})
	}
}
