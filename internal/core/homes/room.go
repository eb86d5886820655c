package homes

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

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
