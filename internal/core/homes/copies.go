package homes

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// addCopies loads another copy of an adapter whose copies are all on overloaded backend
// servers, if some backend server has spare capacity. It adds at most one order: the load
// or, if there is no free capacity for it, the unload of a retired copy.
func (p *Placer) addCopies(plan *Plan) {
	if float64(p.loadsInFlight()) >= p.maxLoadsInFlight() || p.now < p.lastCopyAt+p.copyPeriod() || !p.hasIdle() {
		return
	}
	for _, s := range p.overloaded() {
		if name := p.busiestAdapter(s); name != "" && p.place(plan, loadKey{adapter: name}, s, "copy of one that crowds its server") {
			p.lastCopyAt = p.now
			return
		}
	}
}

// overloaded returns the overloaded backend servers in descending order of waiting prompt
// tokens.
func (p *Placer) overloaded() []*server {
	var list []*server
	for _, id := range p.order {
		if s := p.servers[id]; s.synced && !s.down && s.prefill >= overloadedPrefill {
			list = append(list, s)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].prefill > list[j].prefill })
	return list
}

// Limits of additional copies.
const (
	// overloadedPrefill is the least number of waiting prompt tokens of an overloaded
	// backend server, idlePrefill the largest of one with spare capacity.
	overloadedPrefill = 24000
	idlePrefill       = 5000
	// minRequestsToCopy is the least number of requests at one copy for another to be
	// loaded.
	minRequestsToCopy = 4
	// copyPeriod is the least time between two orders of addCopies in a shard with a
	// single backend server. It is divided by the number of backend servers, since a
	// larger shard has proportionally more hot adapters to spread.
	copyPeriod = 2400 * clock.Millis(1)
)

func (p *Placer) copyPeriod() clock.Millis { return copyPeriod / clock.Millis(max(1, len(p.servers))) }

// hasIdle reports whether some backend server has spare capacity.
func (p *Placer) hasIdle() bool {
	for _, s := range p.servers {
		if s.usable(p.now) && s.prefill <= idlePrefill {
			return true
		}
	}
	return false
}

// busiestAdapter returns the adapter with the most requests at s, at least
// minRequestsToCopy, for which hasCopyWithCapacity is false; empty if there is none.
func (p *Placer) busiestAdapter(s *server) units.AdapterName {
	var most units.AdapterName
	for _, name := range sortedCopies(s) {
		c := s.copies[name]
		if c.state != copyReady || c.active < minRequestsToCopy || p.isOld(name, c) || most != "" && c.active <= s.copies[most].active {
			continue
		}
		if !p.hasCopyWithCapacity(name) {
			most = name
		}
	}
	return most
}

// hasCopyWithCapacity reports whether an adapter is loading on any backend server or has a
// copy on one with fewer waiting prompt tokens than half of overloadedPrefill.
func (p *Placer) hasCopyWithCapacity(name units.AdapterName) bool {
	for _, s := range p.servers {
		c := s.copies[name]
		if c != nil && !s.down && (c.state == copyLoading || c.state == copyReady && s.prefill < overloadedPrefill/2) {
			return true
		}
	}
	return false
}
