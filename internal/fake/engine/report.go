package engine

import (
	"cmp"
	"slices"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// loadSample is the load at one instant, in requests.
type loadSample struct {
	at      time.Time
	running int32
	waiting int32
}

// recordLoad adds the current load to loadHistory if reports lag. The caller holds mu.
func (e *Engine) recordLoad() {
	if e.ReportLag == 0 {
		return
	}
	now := time.Now()
	e.loadHistory = append(e.loadHistory, loadSample{at: now, running: int32(len(e.batch)), waiting: int32(len(e.queue))})
	visibleUntil := now.Add(-e.ReportLag.Duration())
	for len(e.loadHistory) > 1 && !e.loadHistory[1].at.After(visibleUntil) {
		e.loadHistory = e.loadHistory[1:]
	}
}

// reportedLoad returns the load as it was ReportLag ago. The caller holds mu.
func (e *Engine) reportedLoad() loadSample {
	if e.ReportLag == 0 {
		return loadSample{running: int32(len(e.batch)), waiting: int32(len(e.queue))}
	}
	visibleUntil := time.Now().Add(-e.ReportLag.Duration())
	var visible loadSample
	for _, sample := range e.loadHistory {
		if sample.at.After(visibleUntil) {
			break
		}
		visible = sample
	}
	return visible
}

// Report returns the engine's state. Only the totals Running and Waiting lag, not the
// requests or their numbers by adapter.
func (e *Engine) Report() event.ServerReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	load := e.reportedLoad()
	report := event.ServerReport{
		Start: e.incarnation, Ready: !time.Now().Before(e.readyAt), Leaving: e.faults.Leaving, Fence: e.fence,
		Slots: int32(e.slots()), BatchMax: int32(e.batchMax()), Running: load.running, Waiting: load.waiting,
	}
	counts := map[units.AdapterVersion]int32{}
	for r := range e.batch {
		counts[r.work.Adapter]++
		report.Requests = append(report.Requests, r.work.ID)
	}
	for _, w := range e.queue {
		counts[w.run.work.Adapter]++
		report.Requests = append(report.Requests, w.run.work.ID)
	}
	for av := range e.resident {
		report.Resident = append(report.Resident, event.ResidentAdapter{AdapterVersion: av, Running: counts[av]})
	}
	for av := range e.loading {
		report.Loading = append(report.Loading, av)
	}
	slices.SortFunc(report.Resident, func(a, b event.ResidentAdapter) int { return cmp.Compare(a.String(), b.String()) })
	slices.Sort(report.Requests)
	return report
}
