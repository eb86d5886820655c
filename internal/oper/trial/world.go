package trial

import (
	"container/heap"
	"fmt"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// Times of a fake engine.
const (
	stepTime       clock.Millis = 25
	stepPerRequest clock.Millis = 1
	coldStartTime               = 5 * clock.Second
	loadTime       clock.Millis = 250
	// slowFactor divides the speed of a slow store.
	slowFactor = 4
)

// policy decides in a world.
type policy interface {
	start(w *world)
	arrived(c *call)
	// loaded tells that a load ended.
	loaded(e *engine, av units.AdapterVersion, ok bool)
	// finished tells that a request left an engine; broken is set if the engine
	// restarted.
	finished(c *call, e *engine, broken bool)
	// expired tells that the deadline of a request passed that no engine runs.
	expired(c *call)
	restarted(e *engine)
}

// engine is a fake model engine.
type engine struct {
	loadWaiters

	id       string
	index    int
	slots    int
	batchMax int
	run      int
	up       bool
	// resident holds since when each adapter is loaded.
	resident map[units.AdapterVersion]clock.Millis
	loading  map[units.AdapterVersion]bool
	batch    []*call
	queue    []*call
	stepping bool
	fence    units.Fence
	// running is the number of requests per adapter, in batch and queue.
	running map[units.AdapterVersion]int

	busy     clock.Millis
	steps    int64
	tokens   int64
	loads    int64
	unloads  int64
	restarts int
}

func (e *engine) load() int { return len(e.batch) + len(e.queue) }

// world is the state of one run in virtual time.
type world struct {
	scenario Scenario
	trace    *trace
	policy   policy
	now      clock.Millis
	seq      int64
	pending  timers
	engines  []*engine
	// storeFree is the instant at which the store starts the next load.
	storeFree clock.Millis
	inFlight  int
	// tries counts the loads of each adapter.
	tries map[units.AdapterVersion]int
	calls []call

	evictedRunning int
	mostInFlight   int
}

func newWorld(s Scenario, t *trace, p policy) *world {
	w := &world{scenario: s, trace: t, policy: p, tries: map[units.AdapterVersion]int{}, calls: slices.Clone(t.calls)}
	for i := range s.Replicas {
		w.engines = append(w.engines, &engine{
			id: fmt.Sprintf("engine-%02d", i), index: i, slots: s.Slots, batchMax: s.BatchMax, up: true,
			resident: map[units.AdapterVersion]clock.Millis{}, loading: map[units.AdapterVersion]bool{}, running: map[units.AdapterVersion]int{},
		})
	}
	return w
}

// warmUp is the time before the first request in which entry VMs find each
// other.
const warmUp = 5 * clock.Second

func (w *world) play() {
	w.now = 1
	w.policy.start(w)
	for i := range w.calls {
		c := &w.calls[i]
		c.at += warmUp
		c.deadline += warmUp
		w.at(c.at, func() { w.policy.arrived(c) })
		w.at(c.deadline, func() { w.expire(c) })
	}
	for _, r := range w.trace.restarts {
		e := w.engines[r.engine]
		w.at(r.at+warmUp, func() { w.restart(e) })
	}
	end := w.scenario.Duration + warmUp + w.scenario.Deadline + clock.Second
	for len(w.pending) > 0 && w.pending[0].at <= end {
		next := heap.Pop(&w.pending).(timer)
		w.now = next.at
		next.run()
	}
}

// at runs f at an instant; equal instants go in the order of the calls.
func (w *world) at(at clock.Millis, f func()) {
	w.seq++
	heap.Push(&w.pending, timer{at: max(at, w.now), seq: w.seq, run: f})
}

func (w *world) after(d clock.Millis, f func()) { w.at(w.now+d, f) }

func (w *world) storeSlow() bool {
	middle := w.scenario.Duration/2 + warmUp
	return w.now >= middle && w.now < middle+w.scenario.SlowStore
}

// load brings an adapter to an engine and reports whether there was room.
func (w *world) load(e *engine, av units.AdapterVersion) bool {
	if !e.up || len(e.resident)+len(e.loading) >= e.slots {
		return false
	}
	if _, ok := e.resident[av]; ok || e.loading[av] {
		return false
	}
	e.loading[av] = true
	w.inFlight++
	w.mostInFlight = max(w.mostInFlight, w.inFlight)
	gap := clock.Millis(float64(clock.Second) / w.scenario.LoadsPerSecond)
	duration := loadTime * clock.Millis(max(w.inFlight, w.scenario.LoadsInFlight)) / clock.Millis(w.scenario.LoadsInFlight)
	if w.storeSlow() {
		gap, duration = gap*slowFactor, duration*slowFactor
	}
	begin := max(w.now, w.storeFree)
	w.storeFree = begin + gap
	w.tries[av]++
	ok := !w.failing(av)
	run := e.run
	w.at(begin+duration, func() { w.loadEnded(e, run, av, ok) })
	return true
}

// failing draws whether a load fails, for each policy alike.
func (w *world) failing(av units.AdapterVersion) bool {
	draw := xxhash.Sum64String(fmt.Sprintf("%d %s %d", w.scenario.Seed, av, w.tries[av]))
	return float64(draw%10000) < w.scenario.FailingLoads*10000
}

func (w *world) loadEnded(e *engine, run int, av units.AdapterVersion, ok bool) {
	w.inFlight--
	e.loads++
	if e.run != run {
		return
	}
	delete(e.loading, av)
	if ok {
		e.resident[av] = w.now
	}
	w.policy.loaded(e, av, ok)
}

func (w *world) unload(e *engine, av units.AdapterVersion) {
	if e.running[av] > 0 {
		w.evictedRunning++
	}
	e.unloads++
	delete(e.resident, av)
}

// run starts a call on an engine and reports false if the adapter is missing.
func (w *world) run(c *call, e *engine) bool {
	since, ok := e.resident[c.adapter]
	if !ok || !e.up {
		return false
	}
	if !c.started {
		c.left = c.tokens
	}
	c.started = true
	c.engine = e
	c.stall = max(c.stall, since-c.at)
	e.running[c.adapter]++
	e.queue = append(e.queue, c)
	w.step(e)
	return true
}

// step fills the batch and starts the next step of an engine.
func (w *world) step(e *engine) {
	if e.stepping {
		return
	}
	for len(e.batch) < e.batchMax && len(e.queue) > 0 {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.batch) == 0 {
		return
	}
	e.stepping = true
	duration := stepTime + stepPerRequest*clock.Millis(len(e.batch)-1)
	e.busy += duration
	e.steps++
	e.tokens += int64(len(e.batch))
	run := e.run
	w.after(duration, func() { w.stepped(e, run) })
}

func (w *world) stepped(e *engine, run int) {
	if e.run != run {
		return
	}
	e.stepping = false
	var done []*call
	e.batch = slices.DeleteFunc(e.batch, func(c *call) bool {
		c.left--
		if c.left <= 0 {
			done = append(done, c)
		}
		return c.left <= 0
	})
	for _, c := range done {
		w.end(c, true)
		w.leave(c, false)
	}
	w.step(e)
}

func (w *world) end(c *call, served bool) {
	if c.ended {
		return
	}
	c.ended, c.served, c.endedAt = true, served, w.now
	if !c.started {
		c.stall = w.now - c.at
	}
}

// leave takes a call off its engine.
func (w *world) leave(c *call, broken bool) {
	e := c.engine
	c.engine = nil
	if e.running[c.adapter]--; e.running[c.adapter] <= 0 {
		delete(e.running, c.adapter)
	}
	w.policy.finished(c, e, broken)
}

// cancel takes a running call off its engine.
func (w *world) cancel(c *call) {
	if c.engine == nil {
		return
	}
	same := func(other *call) bool { return other == c }
	c.engine.batch = slices.DeleteFunc(c.engine.batch, same)
	c.engine.queue = slices.DeleteFunc(c.engine.queue, same)
	w.leave(c, false)
}

// expire ends a call at its deadline.
func (w *world) expire(c *call) {
	if c.ended {
		return
	}
	w.end(c, false)
	if c.engine != nil {
		w.cancel(c)
		return
	}
	w.policy.expired(c)
}

// restart breaks all calls of an engine off and starts it cold.
func (w *world) restart(e *engine) {
	e.run++
	e.restarts++
	e.up, e.stepping = false, false
	broken := append(slices.Clone(e.batch), e.queue...)
	e.batch, e.queue = nil, nil
	clear(e.resident)
	clear(e.loading)
	w.policy.restarted(e)
	for _, c := range broken {
		c.left = c.tokens
		w.leave(c, true)
	}
	w.after(coldStartTime, func() {
		e.up = true
		w.policy.restarted(e)
	})
}

// timer is something that happens at an instant.
type timer struct {
	at  clock.Millis
	seq int64
	run func()
}

// timers is a heap by time.
type timers []timer

var _ heap.Interface = (*timers)(nil)

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
