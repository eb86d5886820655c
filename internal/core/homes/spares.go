package homes

import (
	"sort"

	"mangostile/internal/base/units"
)

// retireSpares keeps one place on each backend server ready for a new adapter, as
// long as adapters are wanted that are nowhere.
func (p *Placer) retireSpares() {
	if p.lastWant == 0 || p.now > p.lastWant+p.policy.Keep*2 {
		return
	}
	for _, id := range p.order {
		s := p.servers[id]
		if !s.synced || len(s.copies)+spares <= s.engine.AdapterSlots {
			continue
		}
		if retired(s) < spares {
			p.retireLeastUsed(s)
		}
	}
}

// spares is the number of places on a backend server that are free or retired.
const spares = 1

func retired(s *server) int {
	n := 0
	for _, c := range s.copies {
		if c.state == copyRetired || c.state == copyUnloading {
			n++
		}
	}
	return n
}

func (p *Placer) retireLeastUsed(s *server) {
	var least *heldCopy
	leastMissed := 0.0
	for _, name := range sortedCopies(s) {
		c := s.copies[name]
		if c.state != copyReady || c.active > 0 || p.now < c.usedAt+idleBeforeRetire {
			continue
		}
		missed := p.demand.of(p.now, name)
		if p.now < c.usedAt+p.policy.Keep {
			missed += recentlyUsed
		}
		if least == nil || missed < leastMissed {
			least, leastMissed = c, missed
		}
	}
	if least != nil {
		p.retire(s, least)
	}
}

// recentlyUsed is added to the popularity of a copy that was used within Keep.
const recentlyUsed = 1

func sortedCopies(s *server) []units.AdapterName {
	names := make([]units.AdapterName, 0, len(s.copies))
	for name := range s.copies {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
