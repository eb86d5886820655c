package engine

import (
	"errors"
	"slices"
	"strings"
	"time"

	"mangostile/internal/base/units"
)

// PoisonMarker in a prompt crashes the engine after the first generated token.
const PoisonMarker = "<crash>"

// queuedRun is a run that waits for a place in the batch.
type queuedRun struct {
	run *run
	// entered is closed when the run enters the batch.
	entered chan struct{}
}

var errCanceled = errors.New("the request was canceled")

// submit queues work and starts a goroutine that generates its answer. It returns a
// *RefusedError if the engine does not accept the work.
func (e *Engine) submit(work Work) (*run, error) {
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
	w := &queuedRun{run: r, entered: make(chan struct{})}
	e.enqueue(w)
	e.fillBatch()
	go e.generate(e.incarnation, w)
	return r, nil
}

func (r *run) isEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// enqueue inserts w behind the queued runs of the same or a higher priority. The caller
// holds mu.
func (e *Engine) enqueue(w *queuedRun) {
	i := len(e.queue)
	for i > 0 && e.queue[i-1].run.work.Priority < w.run.work.Priority {
		i--
	}
	e.queue = slices.Insert(e.queue, i, w)
}

// fillBatch moves queued runs into free places of the batch. The caller holds mu.
func (e *Engine) fillBatch() {
	for len(e.queue) > 0 && len(e.batch) < e.batchMax() {
		w := e.queue[0]
		e.queue = e.queue[1:]
		e.batch[w.run] = true
		e.counters.Requests++
		e.started = append(e.started, w.run.work.ID)
		close(w.entered)
	}
	e.recordLoad()
}

// generate waits for a place in the batch and generates all tokens of a run.
// incarnation is the engine's at submission: after a crash, the run must not change
// the new batch.
func (e *Engine) generate(incarnation string, w *queuedRun) {
	r := w.run
	defer e.leaveBatch(incarnation, w)
	select {
	case <-w.entered:
	case <-r.ctx.Done():
		return
	}
	if sleep(r.ctx, e.prefill(r)) != nil {
		return
	}
	for i, token := range Answer(r.work) {
		if sleep(r.ctx, e.step(incarnation, r)) != nil {
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

// prefill returns the time to process the uncached part of the prompt, and caches it.
func (e *Engine) prefill(r *run) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	words := strings.Fields(r.work.Prompt)
	cached := e.cache.lookup(r.work.Adapter, words)
	e.counters.CachedTokens += cached
	return e.PrefillTime * time.Duration(len(words)-cached)
}

// step counts one token and returns its time, which rises with the size of the batch.
func (e *Engine) step(incarnation string, r *run) time.Duration {
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
	if e.incarnation == incarnation && !e.resident[r.work.Adapter] {
		e.counters.WrongAdapter++
	}
	return step + per*time.Duration(others)
}

func (e *Engine) leaveBatch(incarnation string, w *queuedRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return
	}
	if !w.run.isEnded() {
		w.run.end(errCanceled)
	}
	delete(e.batch, w.run)
	e.queue = slices.DeleteFunc(e.queue, func(other *queuedRun) bool { return other == w })
	e.fillBatch()
	e.scheduleForget(w.run)
}

// scheduleForget removes an ended run after the resume window.
func (e *Engine) scheduleForget(r *run) {
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

// unfollow removes a connection from a run. A run without connections is canceled
// after the resume window.
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

// Cancel stops a request. It reports false if the request is not queued or running.
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
