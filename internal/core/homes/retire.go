package homes

import (
	"sort"

	"mangostile/internal/base/units"
)

// freeSlots retires copies so that each backend server has an adapter slot ready for a
// load, as long as load requests arrive.
func (p *Placer) freeSlots() {
	if p.lastLoadRequestAt == 0 || p.now > p.lastLoadRequestAt+p.policy.EvictionGrace*2 {
		return
	}
	for _, id := range p.order {
		s := p.servers[id]
		if !s.synced || len(s.copies)+reservedSlots <= s.engine.AdapterSlots {
			continue
		}
		if countRetired(s) < reservedSlots {
			p.retireLeastUsed(s)
		}
	}
}

// reservedSlots is the number of adapter slots on a backend server that are kept free or
// retired.
const reservedSlots = 1

// countRetired returns the number of retired and unloading copies on s.
func countRetired(s *server) int {
	n := 0
	for _, c := range s.copies {
		if c.state == copyRetired || c.state == copyUnloading {
			n++
		}
	}
	return n
}

// retireLeastUsed retires the idle copy on s with the least demand, if there is one.
func (p *Placer) retireLeastUsed(s *server) {
	var least *heldCopy
	leastDemand := 0.0
	for _, name := range sortedCopies(s) {
		c := s.copies[name]
		if c.state != copyReady || c.active > 0 || p.now < c.usedAt+idleBeforeRetire {
			continue
		}
		demand := p.demandPerCopy(name)
		if p.now < c.usedAt+p.policy.EvictionGrace {
			demand += recentUseBonus
		}
		if least == nil || demand < leastDemand {
			least, leastDemand = c, demand
		}
	}
	if least != nil {
		p.retire(s, least)
	}
}

// recentUseBonus is added to the demand for a copy that was used within EvictionGrace.
const recentUseBonus = 1

func sortedCopies(s *server) []units.AdapterName {
	names := make([]units.AdapterName, 0, len(s.copies))
	for name := range s.copies {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
