package load

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Report holds the results of a run.
type Report struct {
	Date       string  `json:"date"`
	Seed       uint64  `json:"seed"`
	Entries    int     `json:"entry_vms"`
	Adapters   int     `json:"adapters"`
	Rate       float64 `json:"requests_per_s"`
	DurationMS int64   `json:"duration_ms"`
	// WarmUpMS is the length of the warm-up, which the figures of kinds, refusals and
	// stalls leave out.
	WarmUpMS int64 `json:"warm_up_ms"`
	// Kinds holds the kinds that were sent.
	Kinds []KindReport `json:"kinds"`
	// Refusals counts refusals by code and by whether the request ran.
	Refusals map[string]int `json:"refusals"`
	// Lost counts calls that ended without a complete answer or a refusal, Wrong those
	// whose answer doesn't match their request.
	Lost  int `json:"lost"`
	Wrong int `json:"wrong"`
	// Cut counts attempts that broke off, whether a retry was answered or not. CutRequests
	// lists the request ids of the first maxCutRequests of them.
	Cut         int      `json:"cut"`
	CutRequests []string `json:"cut_requests,omitempty"`
	// RefusedButRan counts requests that were refused as not run although an engine
	// started them. It must be 0.
	RefusedButRan int          `json:"refused_but_ran"`
	Examples      []string     `json:"examples,omitempty"`
	Stalls        StallReport  `json:"load_stalls"`
	Actions       ActionReport `json:"actions"`
	// BatchEfficiency is the mean fill of the batches over all engine steps, 0 to 1.
	BatchEfficiency float64  `json:"batch_efficiency"`
	Standins        Counters `json:"standins"`
	// Unsent counts calls that were not sent because MaxOpen calls were open. SendDelay
	// is how long after its scheduled time a call was sent, including the warm-up.
	Unsent    int       `json:"unsent"`
	SendDelay Quantiles `json:"sent_late"`
	Warnings  []string  `json:"warnings,omitempty"`
	// plotPoints holds the points that WritePlot draws.
	plotPoints []plotPoint
}

// KindReport summarizes the calls of one kind. FirstToken and Total count from the scheduled
// time of a call, TokenGaps from the previous token.
type KindReport struct {
	Kind Kind `json:"kind"`
	// Sent counts the calls that ended, Whole those with a correct and complete answer.
	Sent    int `json:"sent"`
	Whole   int `json:"whole"`
	Refused int `json:"refused"`
	// FirstToken is the time to the first token, or to the complete answer if it isn't
	// streamed.
	FirstToken Quantiles `json:"first_token"`
	TokenGaps  Quantiles `json:"gaps"`
	Total      Quantiles `json:"total"`
}

// Quantiles holds quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// StallReport summarizes chats whose first token took stallThreshold or longer, as with a
// load. Waits for a place in a batch are included.
type StallReport struct {
	Requests int `json:"requests"`
	// Share is the share of stalled chats among all answered chats, 0 to 1.
	Share float64   `json:"share"`
	Times Quantiles `json:"times"`
}

// ActionReport compares the answers to actions with their executions.
type ActionReport struct {
	Keys     int `json:"keys"`
	Answered int `json:"answered"`
	// Unknown counts keys without an answer whose action may have run.
	Unknown int `json:"unknown"`
	// RefusedNotRun counts keys of which every call was refused with ran=no, Ran those
	// that a service executed.
	RefusedNotRun int `json:"told_not_run"`
	Ran           int `json:"ran"`
	// SecondRuns, AnsweredNotRun and RefusedNotRunButRan must be 0.
	SecondRuns          int `json:"second_runs"`
	AnsweredNotRun      int `json:"answered_not_run"`
	RefusedNotRunButRan int `json:"told_not_run_but_ran"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// Faults describes the violated invariants of the run with their counts.
func (r *Report) Faults() []string {
	var faults []string
	for _, f := range []struct {
		count int
		what  string
	}{
		{r.Lost, "answers lost"},
		{r.Wrong, "answers wrong"},
		{r.RefusedButRan, "requests run but refused as not run"},
		{r.Actions.SecondRuns, "second runs of an action"},
		{r.Actions.AnsweredNotRun, "actions answered but not run"},
		{r.Actions.RefusedNotRunButRan, "actions run but refused as not run"},
		{r.Standins.WrongAdapter, "requests run on a wrong adapter"},
		{r.Standins.EvictedRunning, "evictions under a running request"},
		{r.Standins.OldOrdersTaken, "orders with an old fencing number taken"},
	} {
		if f.count > 0 {
			faults = append(faults, fmt.Sprintf("%d %s", f.count, f.what))
		}
	}
	return faults
}

// WriteJSON writes r to the file at path.
func (r *Report) WriteJSON(path string) error {
	body, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(path, append(body, '\n'), 0o644), "write report: name a path that can be written")
}

// WriteTable writes a summary of r as text.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "kind\tsent\twhole\trefused\tfirst p50\tp95\tp99 ms\tgap p50\tp95\tp99 ms\ttotal p99 ms")
	for _, k := range r.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", k.Kind, k.Sent, k.Whole, k.Refused,
			k.FirstToken.P50, k.FirstToken.P95, k.FirstToken.P99, k.TokenGaps.P50, k.TokenGaps.P95, k.TokenGaps.P99, k.Total.P99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "load stalls: %d of chats (%.1f%%), p50 %.0f p95 %.0f p99 %.0f max %.0f ms; loads %d, evictions %d\n", r.Stalls.Requests,
		100*r.Stalls.Share, r.Stalls.Times.P50, r.Stalls.Times.P95, r.Stalls.Times.P99, r.Stalls.Times.Max, r.Standins.Loads, r.Standins.Unloads)
	fmt.Fprintf(w, "batch efficiency: %.3f\n", r.BatchEfficiency)
	fmt.Fprintf(w, "actions: %d keys, %d answered, %d ran, %d unknown, %d told not run\n", r.Actions.Keys, r.Actions.Answered, r.Actions.Ran,
		r.Actions.Unknown, r.Actions.RefusedNotRun)
	fmt.Fprintf(w, "lost %d, wrong %d, cut and asked again %d\n", r.Lost, r.Wrong, r.Cut)
	for _, code := range sortedKeys(r.Refusals) {
		fmt.Fprintf(w, "refused: %d %s\n", r.Refusals[code], code)
	}
	for _, list := range [][]string{r.Examples, r.Warnings} {
		for _, line := range list {
			fmt.Fprintln(w, line)
		}
	}
	for _, fault := range r.Faults() {
		fmt.Fprintln(w, "FAULT "+fault)
	}
	return nil
}

func sortedKeys(counts map[string]int) []string {
	keys := make([]string, 0, len(counts))
	for key := range counts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// maxCutRequests limits the request ids in Report.CutRequests.
const maxCutRequests = 100

// latenessThreshold is the 99th percentile of the sending delay from which the tool
// counts as the bottleneck.
const latenessThreshold = 20 * time.Millisecond

func (r *Report) addWarnings() {
	if r.Unsent > 0 {
		r.Warnings = append(r.Warnings, fmt.Sprintf("warning: %d calls were not sent since too many were open: figures are those of the tool, use a lower rate or more processes", r.Unsent))
	}
	if r.SendDelay.P99 >= float64(latenessThreshold.Milliseconds()) {
		r.Warnings = append(r.Warnings, fmt.Sprintf("warning: one call in a hundred was sent %.0f ms late or more: the tool or its machine is the bottleneck", r.SendDelay.P99))
	}
}
