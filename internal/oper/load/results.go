package load

import (
	"fmt"
	"time"

	"mangostile/internal/base/errs"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Bounds of the histograms, in microseconds.
const (
	leastMicros   = 1
	mostMicros    = int64(10 * time.Minute / time.Microsecond)
	histogramSigs = 3
)

// maxExamples bounds the wrong and lost answers that are described.
const maxExamples = 20

// stallFrom is the time to the first token from which a request counts as
// stalled. No load of an adapter takes less, and a request whose adapter is there
// waits less as long as batches have room.
const stallFrom = 200 * time.Millisecond

// results sums up answers.
type results struct {
	kinds    map[Kind]*kindResults
	refusals map[string]int
	examples []string
	late     *hdrhistogram.Histogram
	stalls   *hdrhistogram.Histogram
	chats    int
	cuts     []string
	lost     int
	wrong    int
	// toldNotRun holds the ids of requests to engines that were refused as not
	// run.
	toldNotRun []string
	// warmUp counts answers and refusals of the warm-up.
	warmUp int
	// unsent counts calls that the tool had no room for.
	unsent  int
	actions map[string]*actionResult
	spans   []span
}

// span is one request's first token for the plot.
type span struct {
	at    time.Duration
	first time.Duration
}

type kindResults struct {
	sent, whole, refused int
	first                *hdrhistogram.Histogram
	gaps                 *hdrhistogram.Histogram
	total                *hdrhistogram.Histogram
}

// actionResult is what the callers were told of one key.
type actionResult struct {
	// answered is set if a caller got the outcome.
	answered bool
	// open is set if a caller was told that it may have run.
	open  bool
	calls int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastMicros, mostMicros, histogramSigs)
}

func newResults() *results {
	r := &results{
		kinds: map[Kind]*kindResults{}, refusals: map[string]int{}, late: newHistogram(), stalls: newHistogram(),
		actions: map[string]*actionResult{},
	}
	for _, kind := range Kinds {
		r.kinds[kind] = &kindResults{first: newHistogram(), gaps: newHistogram(), total: newHistogram()}
	}
	return r
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), leastMicros), mostMicros))
}

// add adds an answer. Warm tells that the call came after the warm-up.
func (r *results) add(a *answer, start time.Time, warm bool) {
	kind := r.kinds[a.call.Kind]
	if !warm {
		kind = &kindResults{}
	}
	kind.sent++
	r.cuts = append(r.cuts, a.cuts...)
	record(r.late, a.sentAt.Sub(a.due))
	if a.call.Kind == KindAction {
		r.addAction(a)
	}
	var refused *RefusedError
	var wrong *WrongAnswerError
	if errors.As(a.err, &refused) && refused.Ran == errs.RanNo && a.call.Adapter.Adapter != "" {
		r.toldNotRun = append(r.toldNotRun, a.requestIDs[len(a.requestIDs)-1])
	}
	switch {
	case a.err == nil && !warm:
		r.warmUp++
	case a.err == nil:
		r.addWhole(kind, a, start)
	case errors.As(a.err, &refused) && !warm:
		r.warmUp++
	case errors.As(a.err, &refused):
		kind.refused++
		r.refusals[fmt.Sprintf("%s ran=%s", refused.Code, refused.Ran)]++
	case errors.As(a.err, &wrong):
		r.wrong++
		r.example("wrong", a)
	default:
		r.lost++
		r.example("lost", a)
	}
}

func (r *results) example(what string, a *answer) {
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, fmt.Sprintf("%s: %s %d %s requests %v: %v", what, a.call.Kind, a.call.Number, a.call.Adapter, a.requestIDs, a.err))
	}
}

func (r *results) addWhole(kind *kindResults, a *answer, start time.Time) {
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
	r.spans = append(r.spans, span{a.due.Sub(start), first})
	if first >= stallFrom {
		record(r.stalls, first)
	}
}

func (r *results) addAction(a *answer) {
	action := r.actions[a.call.Key]
	if action == nil {
		action = &actionResult{}
		r.actions[a.call.Key] = action
	}
	action.calls++
	action.answered = action.answered || a.err == nil
	var refused *RefusedError
	if a.mayHaveRun || a.err != nil && (!errors.As(a.err, &refused) || refused.Ran != errs.RanNo) {
		action.open = true
	}
}

// refusedButRan counts the requests that were refused as not run although an engine
// began them.
func (r *results) refusedButRan(begun map[string]bool) int {
	n := 0
	for _, id := range r.toldNotRun {
		if begun[id] {
			n++
		}
	}
	return n
}

// checkActions compares what the callers were told with what the services ran.
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
		case action.open:
			report.Unknown++
		default:
			report.ToldNotRun++
			if ran > 0 {
				report.ToldNotRunButRan++
			}
		}
	}
	return report
}
