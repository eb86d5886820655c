// Package engine is a stand-in for a model engine that serves LoRA adapters.
package engine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// Loader brings an adapter's weights from the weight store.
type Loader interface {
	Load(ctx context.Context, av units.AdapterVersion) error
}

// Options say how an engine behaves in time. The zero value of each works.
type Options struct {
	// StepTime is the time between two tokens of a request that runs alone; 0 is
	// 10 ms. StepPerRequest is added for each other request in the batch; 0 is
	// 0.5 ms.
	StepTime       time.Duration
	StepPerRequest time.Duration
	// PrefillTime is the time of a token of the prompt that is not in the prefix
	// cache.
	PrefillTime time.Duration
	// ColdStart is the time that the engine is not ready after it started.
	ColdStart clock.Millis
	// ReportLag is how old the load figures in a report are.
	ReportLag clock.Millis
}

// Engine is one model engine. Set the exported fields before use; the zero
// value of each but Loader works.
type Engine struct {
	ID string
	// Loader is where adapters come from.
	Loader Loader
	// Slots is the number of adapters that fit; 0 is 8.
	Slots int
	// BatchMax is the number of requests that run at once; 0 is 16.
	BatchMax int
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	Options

	mu       sync.Mutex
	start    string
	fence    units.Fence
	resident map[units.AdapterVersion]bool
	loading  map[units.AdapterVersion]bool
	// running holds the requests in the batch.
	running map[units.RequestID]*run
	// free is closed and replaced when a place in the batch becomes free.
	free     chan struct{}
	waiting  int
	leaving  bool
	counters Counters
}

// Counters count what must never happen, and the work done.
type Counters struct {
	// WrongAdapter counts requests that ran on another adapter or version than
	// the one loaded for them. It must stay 0.
	WrongAdapter int `json:"wrong_adapter"`
	// EvictedRunning counts evictions of an adapter with a running request. It
	// must stay 0.
	EvictedRunning int `json:"evicted_running"`
	// OldOrdersTaken counts orders taken with a smaller fencing number than one
	// seen before. It must stay 0.
	OldOrdersTaken int `json:"old_orders_taken"`
	Requests       int `json:"requests"`
	Tokens         int `json:"tokens"`
	Steps          int `json:"steps"`
	Loads          int `json:"loads"`
	Unloads        int `json:"unloads"`
	Crashes        int `json:"crashes"`
}

// NeverEvents sums what must never happen.
func (c *Counters) NeverEvents() int { return c.WrongAdapter + c.EvictedRunning + c.OldOrdersTaken }

type run struct {
	id      units.RequestID
	adapter units.AdapterVersion
	cancel  context.CancelFunc
}

// Defaults of the zero value.
const (
	defaultSlots          = 8
	defaultBatchMax       = 16
	defaultStepTime       = 10 * time.Millisecond
	defaultStepPerRequest = 500 * time.Microsecond
)

// RefusedError tells why an engine did not do what it was asked.
type RefusedError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Code + ": " + e.Message }

// Codes of refusals.
const (
	CodeAdapterMissing = "adapter_not_loaded"
	CodeCrashed        = "crashed"
	CodeFenced         = "fenced"
	CodeLeaving        = "leaving"
	CodeNoSlot         = "no_slot"
	CodeLoadFailed     = "load_failed"
)

func (e *Engine) init() {
	if e.resident != nil {
		return
	}
	e.resident = map[units.AdapterVersion]bool{}
	e.loading = map[units.AdapterVersion]bool{}
	e.running = map[units.RequestID]*run{}
	e.free = make(chan struct{})
	e.start = fmt.Sprintf("%s-%d", e.ID, time.Now().UnixNano())
}

func (e *Engine) slots() int {
	if e.Slots == 0 {
		return defaultSlots
	}
	return e.Slots
}

func (e *Engine) batchMax() int {
	if e.BatchMax == 0 {
		return defaultBatchMax
	}
	return e.BatchMax
}

// Counters returns the counts so far.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// SetLeaving makes the engine refuse new requests, or take them again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Crash breaks all running requests off and starts the engine cold.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	for _, r := range e.running {
		r.cancel()
	}
	e.counters.Crashes++
	e.resident = nil
	fence := e.fence
	e.init()
	e.fence = fence
}

// Order carries out an order. The context bounds a load.
func (e *Engine) Order(ctx context.Context, order event.Order) error {
	e.mu.Lock()
	e.init()
	if err := e.checkFence(order.Fence); err != nil {
		e.mu.Unlock()
		return err
	}
	switch order.Kind {
	case event.OrderLoad:
		return e.load(ctx, order.Adapter)
	case event.OrderUnload:
		e.unload(order.Adapter)
	case event.OrderClaim, event.OrderRole:
	}
	e.mu.Unlock()
	return nil
}

func (e *Engine) checkFence(fence units.Fence) error {
	if fence >= e.fence {
		e.fence = fence
		return nil
	}
	if e.ChecksFence {
		return &RefusedError{Code: CodeFenced, Message: "a greater fencing number was seen"}
	}
	e.counters.OldOrdersTaken++
	return nil
}

// load is called with mu held and returns with it free.
func (e *Engine) load(ctx context.Context, av units.AdapterVersion) error {
	if e.resident[av] || e.loading[av] {
		e.mu.Unlock()
		return nil
	}
	if len(e.resident)+len(e.loading) >= e.slots() {
		e.mu.Unlock()
		return &RefusedError{Code: CodeNoSlot, Message: "all adapter slots are taken"}
	}
	e.loading[av] = true
	start := e.start
	e.mu.Unlock()
	err := e.Loader.Load(ctx, av)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.start != start {
		return &RefusedError{Code: CodeCrashed, Message: "the engine restarted during the load"}
	}
	delete(e.loading, av)
	if err != nil {
		return &RefusedError{Code: CodeLoadFailed, Message: err.Error()}
	}
	e.resident[av] = true
	e.counters.Loads++
	return nil
}

func (e *Engine) unload(av units.AdapterVersion) {
	if !e.resident[av] {
		return
	}
	for _, r := range e.running {
		if r.adapter == av {
			e.counters.EvictedRunning++
		}
	}
	delete(e.resident, av)
	e.counters.Unloads++
}

// Report returns the engine's report on itself.
func (e *Engine) Report() event.ServerReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	report := event.ServerReport{
		Start: e.start, Ready: true, Leaving: e.leaving, Fence: e.fence,
		Slots: int32(e.slots()), BatchMax: int32(e.batchMax()), Running: int32(len(e.running)), Waiting: int32(e.waiting),
	}
	counts := map[units.AdapterVersion]int32{}
	for _, r := range e.running {
		counts[r.adapter]++
		report.Requests = append(report.Requests, r.id)
	}
	for av := range e.resident {
		report.Resident = append(report.Resident, event.ResidentAdapter{AdapterVersion: av, Running: counts[av]})
	}
	for av := range e.loading {
		report.Loading = append(report.Loading, av)
	}
	slices.SortFunc(report.Resident, func(a, b event.ResidentAdapter) int {
		if a.String() < b.String() {
			return -1
		}
		return 1
	})
	slices.Sort(report.Requests)
	return report
}

// Work is one request to generate tokens.
type Work struct {
	ID      units.RequestID
	Adapter units.AdapterVersion
	Prompt  string
	// MaxTokens is the number of tokens of the answer.
	MaxTokens int
}

// Generate runs work and hands each token to emit. It returns a RefusedError
// only if the work did not run at all.
func (e *Engine) Generate(ctx context.Context, work Work, emit func(token string) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start, err := e.enter(ctx, work, cancel)
	if err != nil {
		return err
	}
	defer e.exit(start, work.ID)
	for _, token := range Answer(work) {
		if err := e.step(ctx, start, work.Adapter); err != nil {
			return err
		}
		if err := emit(token); err != nil {
			return err
		}
	}
	return nil
}

// enter waits for a place in the batch.
func (e *Engine) enter(ctx context.Context, work Work, cancel context.CancelFunc) (start string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	for {
		if e.leaving {
			return "", &RefusedError{Code: CodeLeaving, Message: "the engine is leaving"}
		}
		if !e.resident[work.Adapter] {
			return "", &RefusedError{Code: CodeAdapterMissing, Message: "adapter " + work.Adapter.String() + " is not loaded"}
		}
		if len(e.running) < e.batchMax() {
			e.running[work.ID] = &run{id: work.ID, adapter: work.Adapter, cancel: cancel}
			e.counters.Requests++
			return e.start, nil
		}
		if err := e.waitForPlace(ctx); err != nil {
			return "", &RefusedError{Code: CodeCrashed, Message: err.Error()}
		}
	}
}

// waitForPlace is called with mu held and returns with it held.
func (e *Engine) waitForPlace(ctx context.Context) error {
	free := e.free
	e.waiting++
	e.mu.Unlock()
	defer e.mu.Lock()
	select {
	case <-free:
	case <-ctx.Done():
	}
	e.mu.Lock()
	e.waiting--
	e.mu.Unlock()
	return ctx.Err()
}

func (e *Engine) exit(start string, id units.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.start == start {
		delete(e.running, id)
	}
	close(e.free)
	e.free = make(chan struct{})
}

// step waits for the time of one token.
func (e *Engine) step(ctx context.Context, start string, av units.AdapterVersion) error {
	e.mu.Lock()
	step, per := e.StepTime, e.StepPerRequest
	if step == 0 {
		step = defaultStepTime
	}
	if per == 0 {
		per = defaultStepPerRequest
	}
	wait := step + per*time.Duration(max(0, len(e.running)-1))
	e.counters.Tokens++
	if e.start == start && !e.resident[av] {
		e.counters.WrongAdapter++
	}
	e.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
