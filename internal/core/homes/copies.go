package homes

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// addCopies loads an adapter once more whose requests pile up at its only copies
// while another backend server has little to do.
func (p *Placer) addCopies(plan *Plan) {
	if float64(p.loadsInFlight()) >= p.maxLoadsInFlight() || p.now < p.copiedAt+p.copyPause() || !p.hasIdle() {
		return
	}
	for _, s := range p.crowded() {
		if name := p.crowding(s); name != "" && p.place(plan, name, s, "copy of one that crowds its server") {
			p.copiedAt = p.now
			return
		}
	}
}

// crowded returns the crowded backend servers, the fullest first.
func (p *Placer) crowded() []*server {
	var list []*server
	for _, id := range p.order {
		if s := p.servers[id]; s.synced && !s.down && s.prefill >= crowdedPrefill {
			list = append(list, s)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].prefill > list[j].prefill })
	return list
}

// Bounds of copies.
const (
	// crowdedPrefill is the number of waiting prompt tokens from which on a backend
	// server is crowded, and idlePrefill that up to which it has little to do.
	crowdedPrefill = 24000
	idlePrefill    = 5000
	// minCrowding is the number of requests at one copy from which on another may
	// be made.
	minCrowding = 4
	// copyPause is the time between two copies for each backend server of the shard:
	// a larger shard has as many more hot adapters to spread.
	copyPause = 2400 * clock.Millis(1)
)

func (p *Placer) copyPause() clock.Millis { return copyPause / clock.Millis(max(1, len(p.servers))) }

func (p *Placer) hasIdle() bool {
	for _, s := range p.servers {
		if s.usable(p.now) && s.prefill <= idlePrefill {
			return true
		}
	}
	return false
}

// crowding returns the adapter with the most requests at s that has no copy at a
// backend server with less to do, empty if there is none.
func (p *Placer) crowding(s *server) units.AdapterName {
	var most units.AdapterName
	for _, name := range sortedCopies(s) {
		c := s.copies[name]
		if c.state != copyReady || c.active < minCrowding || p.isOld(name, c) || most != "" && c.active <= s.copies[most].active {
			continue
		}
		if !p.hasRoomElsewhere(name) {
			most = name
		}
	}
	return most
}

// hasRoomElsewhere reports whether an adapter has a copy, there or on its way, at a
// backend server that is not crowded.
func (p *Placer) hasRoomElsewhere(name units.AdapterName) bool {
	for _, s := range p.servers {
		c := s.copies[name]
		if c != nil && !s.down && (c.state == copyLoading || c.state == copyReady && s.prefill < crowdedPrefill/2) {
			return true
		}
	}
	return false
}
