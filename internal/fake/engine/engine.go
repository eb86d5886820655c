// Package engine is a stand-in for a model engine that serves LoRA adapters.
package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// Loader reads an adapter's weights from the weight store.
type Loader interface {
	Load(ctx context.Context, av units.AdapterVersion) error
}

// Options configure the timing and caches of an engine. The zero value is usable.
type Options struct {
	// StepTime is the time between two tokens of a request that runs alone; 0 is
	// 10 ms. StepPerRequest is added for each other request in the batch; 0 is
	// 0.5 ms.
	StepTime       time.Duration
	StepPerRequest time.Duration
	// PrefillTime is the time per prompt token that is not in the prefix cache.
	PrefillTime time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of CacheBlockTokens;
	// 0 is 4096.
	CacheBlocks int
	// CacheEventLag is the age at which a cache event becomes visible, in ms.
	CacheEventLag clock.Millis
	// CacheEventLoss is the interval, in cache events, at which one event is lost: 4 loses
	// every fourth; 0 loses none.
	CacheEventLoss int64
	// ColdStart is the time from the engine's start until it is ready, in ms.
	ColdStart clock.Millis
	// ReportLag is the age of the load figures in a report, in ms.
	ReportLag clock.Millis
	// ResumeWindow is how long a stream continues without a connection, and how long an
	// ended run can still be resumed, in ms; 0 is 2 s.
	ResumeWindow clock.Millis
}

// Engine is one model engine. Set the exported fields before use; only Loader is
// required.
type Engine struct {
	Options

	ID string
	// Loader is the source of adapter weights.
	Loader Loader
	// Slots is the number of adapters that can be loaded at once; 0 is 8.
	Slots int
	// BatchMax is the maximum number of requests in the batch; 0 is 16.
	BatchMax int
	// ChecksFence makes the engine refuse orders with a stale fencing number.
	ChecksFence bool

	mu          sync.Mutex
	incarnation string
	readyAt     time.Time
	fence       units.Fence
	resident    map[units.AdapterVersion]bool
	loading     map[units.AdapterVersion]bool
	// runs holds the requests that are queued or running, and those that ended within
	// the resume window.
	runs map[units.RequestID]*run
	// batch holds the running requests, and queue those that wait for a place in it.
	batch map[*run]bool
	queue []*queuedRun
	// loadHistory holds past load samples, oldest first, for reports that lag.
	loadHistory   []loadSample
	cache         prefixCache
	answerSwapper swapper
	faults        Faults
	counters      Counters
	// started lists the requests that entered the batch, also before a crash.
	started []units.RequestID
	// steps counts passes of the batch; each token adds its share of a pass.
	steps float64
}

// Counters count violations of the system's guarantees, and the work done.
type Counters struct {
	// WrongAdapter counts tokens generated while the request's adapter version was
	// not loaded. It must stay 0.
	WrongAdapter int `json:"wrong_adapter"`
	// EvictedRunning counts running requests whose adapter was evicted. It must
	// stay 0.
	EvictedRunning int `json:"evicted_running"`
	// OldOrdersTaken counts accepted orders whose fencing number was lower than an
	// earlier one. It must stay 0.
	OldOrdersTaken int `json:"old_orders_taken"`
	Requests       int `json:"requests"`
	Tokens         int `json:"tokens"`
	// Steps counts passes of the batch. Tokens divided by Steps is its mean size.
	Steps   int `json:"steps"`
	Loads   int `json:"loads"`
	Unloads int `json:"unloads"`
	Crashes int `json:"crashes"`
	// Canceled counts requests canceled before their end, and Resumed streams that
	// continued on another connection.
	Canceled int `json:"canceled"`
	Resumed  int `json:"resumed"`
	// CachedTokens counts prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Started returns the ids of the requests that have entered the batch so far.
func (e *Engine) Started() []units.RequestID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]units.RequestID{}, e.started...)
}

// Violations returns the sum of the counters that must stay 0.
func (c *Counters) Violations() int { return c.WrongAdapter + c.EvictedRunning + c.OldOrdersTaken }

// Defaults of the zero value.
const (
	defaultSlots          = 8
	defaultBatchMax       = 16
	defaultStepTime       = 10 * time.Millisecond
	defaultStepPerRequest = 500 * time.Microsecond
	defaultResumeWindow   = 2 * clock.Second
)

// RefusedError is the reason for which an engine refused a request or an order.
type RefusedError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Code + ": " + e.Message }

// Codes of refusals.
const (
	CodeAdapterMissing = "adapter_not_loaded"
	CodeCanceled       = "canceled"
	CodeCrashed        = "crashed"
	CodeDuplicate      = "duplicate_request"
	CodeFenced         = "fenced"
	CodeLeaving        = "leaving"
	CodeLoadFailed     = "load_failed"
	CodeNoSlot         = "no_slot"
	CodeStarting       = "starting"
)

// init starts a new incarnation if there is none, as at first use or during a crash. The
// caller holds mu.
func (e *Engine) init() {
	if e.resident != nil {
		return
	}
	e.resident = map[units.AdapterVersion]bool{}
	e.loading = map[units.AdapterVersion]bool{}
	e.runs = map[units.RequestID]*run{}
	e.batch = map[*run]bool{}
	e.queue = nil
	e.cache = prefixCache{capacity: e.CacheBlocks, lag: e.CacheEventLag, lossInterval: e.CacheEventLoss}
	e.incarnation = fmt.Sprintf("%s-%d", e.ID, time.Now().UnixNano())
	e.readyAt = time.Now().Add(e.ColdStart.Duration())
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
	counters := e.counters
	counters.Steps = int(e.steps)
	return counters
}

// Crash aborts all requests and restarts the engine cold, with empty slots and an
// empty prefix cache. The fencing number is kept.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	for _, r := range e.runs {
		r.end(errCrashed)
	}
	e.counters.Crashes++
	e.resident = nil
	e.init()
}

var errCrashed = fmt.Errorf("the engine crashed")

// Order executes an order. It waits for the end of a load, which ctx bounds, but not for a
// load of the same adapter that is in progress. It returns a *RefusedError for a stale
// fencing number (with ChecksFence), if all slots are taken, if the load fails and if the
// engine crashes during the load.
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

// load is called with mu held and releases it. A load during a cold start waits until
// the engine is ready.
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
	incarnation, cold := e.incarnation, time.Until(e.readyAt)
	e.mu.Unlock()
	err := sleep(ctx, cold)
	if err == nil {
		err = e.Loader.Load(ctx, av)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
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
	for r := range e.batch {
		if r.work.Adapter == av {
			e.counters.EvictedRunning++
		}
	}
	delete(e.resident, av)
	e.counters.Unloads++
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
