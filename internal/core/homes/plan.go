package homes

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
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
	p.addUp()
	p.settle()
	var plan Plan
	p.askReports(&plan)
	if mayOrder {
		p.loadModels(&plan)
		p.replaceOld(&plan)
		p.serveWants(&plan)
		p.addCopies(&plan)
		p.retireSpares()
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

// send has an order sent to s.
func (p *Placer) send(plan *Plan, s *server, o Order) {
	o.Server, o.Address, o.Expected = s.ID, s.Address, s.orders
	s.waiting, s.orderedAt = true, p.now
	plan.Orders = append(plan.Orders, o)
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
