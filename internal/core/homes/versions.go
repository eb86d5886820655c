package homes

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

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
