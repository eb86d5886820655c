package homes

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Reach tells apart the entry VMs of the placer's own region from those of others,
// which get news less often.
type Reach uint8

// Reaches.
const (
	Near Reach = iota
	Far
	reaches
)

// News returns the homes that changed since the last call for a reach, or all of
// them. Loads that changed are added after CallForLoads.
func (p *Placer) News(now clock.Millis, reach Reach, shard string, fence units.Fence, full bool) *peer.Homes {
	p.now = max(p.now, now)
	p.addUp()
	if !full {
		p.sequence[reach]++
	}
	m := &peer.Homes{
		Shard: shard, Fence: fence, Sequence: p.sequence[reach], Full: full, LoadWait: p.loadWait(), EntryVMs: int32(len(p.usage)),
	}
	for _, id := range p.order {
		s := p.servers[id]
		switch {
		case full || s.changed[reach]:
			m.Servers = append(m.Servers, p.homesOf(s))
		case p.loadsDue[reach] && s.told[reach] != s.load():
			m.Servers = append(m.Servers, peer.ServerHomes{Server: s.ID, LoadOnly: true, Active: s.active, Prefill: s.prefill, Tokens: s.tokens})
		default:
			continue
		}
		if !full {
			s.changed[reach], s.told[reach] = false, s.load()
		}
	}
	if !full {
		p.loadsDue[reach] = false
		for _, id := range p.gone[reach] {
			m.Servers = append(m.Servers, peer.ServerHomes{Server: id, Gone: true})
		}
		p.gone[reach] = nil
	}
	return m
}

// Changed reports whether copies have changed since the last News for a reach.
func (p *Placer) Changed(reach Reach) bool {
	if len(p.gone[reach]) > 0 {
		return true
	}
	for _, s := range p.servers {
		if s.changed[reach] {
			return true
		}
	}
	return false
}

// CallForLoads makes the next News for a reach tell of loads.
func (p *Placer) CallForLoads(reach Reach) { p.loadsDue[reach] = true }

func (p *Placer) homesOf(s *server) peer.ServerHomes {
	h := peer.ServerHomes{Server: s.ID, Active: s.active, Prefill: s.prefill, Tokens: s.tokens}
	if s.down {
		return h
	}
	if p.now >= s.modelReadyAt {
		for m := range s.models {
			h.Models = append(h.Models, m)
		}
		sort.Slice(h.Models, func(i, j int) bool { return h.Models[i] < h.Models[j] })
	}
	for adapter, c := range s.copies {
		if c.state != copyLoading && c.state != copyReady {
			continue
		}
		h.Copies = append(h.Copies, peer.HomeCopy{Adapter: adapter, Revision: int64(c.revision), Ready: max(0, c.readyAt-p.now)})
	}
	sort.Slice(h.Copies, func(i, j int) bool { return h.Copies[i].Adapter < h.Copies[j].Adapter })
	return h
}

// loadWait estimates how long a load that is asked for now waits.
func (p *Placer) loadWait() clock.Millis {
	queued := 0
	for _, w := range p.wants {
		if p.now < w.seenAt+wantTerm {
			queued++
		}
	}
	return clock.Millis(float64(queued) / p.maxLoadsInFlight() * float64(p.policy.AdapterLoad))
}
