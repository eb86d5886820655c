package engine

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// instantLoader loads adapters without delay.
type instantLoader struct{}

func (instantLoader) Load(context.Context, units.AdapterVersion) error { return nil }

var braid = units.AdapterVersion{Adapter: "braid", Version: "v1"}

func newTestEngine(t *testing.T, options Options) *Engine {
	t.Helper()
	e := &Engine{ID: "engine-1", Loader: instantLoader{}, BatchMax: 2, Options: options}
	must.NoError(t, e.Order(t.Context(), event.Order{Kind: event.OrderLoad, Adapter: braid, Fence: 1}))
	return e
}

func work(id, prompt string, tokens int) Work {
	return Work{ID: units.RequestID(id), Adapter: braid, Prompt: prompt, MaxTokens: tokens}
}

func submit(t *testing.T, e *Engine, w Work) *run {
	t.Helper()
	r, err := e.submit(w)
	must.NoError(t, err)
	return r
}

// drainTimers waits until all resume windows have ended, so that no timer is left.
func drainTimers() { time.Sleep(time.Minute) }

func TestTokenRateFallsAsTheBatchFills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(t, Options{StepTime: 10 * time.Millisecond, StepPerRequest: 5 * time.Millisecond})
		began := time.Now()
		tokens, err := submit(t, e, work("r1", "x", 10)).wait()
		must.NoError(t, err)
		must.Eq(t, Answer(work("r1", "x", 10)), tokens)
		must.Eq(t, 100*time.Millisecond, time.Since(began))
		began = time.Now()
		first, second := submit(t, e, work("r2", "x", 10)), submit(t, e, work("r3", "x", 10))
		_, err = first.wait()
		must.NoError(t, err)
		_, err = second.wait()
		must.NoError(t, err)
		must.Eq(t, 150*time.Millisecond, time.Since(began))
		drainTimers()
	})
}

// TestWaitersEnterByPriority checks that queued requests enter the batch by priority, and
// those of the same priority in the order of their arrival.
func TestWaitersEnterByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(t, Options{StepTime: 10 * time.Millisecond})
		e.BatchMax = 1
		var order []units.RequestID
		runs := []*run{submit(t, e, work("first", "x", 2))}
		for _, w := range []Work{{ID: "low"}, {ID: "high", Priority: 5}, {ID: "high too", Priority: 5}} {
			w.Adapter = braid
			runs = append(runs, submit(t, e, w))
		}
		must.Eq(t, 3, e.Report().Waiting)
		for range runs {
			time.Sleep(15 * time.Millisecond)
			for _, id := range e.Report().Requests {
				if e.batchHas(id) {
					order = append(order, id)
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		must.Eq(t, []units.RequestID{"first", "high", "high too", "low"}, order)
		drainTimers()
	})
}

func (e *Engine) batchHas(id units.RequestID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.batch[e.runs[id]]
}

func TestPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEngine(t, Options{PrefillTime: time.Millisecond, CacheBlocks: 3, CacheEventLag: 100, CacheEventLoss: 4})
		prefix := strings.Repeat("a ", CacheBlockTokens) + strings.Repeat("b ", CacheBlockTokens)
		_, err := submit(t, e, work("r1", prefix+"c", 2)).wait()
		must.NoError(t, err)
		must.Eq(t, 0, e.Counters().CachedTokens)
		must.SliceEmpty(t, e.CacheEvents(0))
		_, err = submit(t, e, work("r2", prefix+strings.Repeat("d ", 2*CacheBlockTokens), 2)).wait()
		must.NoError(t, err)
		must.Eq(t, 2*CacheBlockTokens, e.Counters().CachedTokens)
		time.Sleep(100 * time.Millisecond)
		// Five events occurred: four blocks stored and one evicted. The fourth event is
		// lost.
		events := e.CacheEvents(0)
		var numbers []int64
		for _, ev := range events {
			numbers = append(numbers, ev.Number)
		}
		must.Eq(t, []int64{1, 2, 3, 5}, numbers)
		must.False(t, events[3].Stored)
		must.Len(t, 1, e.CacheEvents(3))
		drainTimers()
	})
}

func TestReportLagsAndColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{ID: "engine-1", Loader: instantLoader{}, Options: Options{ReportLag: 500, ColdStart: 1000, StepTime: time.Second}}
		must.False(t, e.Report().Ready)
		_, err := e.submit(work("r0", "x", 2))
		must.ErrorContains(t, err, CodeStarting)
		must.NoError(t, e.Order(t.Context(), event.Order{Kind: event.OrderLoad, Adapter: braid, Fence: 1}))
		must.True(t, e.Report().Ready)
		submit(t, e, work("r1", "x", 2))
		must.Eq(t, 0, e.Report().Running)
		must.Eq(t, 1, e.Report().Resident[0].Running)
		time.Sleep(500 * time.Millisecond)
		must.Eq(t, 1, e.Report().Running)
		drainTimers()
	})
}

// TestRunsThatEndEarly interferes with a running request and checks how the run ends, what
// the engine counts and what it still accepts.
func TestRunsThatEndEarly(t *testing.T) {
	tests := []struct {
		name   string
		prompt string
		end    func(e *Engine)
		check  func(t *testing.T, e *Engine, err error)
	}{
		{"canceled", "x", func(e *Engine) { e.Cancel("r1") }, func(t *testing.T, e *Engine, err error) {
			must.ErrorIs(t, err, errCanceled)
			must.Eq(t, 1, e.Counters().Canceled)
			must.False(t, e.Cancel("r1"))
			must.Len(t, 1, e.Report().Resident)
		}},
		{"poison", PoisonMarker, func(*Engine) { time.Sleep(time.Second) }, func(t *testing.T, e *Engine, err error) {
			must.ErrorIs(t, err, errCrashed)
			must.Eq(t, 1, e.Counters().Crashes)
			must.SliceEmpty(t, e.Report().Resident)
		}},
		{"nobody reads it any more", "x", func(e *Engine) {
			e.mu.Lock()
			r := e.runs["r1"]
			e.mu.Unlock()
			r.follow(1)
			e.unfollow(r)
			time.Sleep(defaultResumeWindow.Duration())
		}, func(t *testing.T, _ *Engine, err error) { must.ErrorIs(t, err, errCanceled) }},
		{"leaving lets it end", "x", func(e *Engine) { e.SetLeaving(true) }, func(t *testing.T, e *Engine, err error) {
			must.NoError(t, err)
			_, err = e.submit(work("r2", "x", 2))
			must.ErrorContains(t, err, CodeLeaving)
		}},
		{"the same id again", "x", func(e *Engine) {
			_, err := e.submit(work("r1", "x", 2))
			must.ErrorContains(t, err, CodeDuplicate)
		}, func(t *testing.T, _ *Engine, err error) { must.NoError(t, err) }},
		{"evicted under it", "x", func(e *Engine) {
			must.NoError(t, e.Order(t.Context(), event.Order{Kind: event.OrderUnload, Adapter: braid, Fence: 1}))
		}, func(t *testing.T, e *Engine, _ error) {
			counters := e.Counters()
			must.Eq(t, 1, counters.EvictedRunning)
			must.Positive(t, counters.WrongAdapter)
			must.Eq(t, counters.EvictedRunning+counters.WrongAdapter, counters.Violations())
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEngine(t, Options{})
				r := submit(t, e, work("r1", tc.prompt, 1000))
				synctest.Wait()
				tc.end(e)
				_, err := r.wait()
				tc.check(t, e, err)
				drainTimers()
			})
		})
	}
}

func TestFencingNumbers(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := newTestEngine(t, Options{})
		e.ChecksFence = checks
		must.NoError(t, e.Order(t.Context(), event.Order{Kind: event.OrderClaim, Fence: 5}))
		err := e.Order(t.Context(), event.Order{Kind: event.OrderUnload, Adapter: braid, Fence: 4})
		must.Eq(t, checks, err != nil)
		must.Eq(t, !checks, e.Counters().OldOrdersTaken == 1)
	}
}
