package homes

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// modelBudget limits the rate of model loads from the weight store. The zero value allows
// a first load at once.
type modelBudget struct {
	nextAt clock.Millis
}

// ready reports whether a load may start.
func (b *modelBudget) ready(now clock.Millis) bool { return now >= b.nextAt }

// take reports whether a load may start and, if so, consumes it.
func (b *modelBudget) take(now clock.Millis, perSecond float64) bool {
	if !b.ready(now) {
		return false
	}
	if perSecond > 0 {
		b.nextAt = now + clock.Millis(modelLoadSpacing*float64(clock.Second)/perSecond)
	}
	return true
}

// giveBack returns a load that was not begun.
func (b *modelBudget) giveBack(now clock.Millis) { b.nextAt = now }

// modelLoadSpacing multiplies the time between two model loads, since the placers of
// other shards load from the same weight store.
const modelLoadSpacing = 2

// loadModels orders a model load on backend servers that hold none. One whose weights a server has kept
// reads nothing from the weight store, so that a restarted server gets it at once.
func (p *Placer) loadModels(plan *Plan) {
	for _, id := range p.order {
		s := p.servers[id]
		if !s.usable(p.now) || len(s.models) > 0 || p.now < s.refusedUntil || len(s.engine.Models) == 0 {
			continue
		}
		if len(s.onDisk)+len(s.inMemory) == 0 && !p.models.ready(p.now) {
			continue
		}
		model := p.scarcestModel(s.engine)
		if model.WeightMB > s.engine.WeightMB || !s.keeps(model.Name) && !p.models.take(p.now, s.engine.LoadsPerSecond) {
			continue
		}
		p.send(plan, s, Order{Kind: OrderLoad, Model: model.Name, Reason: "holds no model"})
	}
}

// keeps reports whether s has kept the weights of a model.
func (s *server) keeps(model units.ModelName) bool {
	return slices.Contains(s.onDisk, model) || slices.Contains(s.inMemory, model)
}

// modelLoad returns the time in ms of a load of a model at s.
func (s *server) modelLoad(m *topo.Model) clock.Millis {
	switch {
	case m.MemoryLoad > 0 && slices.Contains(s.inMemory, m.Name):
		return m.MemoryLoad
	case m.DiskLoad > 0 && slices.Contains(s.onDisk, m.Name):
		return m.DiskLoad
	default:
		return m.Load
	}
}

// scarcestModel returns the model with the highest demand per backend server that holds
// it.
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
