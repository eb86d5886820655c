package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"mangostile/internal/fake/engine"
)

// run is the execution of a plan in progress.
type run struct {
	plan   *Plan
	caller *caller
	w      io.Writer

	mu      sync.Mutex
	results *results
	open    int
}

// maxProbeConns limits the connections to one address of the clients that query readiness
// and counters.
const maxProbeConns = 16

// progressPeriod is the time between two lines of progress.
const progressPeriod = 5 * time.Second

// Run executes a plan and writes its progress to w. If ctx is done, it stops sending
// early and waits for the calls that were sent.
func Run(ctx context.Context, plan Plan, w io.Writer) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	r := &run{plan: &plan, w: w, results: newResults()}
	r.caller = &caller{plan: &plan, client: newStreamClient(plan.MaxOpen), balancer: newBalancer(plan.Entries, newClient(maxProbeConns))}
	fakes := &standins{client: newClient(maxProbeConns), engines: plan.Engines, services: plan.Services}
	before, err := fakes.engineCounters()
	if err != nil {
		return nil, err
	}
	workerCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { r.caller.balancer.watch(workerCtx) })
	wg.Go(func() { r.progress(workerCtx) })
	r.send(ctx)
	cancel()
	wg.Wait()
	return r.report(fakes, before)
}

// send sends all calls at their scheduled times and waits for their answers.
func (r *run) send(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	calls := r.plan.Schedule()
	start := time.Now()
	for i := range calls {
		due := start.Add(calls[i].At)
		if !sleepUntil(ctx, due) {
			return
		}
		if !r.admit() {
			continue
		}
		wg.Go(func() { r.finish(r.caller.do(&calls[i], due), start) })
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) admit() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open >= r.plan.MaxOpen {
		r.results.unsent++
		return false
	}
	r.open++
	return true
}

func (r *run) finish(a outcome, start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	r.results.add(&a, start, a.call.At >= r.plan.WarmUp)
}

func (r *run) progress(ctx context.Context) {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	start := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		r.mu.Lock()
		sent, whole, refused := r.results.warmUp, 0, 0
		for _, kind := range r.results.kinds {
			sent += kind.sent
			whole += kind.whole
			refused += kind.refused
		}
		chat := r.results.kinds[KindChat].first
		fmt.Fprintf(r.w, "%3.0f s: %d ended; after the warm-up %d whole, %d refused; %d lost, %d wrong, %d open, chat first token p95 %.0f ms\n",
			time.Since(start).Seconds(), sent, whole, refused, r.results.lost, r.results.wrong, r.open, float64(chat.ValueAtPercentile(95))/1000)
		r.mu.Unlock()
	}
}

func (r *run) report(fakes *standins, before engine.Counters) (*Report, error) {
	after, err := fakes.engineCounters()
	if err != nil {
		return nil, err
	}
	runs, err := fakes.runs()
	if err != nil {
		return nil, err
	}
	started, err := fakes.started()
	if err != nil {
		return nil, err
	}
	res := r.results
	report := &Report{
		Date: time.Now().UTC().Format(time.RFC3339), Seed: r.plan.Seed, Entries: len(r.plan.Entries), Adapters: len(r.plan.Adapters),
		Rate: r.plan.Rate, DurationMS: r.plan.Duration.Milliseconds(), WarmUpMS: r.plan.WarmUp.Milliseconds(), Refusals: res.refusals, Lost: res.lost, Wrong: res.wrong,
		Cut: len(res.cuts), CutRequests: res.cuts[:min(len(res.cuts), maxCutRequests)], RefusedButRan: res.refusedButRan(started), Examples: res.examples, Unsent: res.unsent, SendDelay: quantiles(res.sendDelays), plotPoints: res.plotPoints,
		Standins: Counters{Counters: subtract(after, before)},
		Stalls:   StallReport{Requests: int(res.stalls.TotalCount()), Times: quantiles(res.stalls)},
	}
	if res.chats > 0 {
		report.Stalls.Share = float64(res.stalls.TotalCount()) / float64(res.chats)
	}
	if report.Standins.Steps > 0 {
		batchMax, err := fakes.meanBatchMax()
		if err != nil {
			return nil, err
		}
		report.BatchEfficiency = float64(report.Standins.Tokens) / float64(report.Standins.Steps) / batchMax
	}
	if len(fakes.services) > 0 {
		report.Actions = res.checkActions(runs)
		report.Standins.SecondRuns = report.Actions.SecondRuns
	}
	for _, kind := range Kinds {
		if k := res.kinds[kind]; k.sent > 0 {
			report.Kinds = append(report.Kinds, KindReport{
				Kind: kind, Sent: k.sent, Whole: k.whole, Refused: k.refused,
				FirstToken: quantiles(k.first), TokenGaps: quantiles(k.gaps), Total: quantiles(k.total),
			})
		}
	}
	report.addWarnings()
	return report, nil
}

func subtract(after, before engine.Counters) engine.Counters {
	return engine.Counters{
		WrongAdapter:   after.WrongAdapter - before.WrongAdapter,
		EvictedRunning: after.EvictedRunning - before.EvictedRunning,
		OldOrdersTaken: after.OldOrdersTaken - before.OldOrdersTaken,
		Requests:       after.Requests - before.Requests,
		Tokens:         after.Tokens - before.Tokens,
		Steps:          after.Steps - before.Steps,
		Loads:          after.Loads - before.Loads,
		Unloads:        after.Unloads - before.Unloads,
		Crashes:        after.Crashes - before.Crashes,
		Canceled:       after.Canceled - before.Canceled,
		Resumed:        after.Resumed - before.Resumed,
		CachedTokens:   after.CachedTokens - before.CachedTokens,
	}
}
