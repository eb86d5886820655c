package homes

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// place loads an adapter on the best backend server for key other than exclude, or unloads another
// adapter there if it has no free capacity. It reports whether it added an order to plan.
func (p *Placer) place(plan *Plan, key loadKey, exclude *server, reason string) bool {
	adapter := key.adapter
	model := topo.ModelOf(adapter)
	var best *server
	var bestVictim units.AdapterName
	bestScore := 0.0
	slots := p.index().slots
	for i := range slots {
		s := slots[i].server
		if s == exclude || !key.allows(s) || s.pending != nil || !s.models[model] || s.copies[adapter] != nil {
			continue
		}
		victim, victimDemand, ok := p.findSlot(&slots[i], adapter)
		if !ok {
			continue
		}
		score := (1+p.fullness(s))*s.pace.Step.Factor() + victimDemand + lostOrderWeight*float64(min(s.lostOrders, maxLostOrders))
		if _, held := s.cached[adapter]; held {
			score -= cachedBonus
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
	p.step.addServed(best, adapter)
	best.copies[adapter] = &heldCopy{state: copyLoading, revision: p.newestRevision(adapter), readyAt: p.now + p.loadTimeNow(), usedAt: p.now, unconfirmed: true}
	p.send(plan, best, Order{Kind: OrderLoad, Model: model, Adapter: adapter, Revision: p.newestRevision(adapter), Reason: reason})
	return true
}

// cachedBonus is the number of requests by which a backend server with cached weights of
// the adapter may be fuller than another and still be preferred: the load is faster by
// cachedSpeedup and reads nothing from the weight store.
const cachedBonus = 12

// fullness returns the weighted sum of the requests and loads at a backend server.
func (p *Placer) fullness(s *server) float64 {
	return float64(s.active) + loadWeight*float64(s.loading(p.now)) + float64(s.prefill)/prefillPerRequest
}

const (
	// lostOrderWeight is the number of requests by which a backend server that left an order without
	// an answer counts as fuller: requests that wait for a load there lose the time of an order and
	// that until the next report. maxLostOrders bounds it, so that the server is tried again.
	lostOrderWeight = 10
	maxLostOrders   = 4
)

// Weights of fullness: a load counts as loadWeight requests, and prefillPerRequest waiting
// prompt tokens count as one request.
const (
	loadWeight        = 2
	prefillPerRequest = 2000
)

// findSlot finds an adapter slot for an adapter: a free one, or that of victim, for which the
// demand is demand.
func (p *Placer) findSlot(slot *slot, adapter units.AdapterName) (victim units.AdapterName, demand float64, ok bool) {
	s := slot.server
	if slot.free && p.fits(s, adapter) {
		return "", 0, true
	}
	if slot.victim != "" && !p.isVictim(s.copies[slot.victim]) {
		// It was made ready again earlier in the step.
		slot.victim, slot.demand = p.victim(s)
	}
	return slot.victim, slot.demand, slot.victim != ""
}

// fits reports whether s has memory for the weights of one more adapter.
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
