package trial

import (
	"slices"
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// central is a policy that sees every engine without lag and decides in one
// place. The fields choose among the baselines and the bound.
type central struct {
	w *world
	// choose picks the engine of a request.
	choose func(p *central, c *call) *engine
	// value orders victims: the smallest goes.
	value func(p *central, e *engine, av units.AdapterVersion) float64
	// mostWaiting starts the loads with the most requests waiting first, and
	// chooses their engines at that instant.
	mostWaiting bool
	// waiting holds the requests that wait, by engine and adapter.
	waiting []map[units.AdapterVersion][]*call
	// wanted holds the loads that wait for the store, oldest first.
	wanted []wantedLoad
	usedAt []map[units.AdapterVersion]clock.Millis
	// uses holds the instants of all requests of each adapter.
	uses map[units.AdapterVersion][]clock.Millis
}

type wantedLoad struct {
	engine  *engine
	adapter units.AdapterVersion
}

var _ policy = (*central)(nil)

// newLeastLoaded returns the baseline that sends each request to the engine
// with the fewest requests and evicts the adapter used the longest ago.
func newLeastLoaded() policy { return &central{choose: leastLoaded, value: recency} }

// newAffinity returns the baseline that sends all requests of an adapter to one
// engine by hash and evicts the adapter used the longest ago.
func newAffinity() policy { return &central{choose: home, value: recency} }

// newBound returns the bound that knows the future: it evicts the adapter whose
// next request is the farthest, anywhere, and loads where the most wait.
func newBound() policy { return &central{choose: anywhere, value: soonness, mostWaiting: true} }

func (p *central) start(w *world) {
	p.w = w
	p.uses = map[units.AdapterVersion][]clock.Millis{}
	for range w.engines {
		p.waiting = append(p.waiting, map[units.AdapterVersion][]*call{})
		p.usedAt = append(p.usedAt, map[units.AdapterVersion]clock.Millis{})
	}
	for i := range w.calls {
		c := &w.calls[i]
		p.uses[c.adapter] = append(p.uses[c.adapter], c.at+warmUp)
	}
}

func (p *central) arrived(c *call) {
	e := p.choose(p, c)
	if e == nil {
		p.w.after(clock.Second, func() { p.again(c) })
		return
	}
	p.usedAt[e.index][c.adapter] = p.w.now
	if p.w.run(c, e) {
		return
	}
	p.waiting[e.index][c.adapter] = append(p.waiting[e.index][c.adapter], c)
	p.want(e, c.adapter)
	p.pump()
}

func (p *central) again(c *call) {
	if !c.ended {
		p.arrived(c)
	}
}

func (p *central) want(e *engine, av units.AdapterVersion) {
	load := wantedLoad{e, av}
	if !e.loading[av] && !slices.Contains(p.wanted, load) {
		p.wanted = append(p.wanted, load)
	}
}

// pump starts the loads that the store and the engines have room for.
func (p *central) pump() {
	if p.mostWaiting {
		p.reorder()
	}
	p.wanted = slices.DeleteFunc(p.wanted, func(l wantedLoad) bool {
		if len(p.waiting[l.engine.index][l.adapter]) == 0 {
			return true
		}
		if p.w.inFlight >= p.w.scenario.LoadsInFlight || !l.engine.up {
			return false
		}
		if len(l.engine.resident)+len(l.engine.loading) >= l.engine.slots && !p.evict(l.engine) {
			return false
		}
		return p.w.load(l.engine, l.adapter)
	})
}

func (p *central) reorder() {
	slices.SortStableFunc(p.wanted, func(a, b wantedLoad) int {
		return len(p.waiting[b.engine.index][b.adapter]) - len(p.waiting[a.engine.index][a.adapter])
	})
	for i := range p.wanted {
		l := &p.wanted[i]
		calls := p.waiting[l.engine.index][l.adapter]
		if len(calls) == 0 {
			continue
		}
		delete(p.waiting[l.engine.index], l.adapter)
		from := l.engine
		l.engine = nil
		if l.engine = p.choose(p, calls[0]); l.engine == nil {
			l.engine = from
		}
		p.waiting[l.engine.index][l.adapter] = calls
	}
}

// evict takes the idle adapter of least value off an engine.
func (p *central) evict(e *engine) bool {
	var victim units.AdapterVersion
	best := 0.0
	found := false
	for av := range e.resident {
		if e.running[av] > 0 {
			continue
		}
		value := p.value(p, e, av)
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
		p.want(e, av)
		p.pump()
		return
	}
	for _, c := range p.waiting[e.index][av] {
		if !c.ended {
			p.w.run(c, e)
		}
	}
	delete(p.waiting[e.index], av)
	p.pump()
}

func (p *central) finished(c *call, _ *engine, broken bool) {
	if broken && !c.ended {
		p.arrived(c)
	}
	p.pump()
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
		p.pump()
		return
	}
	p.wanted = slices.DeleteFunc(p.wanted, func(l wantedLoad) bool { return l.engine == e })
	var moved []*call
	for _, calls := range p.waiting[e.index] {
		moved = append(moved, calls...)
	}
	clear(p.waiting[e.index])
	slices.SortFunc(moved, func(a, b *call) int { return int(a.at - b.at) })
	for _, c := range moved {
		p.again(c)
	}
}

func leastLoaded(p *central, _ *call) *engine {
	var best *engine
	for _, e := range p.w.engines {
		if e.up && (best == nil || p.ahead(e) < p.ahead(best)) {
			best = e
		}
	}
	return best
}

// ahead counts the requests that run or wait at an engine.
func (p *central) ahead(e *engine) int {
	n := e.load()
	for _, calls := range p.waiting[e.index] {
		n += len(calls)
	}
	return n
}

func home(p *central, c *call) *engine {
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

// anywhere prefers an engine that has the adapter or is about to, then a free
// slot, then the one whose victim is missed the latest.
func anywhere(p *central, c *call) *engine {
	var best *engine
	bestValue := 0.0
	for _, e := range p.w.engines {
		if !e.up {
			continue
		}
		value := p.worth(e, c.adapter)
		if best == nil || value > bestValue {
			best, bestValue = e, value
		}
	}
	return best
}

// Steps of worth that outweigh any smaller reason.
const (
	residentWorth = 1e12
	loadingWorth  = 1e11
	freeWorth     = 1e10
)

func (p *central) worth(e *engine, av units.AdapterVersion) float64 {
	if _, ok := e.resident[av]; ok {
		return residentWorth - float64(e.load())
	}
	if e.loading[av] || len(p.waiting[e.index][av]) > 0 {
		return loadingWorth
	}
	wanted := 0
	for _, l := range p.wanted {
		if l.engine == e && l.adapter != av {
			wanted++
		}
	}
	free := e.slots - len(e.resident) - len(e.loading) - wanted
	if free > 0 {
		return freeWorth + float64(free)
	}
	var next float64
	for resident := range e.resident {
		if e.running[resident] == 0 {
			next = max(next, -soonness(p, e, resident))
		}
	}
	return next - float64(wanted)*float64(clock.Minute)
}

func recency(p *central, e *engine, av units.AdapterVersion) float64 {
	return float64(p.usedAt[e.index][av])
}

// soonness is greater for an adapter with a request sooner.
func soonness(p *central, _ *engine, av units.AdapterVersion) float64 {
	uses := p.uses[av]
	next := sort.Search(len(uses), func(i int) bool { return uses[i] > p.w.now })
	if next == len(uses) {
		return -float64(2 * p.w.scenario.Duration)
	}
	return -float64(uses[next] - p.w.now)
}
