//go:build wholerun

package whole

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mangostile/internal/oper/load"

	"github.com/shoenig/test/must"
)

var (
	atOnce    = flag.Int("at-once", 3, "`number` of whole runs at the same time")
	recordDir = flag.String("record", "", "`directory` to write whole-runs.json and whole-runs.md to")
	firstPort = flag.Int("port", 22000, "first `port` to use, so that two of these commands may run at once")
	seed      = flag.Uint64("seed", 20261204, "seed of the schedules")
)

// trial is one run of a deployment under load.
type trial struct {
	name    string
	example string
	// description says in the record what was done.
	description string
	adjustPlan  func(plan *load.Plan)
	// during injects failures while the load runs and returns notes for the record.
	during func(ctx context.Context, d *deployment) []string
	// after runs checks after the load and returns notes for the record.
	after func(d *deployment) []string
	// noCuts requires that no entry VM breaks off a request in flight.
	noCuts bool
}

// runRecord is the record of one run.
type runRecord struct {
	Name        string `json:"name"`
	Example     string `json:"example"`
	Description string `json:"what"`
	// Report is the report of the load tool.
	Report *load.Report `json:"report"`
	// Notes are the run's own observations, Faults the violations found.
	Notes  []string `json:"notes,omitempty"`
	Faults []string `json:"faults,omitempty"`
	// CPUShare is the highest mean share of a core that an entry VM used, MemoryMB the
	// highest resident memory, PeerBytesPerSecond the highest number of bytes per second
	// that one sent and received on the links it opened to peers.
	CPUShare             float64 `json:"cpu_share"`
	MemoryMB             float64 `json:"memory_mb"`
	PeerBytesPerSecond   float64 `json:"peer_bytes_per_s"`
	RegionBytesPerSecond float64 `json:"region_bytes_per_s"`
	LogBytesPerSecond    float64 `json:"log_bytes_per_s"`
	// MachineLoad is the machine's load average over one minute at the end of the run,
	// including the load of the run itself.
	MachineLoad float64 `json:"machine_load,omitempty"`
}

// machineLoad returns the load average over one minute, or 0 if it is not available.
func machineLoad() (load float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err == nil {
		_, _ = fmt.Sscanf(string(text), "%f", &load)
	}
	return load
}

// tokens holds the caller token of each example.
var tokens = map[string]string{"guild": "village-app-token", "kanoride": "store-app-token"}

// TestWholeRun runs each trial and fails for each violation that the load tool or the
// trial's own checks report.
func TestWholeRun(t *testing.T) {
	slots := make(chan struct{}, *atOnce)
	for _, run := range trials {
		t.Run(run.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			result := runTrial(t, run)
			if *recordDir != "" {
				must.NoError(t, writeRecord(*recordDir, result))
			}
			for _, fault := range result.Faults {
				t.Error(fault)
			}
		})
	}
}

func runTrial(t *testing.T, run trial) *runRecord {
	d := startDeployment(t, run.example, tokens[run.example])
	plan := d.loadPlan(*seed)
	if run.adjustPlan != nil {
		run.adjustPlan(&plan)
	}
	sleep(t.Context(), settleTime)
	before, regionBefore := d.network.traffic()
	logBefore := d.network.logBytes()
	cpuBefore := d.cpuTimes()
	start := time.Now()
	notes := make(chan []string, 1)
	ctx, cancel := context.WithTimeout(t.Context(), plan.Duration+plan.Deadline+time.Minute)
	defer cancel()
	go func() {
		// A failed check exits the goroutine before it sends notes; closing the channel
		// unblocks the receiver.
		defer close(notes)
		if run.during != nil {
			notes <- run.during(ctx, d)
		}
	}()
	report, err := load.Run(ctx, plan, testWriter{t})
	must.NoError(t, err)
	result := &runRecord{Name: run.name, Example: run.example, Description: run.description, Report: report, Notes: <-notes, MachineLoad: machineLoad()}
	took := time.Since(start).Seconds()
	after, regionAfter := d.network.traffic()
	for _, id := range d.entryIDs() {
		d.recordUsage(id)
		u := d.usage[id]
		result.CPUShare = max(result.CPUShare, (u.CPU-cpuBefore[id]).Seconds()/took)
		result.MemoryMB = max(result.MemoryMB, float64(u.MaxMemory)/(1<<20))
		result.PeerBytesPerSecond = max(result.PeerBytesPerSecond, float64(after[id]-before[id])/took)
	}
	result.RegionBytesPerSecond = float64(regionAfter-regionBefore) / took
	result.LogBytesPerSecond = float64(d.network.logBytes()-logBefore) / took
	if run.after != nil {
		result.Notes = append(result.Notes, run.after(d)...)
	}
	if run.noCuts {
		result.Notes = append(result.Notes, d.findCutRequests(report.CutRequests)...)
	}
	for _, note := range result.Notes {
		if strings.HasPrefix(note, "FAULT ") {
			result.Faults = append(result.Faults, note)
		}
	}
	result.Faults = append(result.Faults, report.Faults()...)
	if report.Unsent > 0 {
		result.Faults = append(result.Faults, "the tool was the bottleneck")
	}
	var table strings.Builder
	must.NoError(t, report.WriteTable(&table))
	t.Logf("%s\nnotes %q\ncpu share %.3f, memory %.0f MB, peer links %.0f B/s, between regions %.0f B/s, log %.0f B/s", table.String(), result.Notes,
		result.CPUShare, result.MemoryMB, result.PeerBytesPerSecond, result.RegionBytesPerSecond, result.LogBytesPerSecond)
	return result
}

// settleTime is the time before the load in which owners claim their engines.
const settleTime = 3 * time.Second

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimRight(string(p), "\n"))
	return len(p), nil
}

var _ io.Writer = testWriter{}

var recordMu sync.Mutex

// writeRecord replaces the run's entry in the record.
func writeRecord(dir string, result *runRecord) error {
	recordMu.Lock()
	defer recordMu.Unlock()
	path := filepath.Join(dir, "whole-runs.json")
	var all []*runRecord
	if body, err := os.ReadFile(path); err == nil {
		if err := json.Unmarshal(body, &all); err != nil {
			return err
		}
	}
	all = slices.DeleteFunc(all, func(o *runRecord) bool { return o.Name == result.Name })
	all = append(all, result)
	slices.SortFunc(all, func(a, b *runRecord) int { return trialIndex(a.Name) - trialIndex(b.Name) })
	body, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append(body, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "whole-runs.md"), []byte(recordPage(all)), 0o644)
}

func trialIndex(name string) int {
	if i := slices.IndexFunc(trials, func(t trial) bool { return t.name == name }); i >= 0 {
		return i
	}
	return len(trials)
}

const recordHead = `# Whole runs

Written by the command below; each run starts one process for the stand-ins and
one for each of the 7 entry VMs, with the settings of examples/, on loopback and
with the delays between failure domains and regions of the brief. Three runs go on
at the same time unless -at-once says otherwise; all together take about 7 minutes.

    go test -tags wholerun -count 1 -timeout 30m ./internal/oper/whole -args -record ../../../docs/measurements

Times are in milliseconds and count from the instant at which a request had to be
sent. A load stall is a chat whose first token took 200 ms or more. CPU is the
entry VM with the most, as a share of a core with all serving; memory is resident;
peer links are the bytes a second of the busiest entry VM; the machine's load is the
average over a minute at the end of the run, that of other work included.

`

func recordPage(all []*runRecord) string {
	var page strings.Builder
	page.WriteString(recordHead)
	page.WriteString("| run | date | sent | first p50 | p95 | p99 | gap p50 | p95 | p99 | stalls | stall p95 | batch | refused | lost | wrong | cut | CPU | MB | peer B/s | region B/s | machine load |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, o := range all {
		page.WriteString(recordLine(o))
	}
	for _, o := range all {
		page.WriteString(recordDetails(o))
	}
	return page.String()
}

func recordLine(o *runRecord) string {
	r := o.Report
	sent, refused := 0, 0
	var chat load.KindReport
	for _, k := range r.Kinds {
		sent += k.Sent
		refused += k.Refused
		if k.Kind == load.KindChat {
			chat = k
		}
	}
	return fmt.Sprintf("| %s | %s | %d | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f%% | %.0f | %.3f | %d | %d | %d | %d | %.3f | %.0f | %.0f | %.0f | %s |\n",
		o.Name, r.Date, sent, chat.FirstToken.P50, chat.FirstToken.P95, chat.FirstToken.P99, chat.TokenGaps.P50, chat.TokenGaps.P95, chat.TokenGaps.P99, 100*r.Stalls.Share,
		r.Stalls.Times.P95, r.BatchEfficiency, refused, r.Lost, r.Wrong, r.Cut, o.CPUShare, o.MemoryMB, o.PeerBytesPerSecond, o.RegionBytesPerSecond, formatLoad(o.MachineLoad))
}

func formatLoad(load float64) string {
	if load == 0 {
		return "not noted"
	}
	return fmt.Sprintf("%.0f", load)
}

func recordDetails(o *runRecord) string {
	var text strings.Builder
	r := o.Report
	fmt.Fprintf(&text, "\n## %s\n\n%s Seed %d, %.0f requests/s for %d s after a warm-up of %d s, %d adapters.\n\n",
		o.Name, o.Description, r.Seed, r.Rate, (r.DurationMS-r.WarmUpMS)/1000, r.WarmUpMS/1000, r.Adapters)
	fmt.Fprintf(&text, "- Actions: %d keys; %d answered, %d ran, %d unknown, %d told not run; %d second runs, %d answered but not run, %d told not run but run.\n",
		r.Actions.Keys, r.Actions.Answered, r.Actions.Ran, r.Actions.Unknown, r.Actions.RefusedNotRun, r.Actions.SecondRuns, r.Actions.AnsweredNotRun, r.Actions.RefusedNotRunButRan)
	fmt.Fprintf(&text, "- Engines: %d loads, %d evictions, %d requests on a wrong adapter, %d evictions under a request, %d old orders taken, %d crashes.\n",
		r.Standins.Loads, r.Standins.Unloads, r.Standins.WrongAdapter, r.Standins.EvictedRunning, r.Standins.OldOrdersTaken, r.Standins.Crashes)
	codes := make([]string, 0, len(r.Refusals))
	for code, n := range r.Refusals {
		codes = append(codes, fmt.Sprintf("%d %s", n, code))
	}
	slices.Sort(codes)
	if len(codes) > 0 {
		fmt.Fprintf(&text, "- Refusals: %s.\n", strings.Join(codes, ", "))
	}
	for _, list := range [][]string{o.Notes, r.Warnings, o.Faults, r.Examples} {
		for _, line := range list {
			fmt.Fprintf(&text, "- %s\n", line)
		}
	}
	return text.String()
}
