package trial

import (
	"slices"
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// central is a policy with an up-to-date view of every engine and a single decision
// point. Its fields select one of the baselines or the bound.
type central struct {
	w *world
	// route returns the engine for a request, or nil if no engine is up.
	route func(p *central, c *call) *engine
	// retention ranks idle adapters; the one with the lowest value is evicted.
	retention func(p *central, e *engine, av units.AdapterVersion) float64
	// busiestFirst starts the loads with the most waiting requests first and selects
	// their engines at that time.
	busiestFirst bool
	// waiting holds the requests that wait for a load, by engine index and adapter.
	waiting []map[units.AdapterVersion][]*call
	// pendingLoads holds the loads that wait for the store or a slot, oldest first.
	pendingLoads []pendingLoad
	// lastUsedAt holds the time of the last request, by engine index and adapter.
	lastUsedAt []map[units.AdapterVersion]clock.Millis
	// requestTimes holds the arrival times of all requests of each adapter, sorted.
	requestTimes map[units.AdapterVersion][]clock.Millis
}

type pendingLoad struct {
	engine  *engine
	adapter units.AdapterVersion
}

var _ policy = (*central)(nil)

// newLeastLoaded returns the baseline that sends each request to the engine with the
// fewest open requests and evicts the least recently used adapter.
func newLeastLoaded() policy { return &central{route: leastLoaded, retention: recency} }

// newAffinity returns the baseline that sends all requests of an adapter to one engine by
// hash and evicts the least recently used adapter.
func newAffinity() policy { return &central{route: byHash, retention: recency} }

// newBound returns the bound with knowledge of all future requests: it evicts the adapter
// whose next request on any engine is the latest, and starts the loads with the most
// waiting requests first.
func newBound() policy { return &central{route: mostBenefit, retention: urgency, busiestFirst: true} }

func (p *central) start(w *world) {
	p.w = w
	p.requestTimes = map[units.AdapterVersion][]clock.Millis{}
	for range w.engines {
		p.waiting = append(p.waiting, map[units.AdapterVersion][]*call{})
		p.lastUsedAt = append(p.lastUsedAt, map[units.AdapterVersion]clock.Millis{})
	}
	for i := range w.calls {
		c := &w.calls[i]
		p.requestTimes[c.adapter] = append(p.requestTimes[c.adapter], c.at+warmUp)
	}
}

func (p *central) arrived(c *call) {
	e := p.route(p, c)
	if e == nil {
		p.w.after(clock.Second, func() { p.retry(c) })
		return
	}
	p.lastUsedAt[e.index][c.adapter] = p.w.now
	if p.w.run(c, e) {
		return
	}
	p.waiting[e.index][c.adapter] = append(p.waiting[e.index][c.adapter], c)
	p.requestLoad(e, c.adapter)
	p.startLoads()
}

func (p *central) retry(c *call) {
	if !c.ended {
		p.arrived(c)
	}
}

func (p *central) requestLoad(e *engine, av units.AdapterVersion) {
	load := pendingLoad{e, av}
	if !e.loading[av] && !slices.Contains(p.pendingLoads, load) {
		p.pendingLoads = append(p.pendingLoads, load)
	}
}

// startLoads starts the pending loads that fit the store's limit and the engines' slots.
func (p *central) startLoads() {
	if p.busiestFirst {
		p.reassignLoads()
	}
	p.pendingLoads = slices.DeleteFunc(p.pendingLoads, func(l pendingLoad) bool {
		if len(p.waiting[l.engine.index][l.adapter]) == 0 {
			return true
		}
		if p.w.loadsInFlight >= p.w.scenario.LoadsInFlight || !l.engine.up {
			return false
		}
		if len(l.engine.resident)+len(l.engine.loading) >= l.engine.slots && !p.evict(l.engine) {
			return false
		}
		return p.w.load(l.engine, l.adapter)
	})
}

// reassignLoads sorts the pending loads by their waiting requests, most first, and selects
// the engine of each one again.
func (p *central) reassignLoads() {
	slices.SortStableFunc(p.pendingLoads, func(a, b pendingLoad) int {
		return len(p.waiting[b.engine.index][b.adapter]) - len(p.waiting[a.engine.index][a.adapter])
	})
	for i := range p.pendingLoads {
		l := &p.pendingLoads[i]
		calls := p.waiting[l.engine.index][l.adapter]
		if len(calls) == 0 {
			continue
		}
		delete(p.waiting[l.engine.index], l.adapter)
		from := l.engine
		l.engine = nil
		if l.engine = p.route(p, calls[0]); l.engine == nil {
			l.engine = from
		}
		p.waiting[l.engine.index][l.adapter] = calls
	}
}

// evict unloads the idle adapter with the lowest retention value from an engine and
// reports whether there was one.
func (p *central) evict(e *engine) bool {
	var victim units.AdapterVersion
	best := 0.0
	found := false
	for av := range e.resident {
		if e.running[av] > 0 {
			continue
		}
		value := p.retention(p, e, av)
		if !found || value < best || value == best && av.Adapter < victim.Adapter {
			victim, best, found = av, value, true
		}
	}
	if found {
		p.w.unload(e, victim)
	}
	return found
}

func (p *central) loaded(e *engine, av units.AdapterVersion, ok bool) {
	if !ok {
		p.requestLoad(e, av)
		p.startLoads()
		return
	}
	for _, c := range p.waiting[e.index][av] {
		if !c.ended {
			p.w.run(c, e)
		}
	}
	delete(p.waiting[e.index], av)
	p.startLoads()
}

func (p *central) finished(c *call, _ *engine, broken bool) {
	if broken && !c.ended {
		p.arrived(c)
	}
	p.startLoads()
}

func (p *central) expired(c *call) {
	for i := range p.waiting {
		calls := p.waiting[i][c.adapter]
		if at := slices.Index(calls, c); at >= 0 {
			p.waiting[i][c.adapter] = slices.Delete(calls, at, at+1)
		}
	}
}

func (p *central) restarted(e *engine) {
	if e.up {
		p.startLoads()
		return
	}
	p.pendingLoads = slices.DeleteFunc(p.pendingLoads, func(l pendingLoad) bool { return l.engine == e })
	var moved []*call
	for _, calls := range p.waiting[e.index] {
		moved = append(moved, calls...)
	}
	clear(p.waiting[e.index])
	slices.SortFunc(moved, func(a, b *call) int { return int(a.at - b.at) })
	for _, c := range moved {
		p.retry(c)
	}
}

func leastLoaded(p *central, _ *call) *engine {
	var best *engine
	for _, e := range p.w.engines {
		if e.up && (best == nil || p.openRequests(e) < p.openRequests(best)) {
			best = e
		}
	}
	return best
}

// openRequests returns the number of requests that run or wait on an engine.
func (p *central) openRequests(e *engine) int {
	n := e.requestCount()
	for _, calls := range p.waiting[e.index] {
		n += len(calls)
	}
	return n
}

// byHash returns the running engine with the highest hash of its id and the adapter.
func byHash(p *central, c *call) *engine {
	var best *engine
	var bestHash uint64
	for _, e := range p.w.engines {
		hash := xxhash.Sum64String(e.id + " " + c.adapter.String())
		if e.up && (best == nil || hash > bestHash) {
			best, bestHash = e, hash
		}
	}
	return best
}

// mostBenefit prefers an engine that has the adapter or is to load it, then one with a
// free slot, then the one whose eviction victim is next requested the latest.
func mostBenefit(p *central, c *call) *engine {
	var best *engine
	bestValue := 0.0
	for _, e := range p.w.engines {
		if !e.up {
			continue
		}
		value := p.benefit(e, c.adapter)
		if best == nil || value > bestValue {
			best, bestValue = e, value
		}
	}
	return best
}

// Benefits of an engine for a request; each outweighs all smaller ones.
const (
	residentBenefit = 1e12
	loadingBenefit  = 1e11
	freeSlotBenefit = 1e10
)

// benefit returns the benefit of an engine for a request for av. Without a free slot, it is
// the time in ms until the next request for the eviction victim, less one minute for each
// other load that is pending on the engine.
func (p *central) benefit(e *engine, av units.AdapterVersion) float64 {
	if _, ok := e.resident[av]; ok {
		return residentBenefit - float64(e.requestCount())
	}
	if e.loading[av] || len(p.waiting[e.index][av]) > 0 {
		return loadingBenefit
	}
	queued := 0
	for _, l := range p.pendingLoads {
		if l.engine == e && l.adapter != av {
			queued++
		}
	}
	free := e.slots - len(e.resident) - len(e.loading) - queued
	if free > 0 {
		return freeSlotBenefit + float64(free)
	}
	var next float64
	for resident := range e.resident {
		if e.running[resident] == 0 {
			next = max(next, -urgency(p, e, resident))
		}
	}
	return next - float64(queued)*float64(clock.Minute)
}

func recency(p *central, e *engine, av units.AdapterVersion) float64 {
	return float64(p.lastUsedAt[e.index][av])
}

// urgency is the negative time in ms until the next request for an adapter. Without one, that
// time counts as twice the scenario's duration, which is later than any request.
func urgency(p *central, _ *engine, av units.AdapterVersion) float64 {
	times := p.requestTimes[av]
	next := sort.Search(len(times), func(i int) bool { return times[i] > p.w.now })
	if next == len(times) {
		return -float64(2 * p.w.scenario.Duration)
	}
	return -float64(times[next] - p.w.now)
}
