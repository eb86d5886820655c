package homes

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// newestRevision returns the announced revision of an adapter, or 0, which loads the
// newest one in the weight store.
func (p *Placer) newestRevision(adapter units.AdapterName) topo.AdapterRevision {
	return p.announced[adapter].Newest()
}

// isOld reports whether c is older than the announced version.
func (p *Placer) isOld(adapter units.AdapterName, c *heldCopy) bool {
	return c.revision < p.newestRevision(adapter)
}

// replaceOld replaces copies of old versions.
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

// replace replaces an old copy. While it is in use and versionGrace has not passed, the new
// version is loaded on another backend server if there is enough demand, and the old copy
// is retired as soon as a new one is ready. Once it is idle or versionGrace has passed, the
// new version is loaded over it, unloadDelay after its retirement if it is still in use. An
// idle copy with too little demand is retired and, unloadDelay later, unloaded instead.
func (p *Placer) replace(plan *Plan, s *server, adapter units.AdapterName, c *heldCopy) {
	popular := p.demand.get(p.now, adapter) >= minDemandToReplace
	replacedAt, _ := p.announced[adapter].ReplacedAt(c.revision)
	late := p.now >= replacedAt+versionGrace
	if c.active > 0 && !late {
		if popular && !p.hasNewer(adapter) {
			p.place(plan, loadKey{adapter: adapter}, s, "new version beside the old one")
		}
		if p.hasNewerReady(adapter) {
			p.retire(s, c)
		}
		return
	}
	if c.active == 0 && !popular {
		p.retire(s, c)
		if p.now >= c.retiredAt+unloadDelay {
			p.send(plan, s, Order{Kind: OrderUnload, Model: topo.ModelOf(adapter), Adapter: adapter, Reason: "old version, not asked for"})
		}
		return
	}
	if c.state == copyReady && c.active > 0 {
		p.retire(s, c)
	}
	if c.active > 0 && p.now < c.retiredAt+unloadDelay {
		return
	}
	if s.loading(p.now) >= maxLoadsPerServer {
		return
	}
	p.send(plan, s, Order{Kind: OrderLoad, Model: topo.ModelOf(adapter), Adapter: adapter, Revision: p.newestRevision(adapter), Reason: "new version over the old one"})
}

// minDemandToReplace is the demand from which the new version of an adapter is loaded
// before it is requested again.
const minDemandToReplace = 0.7

func (p *Placer) hasNewer(adapter units.AdapterName) bool { return p.newer(adapter, false) }

func (p *Placer) hasNewerReady(adapter units.AdapterName) bool { return p.newer(adapter, true) }

// newer reports whether an adapter has a copy of the announced version, which must be loaded
// if ready is true.
func (p *Placer) newer(adapter units.AdapterName, ready bool) bool {
	for _, s := range p.servers {
		c := s.copies[adapter]
		if c != nil && !p.isOld(adapter, c) && (c.state == copyReady || c.state == copyLoading && !ready) {
			return true
		}
	}
	return false
}

// retire makes entry VMs stop using a ready copy, so that it becomes idle before it is
// unloaded or overwritten. It has no effect on a copy in any other state: one that is
// already retired keeps its retiredAt, from which unloadDelay counts.
func (p *Placer) retire(s *server, c *heldCopy) {
	if c.state == copyReady {
		c.state, c.retiredAt = copyRetired, p.now
		s.markChanged()
	}
}
