package trial

import (
	"fmt"
	"io"
	"text/tabwriter"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/place"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Result holds the figures of one policy for one scenario.
type Result struct {
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	Served   int    `json:"served"`
	// Missed counts requests without a complete answer within the deadline.
	Missed int `json:"missed"`
	// MissedButMet counts those of Missed that a baseline answered within the deadline.
	MissedButMet int `json:"missed_but_met"`
	// LowPriorityMissed counts those of Missed with the lowest priority.
	LowPriorityMissed int `json:"low_priority_missed"`
	// Stalled counts requests that waited for an adapter to be loaded.
	Stalled  int          `json:"stalled"`
	StallSum clock.Millis `json:"stall_sum_ms"`
	StallP50 clock.Millis `json:"stall_p50_ms"`
	StallP99 clock.Millis `json:"stall_p99_ms"`
	// Loads counts the loads that ended, including failed ones.
	Loads int64 `json:"loads"`
	// BatchFill is the mean share of batch places in use in an engine step, 0 to 1.
	BatchFill float64 `json:"batch_fill"`
	// EngineTimePerToken is the engine time for one token, in milliseconds.
	EngineTimePerToken float64 `json:"engine_ms_per_token"`
	// Goodput is the number of tokens per second in answers that end within their
	// deadline and before the scenario's Duration is over. Capacity is the number of
	// tokens per second that the engines generate with full batches.
	Goodput  float64 `json:"goodput_tokens_per_second"`
	Capacity float64 `json:"capacity_tokens_per_second"`
	// EvictedRunning counts evictions of an adapter with a running request. It
	// must be 0.
	EvictedRunning int `json:"evicted_running"`
	// MostInFlight is the greatest number of loads in flight.
	MostInFlight int `json:"most_loads_in_flight"`

	// stalls holds the stall of each request of the trace, met whether it was served.
	stalls []clock.Millis
	met    []bool
}

// Report holds the results of all policies on one scenario.
type Report struct {
	Scenario Scenario `json:"scenario"`
	Results  []Result `json:"results"`
}

// Names of the policies.
const (
	LeastLoaded      = "least_loaded_lru"
	Affinity         = "hash_affinity_lru"
	MangostileStalls = "mangostile_stalls"
	MangostileBatch  = "mangostile_batch"
	Bound            = "knows_future"
)

// Run simulates the trace of s with every policy.
func Run(s Scenario) Report {
	t := newTrace(s)
	report := Report{Scenario: s}
	for _, entry := range []struct {
		name   string
		policy policy
	}{
		{LeastLoaded, newLeastLoaded()},
		{Affinity, newAffinity()},
		{MangostileStalls, newCores(policySettings(s, 0))},
		{MangostileBatch, newCores(policySettings(s, 1))},
		{Bound, newBound()},
	} {
		w := newWorld(s, t, entry.policy)
		w.play()
		report.Results = append(report.Results, w.result(entry.name))
	}
	report.compareMisses()
	return report
}

// policySettings returns the placement policy for s. objective is 0 to keep load stalls short
// and 1 to keep batches full.
func policySettings(s Scenario, objective float64) place.Policy {
	return place.Policy{Objective: objective, LoadsPerSecond: s.LoadsPerSecond, LoadsInFlight: int32(s.LoadsInFlight)}
}

func (w *world) result(name string) Result {
	r := Result{Policy: name, Requests: len(w.calls), EvictedRunning: w.evictedRunning, MostInFlight: w.mostLoadsInFlight}
	histogram := hdrhistogram.New(1, int64(clock.Hour), 3)
	goodTokens := 0
	for i := range w.calls {
		c := &w.calls[i]
		r.met = append(r.met, c.served)
		r.stalls = append(r.stalls, c.stall)
		if c.served {
			r.Served++
			if c.endedAt < w.scenario.Duration+warmUp {
				goodTokens += c.tokens
			}
		} else {
			r.Missed++
			if c.priority < 0 {
				r.LowPriorityMissed++
			}
		}
		if c.stall > 0 {
			r.Stalled++
			r.StallSum += c.stall
		}
		if err := histogram.RecordValue(int64(c.stall)); err != nil {
			panic("trial: stall out of range: " + err.Error())
		}
	}
	r.StallP50 = clock.Millis(histogram.ValueAtQuantile(50))
	r.StallP99 = clock.Millis(histogram.ValueAtQuantile(99))
	r.Goodput = float64(goodTokens) / w.scenario.Duration.Duration().Seconds()
	r.Capacity = w.scenario.capacity()
	w.addEngines(&r)
	return r
}

func (w *world) addEngines(r *Result) {
	var tokens, steps int64
	var busy clock.Millis
	for _, e := range w.engines {
		tokens += e.tokens
		steps += e.steps
		busy += e.busy
		r.Loads += e.loads
	}
	if steps > 0 {
		r.BatchFill = float64(tokens) / float64(steps) / float64(w.scenario.BatchMax)
		r.EngineTimePerToken = float64(busy) / float64(tokens)
	}
}

func (r *Report) compareMisses() {
	for i := range r.Results {
		result := &r.Results[i]
		for c, met := range result.met {
			if !met && (r.find(LeastLoaded).met[c] || r.find(Affinity).met[c]) {
				result.MissedButMet++
			}
		}
	}
}

func (r *Report) find(name string) *Result {
	for i := range r.Results {
		if r.Results[i].Policy == name {
			return &r.Results[i]
		}
	}
	return &Result{}
}

// WriteTable writes r as an aligned text table.
func (r *Report) WriteTable(w io.Writer) error {
	s := r.Scenario
	fmt.Fprintf(w, "%s: %d replicas, %d adapters, %.0f loads/s, %.1f requests/s for %s, seed %d\n",
		s.Name, s.Replicas, s.Adapters, s.LoadsPerSecond, s.Rate, s.Duration, s.Seed)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tserved\tmissed\tmissed_but_met\tlow_missed\tstalled\tstall_sum_s\tstall_p50_ms\tstall_p99_ms\tloads\tbatch_fill\tengine_ms_per_token\tgoodput\tof_capacity\tmost_in_flight")
	for _, x := range r.Results {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%.3f\t%.2f\t%.0f\t%.2f\t%d\n", x.Policy, x.Served, x.Missed, x.MissedButMet, x.LowPriorityMissed,
			x.Stalled, x.StallSum.Duration().Seconds(), x.StallP50, x.StallP99, x.Loads, x.BatchFill, x.EngineTimePerToken, x.Goodput, x.Goodput/x.Capacity, x.MostInFlight)
	}
	return errors.Wrap(table.Flush(), "write table")
}
