package homes

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// Ask is a backend server that is to be asked for its report.
type Ask struct {
	Server  units.BackendServerID
	Address string
}

// Plan holds what a Placer wants done.
type Plan struct {
	Orders []Order
	Asks   []Ask
}

// Step decides what to do at an instant. The caller carries the plan out at once
// and reports with Ordered, Reported or ReportFailed. mayOrder is false while the
// right to order has not begun.
func (p *Placer) Step(now clock.Millis, mayOrder bool) Plan {
	p.now = max(p.now, now)
	p.settle()
	var plan Plan
	p.askReports(&plan)
	if mayOrder {
		p.loadModels(&plan)
		p.replaceOld(&plan)
		p.serveWants(&plan)
		p.addCopies(&plan)
		p.retireSpares(&plan)
	}
	return plan
}

// settle lets time pass: loads end, wants lapse.
func (p *Placer) settle() {
	for _, s := range p.servers {
		for _, c := range s.copies {
			if c.state == copyLoading && p.now >= c.readyAt {
				c.state, c.usedAt = copyReady, p.now
				p.slowness = max(1, p.slowness*fasterBy)
			}
		}
	}
	for adapter, w := range p.wants {
		if p.now > w.seenAt+wantTerm {
			delete(p.wants, adapter)
		}
	}
	p.demand.prune(p.now)
}

func (p *Placer) askReports(plan *Plan) {
	for _, id := range p.order {
		s := p.servers[id]
		if s.reporting || s.waiting || p.now < s.reportAt {
			continue
		}
		s.reporting = true
		s.reportAt = p.now + reportPeriod
		plan.Asks = append(plan.Asks, Ask{Server: id, Address: s.Address})
	}
}

func (p *Placer) loadsInFlight() int {
	n := 0
	for _, s := range p.servers {
		n += s.loading(p.now)
		if s.waiting {
			n++
		}
	}
	return n
}

func (p *Placer) maxLoadsInFlight() float64 {
	return max(minLoadsInFlight, p.policy.LoadsPerServer*float64(len(p.servers)))
}

// order sends an order to s.
func (p *Placer) send(plan *Plan, s *server, o Order) {
	o.Server, o.Address, o.Expected = s.ID, s.Address, s.orders
	s.waiting, s.orderedAt = true, p.now
	plan.Orders = append(plan.Orders, o)
}

// modelBudget bounds loads of models from the weight store. The zero value allows
// a first load at once.
type modelBudget struct {
	nextAt clock.Millis
}

// take reports whether a load may begin.
func (b *modelBudget) take(now clock.Millis, perSecond float64) bool {
	if now < b.nextAt {
		return false
	}
	if perSecond > 0 {
		b.nextAt = now + clock.Millis(modelLoadSpacing*float64(clock.Second)/perSecond)
	}
	return true
}

// modelLoadSpacing stretches the time between two loads of models, since the
// placers of other shards load from the same weight store.
const modelLoadSpacing = 2

// loadModels gives a model to backend servers that hold none.
func (p *Placer) loadModels(plan *Plan) {
	for _, id := range p.order {
		s := p.servers[id]
		if !s.usable(p.now) || len(s.models) > 0 || len(s.engine.Models) == 0 || !p.models.take(p.now, s.engine.LoadsPerSecond) {
			continue
		}
		model := p.scarcestModel(s.engine)
		if model.WeightMB > s.engine.WeightMB {
			continue
		}
		p.send(plan, s, Order{Kind: OrderLoad, Model: model.Name, Reason: "holds no model"})
	}
}

// scarcestModel returns the model with the most demand for each backend server
// that holds it.
func (p *Placer) scarcestModel(engine *topo.Engine) *topo.Model {
	demand := map[units.ModelName]float64{}
	for adapter, c := range p.demand.counts {
		demand[topo.ModelOf(adapter)] += c.value(p.now)
	}
	best, bestNeed := &engine.Models[0], -1.0
	for i := range engine.Models {
		m := &engine.Models[i]
		holders := 0
		for _, s := range p.servers {
			if s.models[m.Name] {
				holders++
			}
		}
		if need := (demand[m.Name] + 1) / float64(holders+1); need > bestNeed {
			best, bestNeed = m, need
		}
	}
	return best
}

// newest returns the revision that a load of an adapter should bring, 0 for the
// newest that the weight store has.
func (p *Placer) newest(adapter units.AdapterName) topo.AdapterRevision {
	return p.revision[adapter].revision
}

// isOld reports whether c is older than a version that was named.
func (p *Placer) isOld(adapter units.AdapterName, c *heldCopy) bool {
	return c.revision < p.revision[adapter].revision
}

// replaceOld brings the newest version of adapters whose older one is held.
func (p *Placer) replaceOld(plan *Plan) {
	for _, id := range p.order {
		s := p.servers[id]
		for _, adapter := range sortedCopies(s) {
			c := s.copies[adapter]
			if !p.isOld(adapter, c) || c.state == copyUnloading || c.state == copyLoading || !s.usable(p.now) {
				continue
			}
			p.replace(plan, s, adapter, c)
		}
	}
}

// replace takes an old copy out of use as soon as a newer one stands ready
// elsewhere, and loads the new version over it once it is idle or time runs out.
func (p *Placer) replace(plan *Plan, s *server, adapter units.AdapterName, c *heldCopy) {
	popular := p.demand.of(p.now, adapter) >= worthCopying
	late := p.now >= p.revision[adapter].at+versionGrace
	if c.active > 0 && !late {
		if popular && !p.hasNewer(adapter) {
			p.place(plan, adapter, s, "new version beside the old one")
		}
		if p.hasNewerReady(adapter) {
			p.retire(s, c)
		}
		return
	}
	if c.active == 0 && !popular {
		p.retire(s, c)
		if p.now >= c.retiredAt+retireNotice {
			p.send(plan, s, Order{Kind: OrderUnload, Model: topo.ModelOf(adapter), Adapter: adapter, Reason: "old version, not asked for"})
		}
		return
	}
	if c.state == copyReady && c.active > 0 {
		p.retire(s, c)
	}
	if c.active > 0 && p.now < c.retiredAt+retireNotice {
		return
	}
	if s.loading(p.now) >= maxLoadsPerServer {
		return
	}
	p.send(plan, s, Order{Kind: OrderLoad, Model: topo.ModelOf(adapter), Adapter: adapter, Revision: p.newest(adapter), Reason: "new version over the old one"})
}

// worthCopying is the count of recent requests from which on an adapter is loaded
// before it is asked for again.
const worthCopying = 0.7

func (p *Placer) hasNewer(adapter units.AdapterName) bool { return p.newer(adapter, false) }

func (p *Placer) hasNewerReady(adapter units.AdapterName) bool { return p.newer(adapter, true) }

func (p *Placer) newer(adapter units.AdapterName, ready bool) bool {
	for _, s := range p.servers {
		c := s.copies[adapter]
		if c != nil && !p.isOld(adapter, c) && (c.state == copyReady || c.state == copyLoading && !ready) {
			return true
		}
	}
	return false
}

func (p *Placer) retire(s *server, c *heldCopy) {
	if c.state == copyReady {
		c.state, c.retiredAt = copyRetired, p.now
		s.change()
	}
}

// serveWants loads adapters that requests wait for. Those whose requests can still
// be in time come first: oldest first, all would be late once more are wanted than
// can be loaded.
func (p *Placer) serveWants(plan *Plan) {
	for _, w := range p.sortedWants() {
		if w.Count == 0 && p.demand.of(p.now, w.Adapter) < worthFetching {
			continue
		}
		if p.heldAnywhere(w.Adapter) || p.revive(w.Adapter) {
			continue
		}
		if float64(p.loadsInFlight()) >= p.maxLoadsInFlight() {
			return
		}
		p.place(plan, w.Adapter, nil, "wanted")
	}
}

func (p *Placer) sortedWants() []*want {
	list := make([]*want, 0, len(p.wants))
	for _, w := range p.wants {
		w.Count = 0
		for _, n := range w.from {
			w.Count += n
		}
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i], list[j]
		if inTimeA, inTimeB := p.inTime(a), p.inTime(b); inTimeA != inTimeB {
			return inTimeA
		}
		if a.Count != b.Count {
			return a.Count > b.Count
		}
		if a.since != b.since {
			return a.since < b.since
		}
		return a.Adapter < b.Adapter
	})
	return list
}

// worthFetching is the count of recent requests from which on an adapter that
// another region serves is loaded in the own one as well.
const worthFetching = 3

// inTime reports whether a load that begins now ends in time for w.
func (p *Placer) inTime(w *want) bool { return p.now+p.policy.AdapterLoad <= w.inTimeUntil }

// heldAnywhere reports whether an adapter can be used now or soon.
func (p *Placer) heldAnywhere(adapter units.AdapterName) bool {
	for _, s := range p.servers {
		if s.down {
			continue
		}
		c := s.copies[adapter]
		if c != nil && !s.Draining && s.Leaves == 0 && (c.state == copyReady || c.state == copyLoading) && !p.isOld(adapter, c) {
			return true
		}
		if s.waiting && c != nil && c.state == copyLoading {
			return true
		}
	}
	return false
}

// revive takes a retired copy into use again.
func (p *Placer) revive(adapter units.AdapterName) bool {
	for _, id := range p.order {
		s := p.servers[id]
		c := s.copies[adapter]
		if c != nil && c.state == copyRetired && !s.waiting && !p.isOld(adapter, c) && s.usable(p.now) {
			c.state, c.usedAt = copyReady, p.now
			s.change()
			return true
		}
	}
	return false
}

// place loads an adapter on the best backend server other than not. It reports
// whether an order was sent.
func (p *Placer) place(plan *Plan, adapter units.AdapterName, not *server, reason string) bool {
	model := topo.ModelOf(adapter)
	var best *server
	var bestVictim units.AdapterName
	bestScore := 0.0
	for _, id := range p.order {
		s := p.servers[id]
		if s == not || !s.usable(p.now) || !s.models[model] || s.copies[adapter] != nil || s.loading(p.now) >= maxLoadsPerServer {
			continue
		}
		victim, missed, ok := p.room(s, adapter)
		if !ok {
			continue
		}
		score := p.fullness(s) + missed
		if _, held := s.held[adapter]; held {
			score -= reuseBonus
		}
		if best == nil || score < bestScore {
			best, bestVictim, bestScore = s, victim, score
		}
	}
	if best == nil {
		return false
	}
	if bestVictim != "" {
		p.send(plan, best, Order{Kind: OrderUnload, Model: topo.ModelOf(bestVictim), Adapter: bestVictim, Reason: "makes room for " + string(adapter)})
		return true
	}
	best.copies[adapter] = &heldCopy{state: copyLoading, revision: p.newest(adapter), readyAt: p.now + p.policy.AdapterLoad, usedAt: p.now}
	p.send(plan, best, Order{Kind: OrderLoad, Model: model, Adapter: adapter, Revision: p.newest(adapter), Reason: reason})
	return true
}

// reuseBonus makes a backend server that keeps an adapter in its memory win over
// one with so many fewer requests: the load takes a tenth of the time and nothing
// comes from the weight store.
const reuseBonus = 12

// fullness weighs the requests and loads at a backend server.
func (p *Placer) fullness(s *server) float64 {
	return float64(s.active) + loadWeight*float64(s.loading(p.now)) + float64(s.prefill)/prefillPerRequest
}

// Weights of fullness: a load counts as loadWeight requests, prefillPerRequest
// waiting prompt tokens as one.
const (
	loadWeight        = 2
	prefillPerRequest = 2000
)

// room finds a place for an adapter at s: a free one, or that of a retired copy
// that is missed the least. missed is the popularity of that copy.
func (p *Placer) room(s *server, adapter units.AdapterName) (victim units.AdapterName, missed float64, ok bool) {
	if len(s.copies) < s.engine.AdapterSlots && p.fits(s, adapter) {
		return "", 0, true
	}
	for _, name := range sortedCopies(s) {
		c := s.copies[name]
		if c.state != copyRetired || c.active > 0 || p.now < c.retiredAt+retireNotice {
			continue
		}
		if m := p.demand.of(p.now, name); !ok || m < missed {
			victim, missed, ok = name, m, true
		}
	}
	return victim, missed, ok
}

// fits reports whether the weights of one more adapter find room beside those
// that are held.
func (p *Placer) fits(s *server, adapter units.AdapterName) bool {
	total := 0.0
	for m := range s.models {
		if model := s.engine.Model(m); model != nil {
			total += model.WeightMB
		}
	}
	for name := range s.copies {
		total += adapterMB(s.engine, name)
	}
	return total+adapterMB(s.engine, adapter) <= s.engine.WeightMB
}

func adapterMB(engine *topo.Engine, adapter units.AdapterName) float64 {
	if model := engine.Model(topo.ModelOf(adapter)); model != nil {
		return model.AdapterMB
	}
	return 0
}

// addCopies loads an adapter once more whose requests pile up at its only copies
// while another backend server has little to do.
func (p *Placer) addCopies(plan *Plan) {
	if float64(p.loadsInFlight()) >= p.maxLoadsInFlight() || p.now < p.copiedAt+p.copyPause() || !p.hasIdle() {
		return
	}
	for _, s := range p.crowded() {
		if name := p.crowding(s); name != "" && p.place(plan, name, s, "copy of one that crowds its server") {
			p.copiedAt = p.now
			return
		}
	}
}

// crowded returns the crowded backend servers, the fullest first.
func (p *Placer) crowded() []*server {
	var list []*server
	for _, id := range p.order {
		if s := p.servers[id]; s.synced && !s.down && s.prefill >= crowdedPrefill {
			list = append(list, s)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].prefill > list[j].prefill })
	return list
}

// Bounds of copies.
const (
	// crowdedPrefill is the number of waiting prompt tokens from which on a backend
	// server is crowded, and idlePrefill that up to which it has little to do.
	crowdedPrefill = 24000
	idlePrefill    = 5000
	// minCrowding is the number of requests at one copy from which on another may
	// be made.
	minCrowding = 4
	// copyPause is the time between two copies for each backend server of the shard:
	// a larger shard has as many more hot adapters to spread.
	copyPause = 2400 * clock.Millis(1)
)

func (p *Placer) copyPause() clock.Millis { return copyPause / clock.Millis(max(1, len(p.servers))) }

func (p *Placer) hasIdle() bool {
	for _, s := range p.servers {
		if s.usable(p.now) && s.prefill <= idlePrefill {
			return true
		}
	}
	return false
}

// crowding returns the adapter with the most requests at s that has no copy at a
// backend server with less to do, empty if there is none.
func (p *Placer) crowding(s *server) units.AdapterName {
	var most units.AdapterName
	for _, name := range sortedCopies(s) {
		c := s.copies[name]
		if c.state != copyReady || c.active < minCrowding || p.isOld(name, c) || most != "" && c.active <= s.copies[most].active {
			continue
		}
		if !p.hasRoomElsewhere(name) {
			most = name
		}
	}
	return most
}

// hasRoomElsewhere reports whether an adapter has a copy, there or on its way, at a
// backend server that is not crowded.
func (p *Placer) hasRoomElsewhere(name units.AdapterName) bool {
	for _, s := range p.servers {
		c := s.copies[name]
		if c != nil && !s.down && (c.state == copyLoading || c.state == copyReady && s.prefill < crowdedPrefill/2) {
			return true
		}
	}
	return false
}

// retireSpares keeps one place on each backend server ready for a new adapter, as
// long as adapters are wanted that are nowhere.
func (p *Placer) retireSpares(_ *Plan) {
	if p.lastWant == 0 || p.now > p.lastWant+p.policy.Keep*2 {
		return
	}
	for _, id := range p.order {
		s := p.servers[id]
		if !s.synced || len(s.copies)+spares <= s.engine.AdapterSlots {
			continue
		}
		if retired(s) < spares {
			p.retireLeastUsed(s)
		}
	}
}

// spares is the number of places on a backend server that are free or retired.
const spares = 1

func retired(s *server) int {
	n := 0
	for _, c := range s.copies {
		if c.state == copyRetired || c.state == copyUnloading {
			n++
		}
	}
	return n
}

func (p *Placer) retireLeastUsed(s *server) {
	var least *heldCopy
	leastMissed := 0.0
	for _, name := range sortedCopies(s) {
		c := s.copies[name]
		if c.state != copyReady || c.active > 0 || p.now < c.usedAt+idleBeforeRetire {
			continue
		}
		missed := p.demand.of(p.now, name)
		if p.now < c.usedAt+p.policy.Keep {
			missed += recentlyUsed
		}
		if least == nil || missed < leastMissed {
			least, leastMissed = c, missed
		}
	}
	if least != nil {
		p.retire(s, least)
	}
}

// recentlyUsed is added to the popularity of a copy that was used within Keep.
const recentlyUsed = 1

func sortedCopies(s *server) []units.AdapterName {
	names := make([]units.AdapterName, 0, len(s.copies))
	for name := range s.copies {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
