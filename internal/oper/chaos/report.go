package chaos

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"mangostile/internal/base/clock"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Policies of the entry VMs: whether they heed what backend servers say of themselves.
const (
	Heeds   = "heeds backend servers"
	Ignores = "ignores them"
)

// PhaseResult holds the figures of the requests that arrived in one phase.
type PhaseResult struct {
	Phase    Phase `json:"phase"`
	Requests int   `json:"requests"`
	Served   int   `json:"served"`
	// InTime counts requests whose first event came within their target.
	InTime   int          `json:"first_event_in_time"`
	FirstP50 clock.Millis `json:"first_event_p50_ms"`
	FirstP90 clock.Millis `json:"first_event_p90_ms"`
}

// ServedShare returns the share of requests that were served.
func (p *PhaseResult) ServedShare() float64 { return float64(p.Served) / float64(max(1, p.Requests)) }

// Result holds the figures of one policy.
type Result struct {
	Policy string        `json:"policy"`
	Phases []PhaseResult `json:"phases"`
	// InBackoff counts requests that reached a backend server in a back-off, AtLeaving those that
	// reached one that said that it leaves, and Mixed streams of two software versions.
	InBackoff int `json:"requests_in_backoff"`
	AtLeaving int `json:"requests_at_leaving"`
	Mixed     int `json:"streams_of_two_versions"`
	// OfLimit is the largest number of requests that a backend server got in some limitWindow, from
	// limitWindow after it named a limit on, as a multiple of what the limit allows in that time.
	OfLimit float64 `json:"share_of_limit"`
	// Seconds holds the served share of the requests that arrived in each second.
	Seconds []float64 `json:"served_share_by_second"`
}

// Report holds the results of a scenario.
type Report struct {
	Scenario Scenario `json:"scenario"`
	Results  []Result `json:"results"`
}

// Run plays a scenario once for each policy, with the same arrivals.
func Run(s Scenario) *Report {
	s = s.withDefaults()
	report := &Report{Scenario: s}
	for _, heeds := range []bool{true, false} {
		w := newWorld(s, heeds)
		start := w.now
		w.play()
		report.Results = append(report.Results, w.result(start))
	}
	return report
}

func (w *world) result(start clock.Millis) Result {
	r := Result{Policy: Ignores, InBackoff: w.inBackoff, AtLeaving: w.atLeaving, Mixed: w.mixed, OfLimit: w.ofLimit()}
	if w.heeds {
		r.Policy = Heeds
	}
	for _, phase := range []Phase{Before, During, After} {
		r.Phases = append(r.Phases, w.phaseResult(phase, start))
	}
	count, served := make([]int, w.scenario.Duration/clock.Second), make([]int, w.scenario.Duration/clock.Second)
	for _, c := range w.calls {
		if second := int((c.began - start) / clock.Second); second < len(count) {
			count[second]++
			if c.served {
				served[second]++
			}
		}
	}
	for i := range count {
		r.Seconds = append(r.Seconds, float64(served[i])/float64(max(1, count[i])))
	}
	return r
}

// limitWindow is the time in ms in which the requests to a backend server with a limit are counted.
const limitWindow = 4 * clock.Second

func (w *world) ofLimit() float64 {
	most := 0.0
	allowed := limitedShare * w.scenario.Rate / float64(w.scenario.Engines) * limitWindow.Duration().Seconds()
	for _, s := range w.servers {
		times := slices.DeleteFunc(slices.Clone(s.arrivals), func(at clock.Millis) bool { return at < s.limitedAt+limitWindow })
		for i, at := range times {
			last, _ := slices.BinarySearch(times, at+limitWindow)
			most = max(most, float64(last-i)/allowed)
		}
	}
	return most
}

func (w *world) phaseResult(phase Phase, start clock.Millis) PhaseResult {
	p := PhaseResult{Phase: phase}
	var first []clock.Millis
	for _, c := range w.calls {
		if w.scenario.phaseOf(c.began-start) != phase {
			continue
		}
		p.Requests++
		if c.served {
			p.Served++
		}
		if c.firstAt > 0 {
			first = append(first, c.firstAt-c.began)
		}
		if c.firstAt > 0 && c.firstAt <= c.began+target {
			p.InTime++
		}
	}
	slices.Sort(first)
	if n := len(first); n > 0 {
		p.FirstP50, p.FirstP90 = first[n/2], first[n*9/10]
	}
	return p
}

// WriteTable writes the results as a table.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s, seed %d: %.0f %% of %d engines, from %d s to %d s\n", r.Scenario.Name, r.Scenario.Seed, 100*r.Scenario.Share, r.Scenario.Engines, r.Scenario.From/clock.Second, r.Scenario.To/clock.Second)
	fmt.Fprintln(table, "policy\tphase\trequests\tserved\tfirst event in time\tp50 ms\tp90 ms")
	for i := range r.Results {
		result := &r.Results[i]
		for j := range result.Phases {
			p := &result.Phases[j]
			fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%d\t%d\n", result.Policy, p.Phase, p.Requests, p.ServedShare(), float64(p.InTime)/float64(max(1, p.Requests)), p.FirstP50, p.FirstP90)
		}
		fmt.Fprintf(table, "%s\tin all\trequests in a back-off %d, at leaving engines %d, streams of two versions %d, of the limit in 4 s %.1f\n", result.Policy, result.InBackoff, result.AtLeaving, result.Mixed, result.OfLimit)
	}
	return errors.Wrap(table.Flush(), "write the table")
}

// SavePlot writes a PNG image of the served share over time to the file at path.
func (r *Report) SavePlot(path string) error {
	p := plot.New()
	p.Title.Text = "Served share, " + r.Scenario.Name
	p.X.Label.Text = "arrival, seconds"
	p.Y.Label.Text = "share of requests served"
	p.Y.Min, p.Y.Max = 0, 1
	for i := range r.Results {
		points := make(plotter.XYs, len(r.Results[i].Seconds))
		for second, share := range r.Results[i].Seconds {
			points[second] = plotter.XY{X: float64(second), Y: share}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrapf(err, "plot %s", r.Results[i].Policy)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Results[i].Policy, line)
	}
	return errors.Wrapf(p.Save(16*vg.Centimeter, 11*vg.Centimeter, path), "write plot %s: choose a file in a directory that can be written", path)
}
