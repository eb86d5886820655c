package load

import (
	"fmt"
	"time"

	"mangostile/internal/base/errs"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Bounds in microseconds and significant decimal digits of the histograms.
const (
	minMicros       = 1
	maxMicros       = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// maxExamples limits the wrong and lost answers that a report describes.
const maxExamples = 20

// stallThreshold is the time to first token from which a request counts as stalled. No
// load of an adapter takes less, and a request whose adapter is loaded takes less as long
// as batches have free places.
const stallThreshold = 200 * time.Millisecond

// results accumulates the outcomes of calls.
type results struct {
	kinds      map[Kind]*kindResults
	refusals   map[string]int
	examples   []string
	sendDelays *hdrhistogram.Histogram
	stalls     *hdrhistogram.Histogram
	chats      int
	cuts       []string
	lost       int
	wrong      int
	// refusedNotRun holds the ids of requests to engines that were refused with RanNo.
	refusedNotRun []string
	// warmUp counts answers and refusals of the warm-up.
	warmUp int
	// unsent counts calls that were not sent because MaxOpen calls were open.
	unsent     int
	actions    map[string]*actionResult
	plotPoints []plotPoint
}

// plotPoint is one chat's scheduled time and time to first token.
type plotPoint struct {
	at    time.Duration
	first time.Duration
}

type kindResults struct {
	sent, whole, refused int
	first                *hdrhistogram.Histogram
	gaps                 *hdrhistogram.Histogram
	total                *hdrhistogram.Histogram
}

// actionResult is the combined outcome of all calls with one key.
type actionResult struct {
	// answered reports that a call got the action's answer.
	answered bool
	// mayHaveRun reports that the outcome of a call leaves open whether the action ran.
	mayHaveRun bool
	calls      int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minMicros, maxMicros, histogramDigits)
}

func newResults() *results {
	r := &results{
		kinds: map[Kind]*kindResults{}, refusals: map[string]int{}, sendDelays: newHistogram(), stalls: newHistogram(),
		actions: map[string]*actionResult{},
	}
	for _, kind := range Kinds {
		r.kinds[kind] = &kindResults{first: newHistogram(), gaps: newHistogram(), total: newHistogram()}
	}
	return r
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// add adds the outcome of a call of the run that began at start. The counts by kind of calls
// in the warm-up are discarded.
func (r *results) add(a *outcome, start time.Time, afterWarmUp bool) {
	kind := r.kinds[a.call.Kind]
	if !afterWarmUp {
		kind = &kindResults{}
	}
	kind.sent++
	r.cuts = append(r.cuts, a.cuts...)
	record(r.sendDelays, a.sentAt.Sub(a.due))
	if a.call.Kind == KindAction {
		r.addAction(a)
	}
	var refused *RefusedError
	var wrong *WrongAnswerError
	if errors.As(a.err, &refused) && refused.Ran == errs.RanNo && a.call.Adapter.Adapter != "" {
		r.refusedNotRun = append(r.refusedNotRun, a.requestIDs[len(a.requestIDs)-1])
	}
	switch {
	case a.err == nil && !afterWarmUp:
		r.warmUp++
	case a.err == nil:
		r.addWhole(kind, a, start)
	case errors.As(a.err, &refused) && !afterWarmUp:
		r.warmUp++
	case errors.As(a.err, &refused):
		kind.refused++
		r.refusals[fmt.Sprintf("%s ran=%s", refused.Code, refused.Ran)]++
	case errors.As(a.err, &wrong):
		r.wrong++
		r.addExample("wrong", a)
	default:
		r.lost++
		r.addExample("lost", a)
	}
}

func (r *results) addExample(what string, a *outcome) {
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf("%s: %s %d %s requests %v: %v", what, a.call.Kind, a.call.Number, a.call.Adapter, a.requestIDs, a.err))
	}
}

// addWhole records a whole answer, a correct and complete one, and a chat's also for the plot
// and the stalls. Times to the first token and the end count from the scheduled time, so that
// they include the delay of a late send.
func (r *results) addWhole(kind *kindResults, a *outcome, start time.Time) {
	kind.whole++
	first := a.firstAt.Sub(a.due)
	record(kind.first, first)
	record(kind.total, a.endAt.Sub(a.due))
	for _, gap := range a.gaps {
		record(kind.gaps, gap)
	}
	if a.call.Kind != KindChat {
		return
	}
	r.chats++
	r.plotPoints = append(r.plotPoints, plotPoint{a.due.Sub(start), first})
	if first >= stallThreshold {
		record(r.stalls, first)
	}
}

func (r *results) addAction(a *outcome) {
	action := r.actions[a.call.Key]
	if action == nil {
		action = &actionResult{}
		r.actions[a.call.Key] = action
	}
	action.calls++
	action.answered = action.answered || a.err == nil
	var refused *RefusedError
	if a.mayHaveRun || a.err != nil && (!errors.As(a.err, &refused) || refused.Ran != errs.RanNo) {
		action.mayHaveRun = true
	}
}

// refusedButRan counts the requests that were refused as not run although an engine
// started them.
func (r *results) refusedButRan(started map[string]bool) int {
	n := 0
	for _, id := range r.refusedNotRun {
		if started[id] {
			n++
		}
	}
	return n
}

// checkActions compares the outcomes of actions with the services' executions by key.
func (r *results) checkActions(runs map[string]int) ActionReport {
	report := ActionReport{Keys: len(r.actions)}
	for key, action := range r.actions {
		ran := runs[key]
		if ran > 0 {
			report.Ran++
		}
		if ran > 1 {
			report.SecondRuns += ran - 1
		}
		switch {
		case action.answered:
			report.Answered++
			if ran == 0 {
				report.AnsweredNotRun++
			}
		case action.mayHaveRun:
			report.Unknown++
		default:
			report.RefusedNotRun++
			if ran > 0 {
				report.RefusedNotRunButRan++
			}
		}
	}
	return report
}
