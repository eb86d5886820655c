package trial

import (
	"fmt"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/base/vtime"

	"github.com/cespare/xxhash/v2"
)

// Times in ms of the simulated engines and store.
const (
	stepTime       clock.Millis = 25
	stepPerRequest clock.Millis = 1
	coldStartTime               = 5 * clock.Second
	loadTime       clock.Millis = 250
	// slowFactor divides the speed of a slow store.
	slowFactor = 4
)

// policy makes the routing and load decisions of a simulation.
type policy interface {
	// start is called once, before any other method.
	start(w *world)
	// arrived is called when a request arrives.
	arrived(c *call)
	// loaded is called when a load ends; ok is false if it failed.
	loaded(e *engine, av units.AdapterVersion, ok bool)
	// finished is called when a request leaves an engine; broken is true if the engine
	// restarted.
	finished(c *call, e *engine, broken bool)
	// expired is called at the deadline of a request that no engine runs.
	expired(c *call)
	// restarted is called when an engine goes down for a restart and again when it is up.
	restarted(e *engine)
}

// engine is a simulated model engine.
type engine struct {
	loadWaiters

	id          string
	index       int
	slots       int
	batchMax    int
	incarnation int
	up          bool
	// resident holds the time at which each adapter was loaded.
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

func (e *engine) requestCount() int { return len(e.batch) + len(e.queue) }

// world is the state of one simulation in virtual time.
type world struct {
	scenario Scenario
	trace    *trace
	policy   policy
	now      clock.Millis
	pending  vtime.Queue
	engines  []*engine
	// storeFreeAt is the earliest time at which the store starts the next load.
	storeFreeAt   clock.Millis
	loadsInFlight int
	// loadAttempts counts the loads of each adapter, including failed ones.
	loadAttempts map[units.AdapterVersion]int
	calls        []call

	evictedRunning    int
	mostLoadsInFlight int
}

func newWorld(s Scenario, t *trace, p policy) *world {
	w := &world{scenario: s, trace: t, policy: p, loadAttempts: map[units.AdapterVersion]int{}, calls: slices.Clone(t.calls)}
	for i := range s.Replicas {
		w.engines = append(w.engines, &engine{
			id: fmt.Sprintf("engine-%02d", i), index: i, slots: s.Slots, batchMax: s.BatchMax, up: true,
			resident: map[units.AdapterVersion]clock.Millis{}, loading: map[units.AdapterVersion]bool{}, running: map[units.AdapterVersion]int{},
		})
	}
	return w
}

// warmUp is the time before the first request, in which the entry VMs discover each
// other.
const warmUp = 5 * clock.Second

// play runs the simulation until all deadlines have passed.
func (w *world) play() {
	w.now = 1
	w.pending.Start(w.now)
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
	for run := w.pending.Next(end); run != nil; run = w.pending.Next(end) {
		w.now = w.pending.Now()
		run()
	}
}

// at schedules f at a time. Functions due at the same time run in the order of the calls.
func (w *world) at(at clock.Millis, f func()) {
	w.pending.At(at, f)
}

func (w *world) after(d clock.Millis, f func()) { w.at(w.now+d, f) }

func (w *world) storeSlow() bool {
	middle := w.scenario.Duration/2 + warmUp
	return w.now >= middle && w.now < middle+w.scenario.SlowStore
}

// load starts to load an adapter on an engine. It returns false if the engine is down,
// has no free slot or already has the adapter resident or loading.
func (w *world) load(e *engine, av units.AdapterVersion) bool {
	if !e.up || len(e.resident)+len(e.loading) >= e.slots {
		return false
	}
	if _, ok := e.resident[av]; ok || e.loading[av] {
		return false
	}
	e.loading[av] = true
	w.loadsInFlight++
	w.mostLoadsInFlight = max(w.mostLoadsInFlight, w.loadsInFlight)
	gap := clock.Millis(float64(clock.Second) / w.scenario.LoadsPerSecond)
	duration := loadTime * clock.Millis(max(w.loadsInFlight, w.scenario.LoadsInFlight)) / clock.Millis(w.scenario.LoadsInFlight)
	if w.storeSlow() {
		gap, duration = gap*slowFactor, duration*slowFactor
	}
	start := max(w.now, w.storeFreeAt)
	w.storeFreeAt = start + gap
	w.loadAttempts[av]++
	ok := !w.loadFails(av)
	incarnation := e.incarnation
	w.at(start+duration, func() { w.loadEnded(e, incarnation, av, ok) })
	return true
}

// loadFails reports whether the current load attempt of an adapter fails. The result is
// the same for every policy.
func (w *world) loadFails(av units.AdapterVersion) bool {
	draw := xxhash.Sum64String(fmt.Sprintf("%d %s %d", w.scenario.Seed, av, w.loadAttempts[av]))
	return float64(draw%10000) < w.scenario.FailingLoads*10000
}

func (w *world) loadEnded(e *engine, incarnation int, av units.AdapterVersion, ok bool) {
	w.loadsInFlight--
	e.loads++
	if e.incarnation != incarnation {
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

// run starts a call on an engine. It returns false if the adapter is not resident or the
// engine is down.
func (w *world) run(c *call, e *engine) bool {
	loadedAt, ok := e.resident[c.adapter]
	if !ok || !e.up {
		return false
	}
	if !c.started {
		c.remaining = c.tokens
	}
	c.started = true
	c.engine = e
	c.stall = max(c.stall, loadedAt-c.at)
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
	incarnation := e.incarnation
	w.after(duration, func() { w.stepped(e, incarnation) })
}

func (w *world) stepped(e *engine, incarnation int) {
	if e.incarnation != incarnation {
		return
	}
	e.stepping = false
	var done []*call
	e.batch = slices.DeleteFunc(e.batch, func(c *call) bool {
		c.remaining--
		if c.remaining <= 0 {
			done = append(done, c)
		}
		return c.remaining <= 0
	})
	for _, c := range done {
		w.end(c, true)
		w.detach(c, false)
	}
	w.step(e)
}

// end records a call's outcome, unless it has ended already.
func (w *world) end(c *call, served bool) {
	if c.ended {
		return
	}
	c.ended, c.served, c.endedAt = true, served, w.now
	if !c.started {
		c.stall = w.now - c.at
	}
}

// detach ends a call's execution on its engine and notifies the policy.
func (w *world) detach(c *call, broken bool) {
	e := c.engine
	c.engine = nil
	if e.running[c.adapter]--; e.running[c.adapter] <= 0 {
		delete(e.running, c.adapter)
	}
	w.policy.finished(c, e, broken)
}

// cancel removes a running call from its engine.
func (w *world) cancel(c *call) {
	if c.engine == nil {
		return
	}
	same := func(other *call) bool { return other == c }
	c.engine.batch = slices.DeleteFunc(c.engine.batch, same)
	c.engine.queue = slices.DeleteFunc(c.engine.queue, same)
	w.detach(c, false)
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

// restart interrupts all calls of an engine and starts it again without adapters.
func (w *world) restart(e *engine) {
	e.incarnation++
	e.restarts++
	e.up, e.stepping = false, false
	broken := append(slices.Clone(e.batch), e.queue...)
	e.batch, e.queue = nil, nil
	clear(e.resident)
	clear(e.loading)
	w.policy.restarted(e)
	for _, c := range broken {
		c.remaining = c.tokens
		w.detach(c, true)
	}
	w.after(coldStartTime, func() {
		e.up = true
		w.policy.restarted(e)
	})
}
