package homes

import (
	"cmp"
	"math"
	"slices"

	"mangostile/internal/base/units"
)

// crowd is an adapter whose copies can't read the prompts of its requests fast enough.
type crowd struct {
	adapter units.AdapterName
	// waiting is the number of prompt tokens that wait at its copies for its requests, requests the
	// number of these.
	waiting  units.Tokens
	requests int32
	// copies counts those that are ready or loading, overloaded those of them at overloaded servers.
	copies, overloaded int
}

// perCopy returns the prompt tokens that wait for each copy.
func (w *crowd) perCopy() units.Tokens { return w.waiting / units.Tokens(max(1, w.copies)) }

// wanted returns how many copies the waiting requests could use if each has a number of waiting prompt
// tokens. Copies that load already count, since the prompts that wait now stay where they are and say
// nothing of those.
func (w *crowd) wanted(perCopy units.Tokens) int {
	return int(math.Ceil(float64(w.waiting) / float64(perCopy)))
}

// Limits of additional copies.
const (
	// overloadedPrefill is the least number of waiting prompt tokens of an overloaded backend server,
	// idlePrefill the largest of one with spare capacity. An engine reads the first in about a third of
	// the time in which callers expect the first event.
	overloadedPrefill = 12000
	idlePrefill       = 5000
	// queuedOverload is how many times as many tokens wait at an overloaded backend server while the
	// weight store carries no more loads: a copy then delays those of adapters that have none.
	queuedOverload = 2
	// minRequestsToCopy is the least number of requests of an adapter for another copy to be loaded.
	minRequestsToCopy = 4
	// copyShare is the share of the loads in flight that copies may take while requests wait for
	// adapters that no backend server has.
	copyShare = 0.5
)

// overload returns the number of waiting prompt tokens from which on a backend server is overloaded.
func (p *Placer) overload() units.Tokens {
	if p.loadLimit.binds(p.now) {
		return queuedOverload * overloadedPrefill
	}
	return overloadedPrefill
}

// addCopies loads further copies of the adapters in crowds, the largest crowd first, as long as some
// backend server has spare capacity.
func (p *Placer) addCopies(plan *Plan) {
	crowds := p.crowds()
	if len(crowds) == 0 || !p.hasIdle() {
		return
	}
	// Copies take what is free in both limits.
	left := p.maxLoadsInFlight() - float64(p.loadsInFlight())
	if len(p.loadRequests) > 0 {
		left = min(left, copyShare*p.maxLoadsInFlight()-float64(p.copiesInFlight()))
	}
	for i := range crowds {
		w := &crowds[i]
		for w.copies < w.wanted(p.overload()) {
			if p.reviveCopy(w.adapter) {
				w.copies++
				continue
			}
			if left <= 0 {
				return
			}
			if !p.place(plan, loadKey{adapter: w.adapter}, nil, "copy of one that crowds its server") {
				break
			}
			w.copies++
			left--
		}
	}
}

// crowds returns the adapters in crowds in descending order of the prompt tokens for each copy.
func (p *Placer) crowds() []crowd {
	found := map[units.AdapterName]*crowd{}
	for _, id := range p.order {
		s := p.servers[id]
		if s.down || s.waiting() < p.overload() || !s.synced {
			continue
		}
		for adapter, c := range s.copies {
			if c.state == copyReady && c.active > 0 && !p.isOld(adapter, c) {
				found[adapter] = &crowd{adapter: adapter}
			}
		}
	}
	if len(found) == 0 {
		return nil
	}
	for _, s := range p.servers {
		if !s.down {
			p.addToCrowds(found, s)
		}
	}
	list := make([]crowd, 0, len(found))
	for _, w := range found {
		if w.requests >= minRequestsToCopy && w.overloaded == w.copies && w.copies < w.wanted(p.overload()) {
			list = append(list, *w)
		}
	}
	slices.SortFunc(list, func(a, b crowd) int {
		return cmp.Or(cmp.Compare(b.perCopy(), a.perCopy()), cmp.Compare(a.adapter, b.adapter))
	})
	return list
}

// addToCrowds adds the copies at s. The prompts that wait at s count for its adapters in proportion to
// their requests.
func (p *Placer) addToCrowds(found map[units.AdapterName]*crowd, s *server) {
	for adapter, c := range s.copies {
		w := found[adapter]
		if w == nil || c.state != copyReady && c.state != copyLoading || p.isOld(adapter, c) {
			continue
		}
		w.copies++
		if c.state == copyLoading || s.waiting() >= p.overload()/2 {
			w.overloaded++
		}
		w.requests += c.active
		if s.active > 0 {
			w.waiting += units.Tokens(float64(s.waiting()) * float64(c.active) / float64(s.active))
		}
	}
}

// reviveCopy makes a retired copy of an adapter ready again and reports whether there was one.
func (p *Placer) reviveCopy(adapter units.AdapterName) bool {
	for _, id := range p.order {
		s := p.servers[id]
		if c := s.copies[adapter]; c != nil && c.state == copyRetired && s.usable(p.now) && !p.isOld(adapter, c) && p.now >= s.backoffUntil {
			c.state, c.usedAt = copyReady, p.now
			p.index().addServed(s, adapter)
			s.markChanged()
			return true
		}
	}
	return false
}

// copiesInFlight returns the number of loads in flight of adapters that have a ready copy.
func (p *Placer) copiesInFlight() int {
	n := 0
	for _, s := range p.servers {
		for adapter, c := range s.copies {
			if c.state == copyLoading && p.now < c.readyAt && p.readyCopies(adapter) > 0 {
				n++
			}
		}
	}
	return n
}

// hasIdle reports whether some backend server has spare capacity.
func (p *Placer) hasIdle() bool {
	for _, s := range p.servers {
		if s.usable(p.now) && s.waiting() <= idlePrefill {
			return true
		}
	}
	return false
}

// demandPerCopy returns the decayed number of requests for an adapter for each of its copies.
func (p *Placer) demandPerCopy(adapter units.AdapterName) float64 {
	return p.demand.get(p.now, adapter) / float64(max(1, p.readyCopies(adapter)))
}

func (p *Placer) readyCopies(adapter units.AdapterName) int { return p.index().ready[adapter] }
