package engine

import (
	"errors"
	"slices"
	"strings"
	"time"

	"mangostile/internal/base/units"
)

// PoisonMarker in a prompt makes the engine crash once it has generated the
// first token.
const PoisonMarker = "<crash>"

// waiter is a run that waits for a place in the batch.
type waiter struct {
	run *run
	// entered is closed once the run has its place.
	entered chan struct{}
}

var errCanceled = errors.New("the request was canceled")

// begin takes work and runs it. A RefusedError tells that it does not run.
func (e *Engine) begin(work Work) (*run, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.init()
	switch {
	case e.faults.Leaving:
		return nil, &RefusedError{Code: CodeLeaving, Message: "the engine is leaving"}
	case time.Now().Before(e.readyAt):
		return nil, &RefusedError{Code: CodeStarting, Message: "the engine is starting"}
	case !e.resident[work.Adapter]:
		return nil, &RefusedError{Code: CodeAdapterMissing, Message: "adapter " + work.Adapter.String() + " is not loaded"}
	case e.runs[work.ID] != nil && !e.runs[work.ID].isEnded():
		return nil, &RefusedError{Code: CodeDuplicate, Message: "request " + string(work.ID) + " runs already"}
	}
	r := newRun(work)
	e.runs[work.ID] = r
	w := &waiter{run: r, entered: make(chan struct{})}
	e.enqueue(w)
	e.fillBatch()
	go e.generate(e.start, w)
	return r, nil
}

func (r *run) isEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// enqueue adds w behind the last of at least its priority.
func (e *Engine) enqueue(w *waiter) {
	i := len(e.queue)
	for i > 0 && e.queue[i-1].run.work.Priority < w.run.work.Priority {
		i--
	}
	e.queue = slices.Insert(e.queue, i, w)
}

// fillBatch gives free places of the batch to those that wait. The caller holds
// mu.
func (e *Engine) fillBatch() {
	for len(e.queue) > 0 && len(e.batch) < e.batchMax() {
		w := e.queue[0]
		e.queue = e.queue[1:]
		e.batch[w.run] = true
		e.counters.Requests++
		e.begun = append(e.begun, w.run.work.ID)
		close(w.entered)
	}
	e.noteLoad()
}

// generate waits for a place in the batch and generates all tokens of a run.
func (e *Engine) generate(start string, w *waiter) {
	r := w.run
	defer e.leaveBatch(start, w)
	select {
	case <-w.entered:
	case <-r.ctx.Done():
		return
	}
	if sleep(r.ctx, e.prefill(r)) != nil {
		return
	}
	for i, token := range Answer(r.work) {
		if sleep(r.ctx, e.step(start, r)) != nil {
			return
		}
		r.emit(token)
		if i == 0 && strings.Contains(r.work.Prompt, PoisonMarker) {
			e.Crash()
			return
		}
	}
	r.end(nil)
}

// prefill returns the time for the part of the prompt that is not cached.
func (e *Engine) prefill(r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	words := strings.Fields(r.work.Prompt)
	cached := e.cache.use(r.work.Adapter, words)
	e.counters.CachedTokens += cached
	return e.PrefillTime * time.Duration(len(words)-cached)
}

// step counts one token and returns its time, which grows with the batch.
func (e *Engine) step(start string, r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step, per := e.StepTime, e.StepPerRequest
	if step == 0 {
		step = defaultStepTime
	}
	if per == 0 {
		per = defaultStepPerRequest
	}
	others := max(0, len(e.batch)-1)
	e.counters.Tokens++
	e.steps += 1 / float64(others+1)
	if e.start == start && !e.resident[r.work.Adapter] {
		e.counters.WrongAdapter++
	}
	return step + per*time.Duration(others)
}

func (e *Engine) leaveBatch(start string, w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.start != start {
		return
	}
	if !w.run.isEnded() {
		w.run.end(errCanceled)
	}
	delete(e.batch, w.run)
	e.queue = slices.DeleteFunc(e.queue, func(other *waiter) bool { return other == w })
	e.fillBatch()
	e.forgetLater(w.run)
}

// forgetLater forgets an ended run after the resume window.
func (e *Engine) forgetLater(r *run) {
	time.AfterFunc(e.resumeWindow(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[r.work.ID] == r {
			delete(e.runs, r.work.ID)
		}
	})
}

func (e *Engine) resumeWindow() time.Duration {
	if e.ResumeWindow == 0 {
		return defaultResumeWindow.Duration()
	}
	return e.ResumeWindow.Duration()
}

// unfollow takes a connection off a run. A run that no connection reads is
// canceled after the resume window.
func (e *Engine) unfollow(r *run) {
	if r.follow(-1) > 0 || r.isEnded() {
		return
	}
	time.AfterFunc(e.resumeWindow(), func() {
		if r.follow(0) == 0 {
			e.cancelRun(r)
		}
	})
}

// Cancel stops a request. It reports false for one that does not run.
func (e *Engine) Cancel(id units.RequestID) bool {
	e.mu.Lock()
	r := e.runs[id]
	e.mu.Unlock()
	return r != nil && e.cancelRun(r)
}

func (e *Engine) cancelRun(r *run) bool {
	if r.isEnded() {
		return false
	}
	r.end(errCanceled)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.Canceled++
	return true
}
