package homes

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// ReportRequest requests a report from a backend server.
type ReportRequest struct {
	Server  units.BackendServerID
	Address string
}

// Plan holds the orders and report requests to send.
type Plan struct {
	Orders         []Order
	ReportRequests []ReportRequest
}

// Step decides what to do at now. The caller executes the plan at once and passes the
// results to HandleOrderResult, HandleReport or ReportFailed. mayOrder is false while the
// placer may not send orders yet.
func (p *Placer) Step(now clock.Millis, mayOrder bool) Plan {
	p.now = max(p.now, now)
	p.aggregateUsage()
	p.advance()
	p.step.built = false
	var plan Plan
	p.requestReports(&plan)
	if mayOrder {
		p.loadModels(&plan)
		p.replaceOld(&plan)
		p.addCopies(&plan)
		p.serveLoadRequests(&plan)
		p.freeSlots()
	}
	return plan
}

// advance applies the passing of time. It counts a load as complete at its expected end,
// without waiting for a report, and lowers the slowness for it. It takes orders for lost after
// orderAnswerTimeout, drops load requests that were not repeated within loadRequestTTL and prunes
// the demand.
func (p *Placer) advance() {
	for _, s := range p.servers {
		p.showModels(s)
		if s.pending != nil && p.now >= s.orderedAt+orderAnswerTimeout {
			p.HandleOrderResult(p.now, *s.pending, Lost)
		}
		for _, c := range s.copies {
			if c.state == copyLoading && !c.unconfirmed && p.now >= c.readyAt {
				c.state, c.usedAt = copyReady, p.now
				p.finished()
				p.loadLimit.finished(p.now)
			}
		}
	}
	for key, w := range p.loadRequests {
		if p.now > w.receivedAt+loadRequestTTL {
			delete(p.loadRequests, key)
		}
	}
	p.demand.prune(p.now)
}

func (p *Placer) requestReports(plan *Plan) {
	for _, id := range p.order {
		s := p.servers[id]
		if s.reportPending || s.pending != nil || p.now < s.nextReportAt {
			continue
		}
		s.reportPending = true
		s.nextReportAt = p.now + reportPeriod
		plan.ReportRequests = append(plan.ReportRequests, ReportRequest{Server: id, Address: s.Address})
	}
}

// loadsInFlight returns the number of copies that are loading, including those whose order is not
// answered yet. One that has no answer counts for the time of a load.
func (p *Placer) loadsInFlight() int {
	n := 0
	for _, s := range p.servers {
		n += s.loading(p.now)
	}
	return n
}

// loadTimeNow returns the time that a load of an adapter from the weight store now takes.
func (p *Placer) loadTimeNow() clock.Millis { return p.expected(p.policy.AdapterLoad) }

func (p *Placer) maxLoadsInFlight() float64 {
	return p.loadLimit.current(max(minLoadsInFlight, p.policy.LoadsPerServer*float64(len(p.servers))))
}

// send adds an order to s to the plan.
func (p *Placer) send(plan *Plan, s *server, o Order) {
	p.lastOrder++
	o.ID, o.Server, o.Address, o.Expected = p.lastOrder, s.ID, s.Address, s.orders
	s.pending, s.orderedAt = &o, p.now
	plan.Orders = append(plan.Orders, o)
}

// serveLoadRequests loads the adapters for which requests wait, the most urgent first.
func (p *Placer) serveLoadRequests(plan *Plan) {
	inFlight := p.loadsInFlight()
	p.queue.begin(p.now)
	full := false
	for _, w := range p.sortedLoadRequests() {
		if w.Count == 0 && (p.queue.len() > 0 || p.demand.get(p.now, w.Adapter) < minDemandToLoad) {
			continue
		}
		key := loadKey{w.Adapter, w.Software, w.Service}
		if p.hasUsableCopy(key) || p.revive(key) {
			continue
		}
		if full = full || float64(inFlight) >= p.maxLoadsInFlight(); full {
			p.loadLimit.bound(p.now)
			p.queue.add(w)
			continue
		}
		orders := len(plan.Orders)
		if !p.place(plan, key, nil, "wanted") {
			p.queue.add(w)
			continue
		}
		inFlight = p.loadsInFlight()
		if plan.Orders[orders].Kind == OrderLoad {
			p.queue.served(p.now)
		} else {
			p.queue.add(w)
		}
	}
}

// sortedLoadRequests sums up the counts of the load requests and sorts them by urgency, then by
// longer wait and name.
func (p *Placer) sortedLoadRequests() []*loadRequest {
	list := make([]*loadRequest, 0, len(p.loadRequests))
	for _, w := range p.loadRequests {
		w.Count = 0
		for _, n := range w.countByVM {
			w.Count += n
		}
		w.urgency = p.urgency(w)
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *loadRequest) int {
		return cmp.Or(cmp.Compare(b.urgency, a.urgency), cmp.Compare(a.since, b.since), cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Software, b.Software), cmp.Compare(a.Service, b.Service))
	})
	return list
}

// minDemandToLoad is the demand from which an adapter that another region serves is
// also loaded in the own one, unless requests wait for loads.
const minDemandToLoad = 3

// inTime reports whether a load that starts now ends before w's load deadline.
func (p *Placer) inTime(w *loadRequest) bool { return p.now+p.loadTimeNow() <= w.loadDeadline }

// hasUsableCopy reports whether there is a copy for key that can be used now or once loaded.
func (p *Placer) hasUsableCopy(key loadKey) bool { return p.index().served[key] }

// revive makes a retired copy for key ready again and reports whether there was one.
func (p *Placer) revive(key loadKey) bool {
	s := p.index().retired[key]
	if s == nil || s.pending != nil {
		return false
	}
	c := s.copies[key.adapter]
	if c.state == copyRetired {
		c.state = copyReady
	}
	c.usedAt = p.now
	p.step.addServed(s, key.adapter)
	s.markChanged()
	return true
}
