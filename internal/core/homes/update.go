package homes

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/pace"
	"mangostile/internal/core/peer"
)

// Scope is the set of entry VMs to which a placement update is sent: those of the placer's
// region or those of other regions, which receive updates less often.
type Scope uint8

// Scopes.
const (
	SameRegion Scope = iota
	OtherRegions
	scopes
)

// load is the load of a backend server: its requests, their prompt tokens not yet read,
// and all their tokens; and what is published of its pace.
type load struct {
	active  int32
	prefill units.Tokens
	tokens  units.Tokens
	// pace and window are those of its pace.
	pace   pace.Step
	window int32
}

func (s *server) load() load {
	return load{s.active, s.prefill, s.tokens, s.pace.Step, s.pace.Window.Limit()}
}

// Update returns a placement update with up to limit backend servers whose copies changed since
// the last update for the scope; the others follow in the next ones. After IncludeLoads it also
// includes the loads that changed.
func (p *Placer) Update(now clock.Millis, scope Scope, shard string, fence units.Fence, limit int) *peer.PlacementUpdate {
	p.sequence[scope]++
	m := p.newUpdate(now, scope, shard, fence)
	listed := 0
	for i := range p.order {
		// The next update goes on where this one ends, so that all have their turn.
		s := p.servers[p.order[(p.cursor[scope]+i)%len(p.order)]]
		if listed == limit {
			p.cursor[scope] = (p.cursor[scope] + i) % len(p.order)
			break
		}
		switch {
		case s.mustSend(scope):
			m.Servers = append(m.Servers, p.placementOf(s))
			s.hidden[scope], s.changed[scope] = p.now < s.modelReadyAt, false
		case p.includeLoads[scope] && s.lastSent[scope] != s.load():
			m.Servers = append(m.Servers, s.placedLoad())
		default:
			continue
		}
		listed++
		s.lastSent[scope] = s.load()
	}
	if listed < limit {
		p.includeLoads[scope] = false
	}
	for _, id := range p.removed[scope] {
		m.Servers = append(m.Servers, peer.ServerPlacement{Server: id, Removed: true})
	}
	p.removed[scope] = nil
	return m
}

// mustSend reports whether the next update for a scope includes the copies and models of s.
func (s *server) mustSend(scope Scope) bool { return s.heard && s.changed[scope] }

// placedLoad returns the load of s to publish without copies and models.
func (s *server) placedLoad() peer.ServerPlacement {
	return peer.ServerPlacement{Server: s.ID, LoadOnly: true, Active: s.active, Prefill: s.prefill, Tokens: s.tokens, Pace: s.pace.Step, Window: s.pace.Window.Limit()}
}

// FullUpdate returns a placement update with all backend servers, those not heard of yet with their load
// alone. It has the number of the last update and leaves the changes and removed backend servers for the
// next one.
func (p *Placer) FullUpdate(now clock.Millis, scope Scope, shard string, fence units.Fence) *peer.PlacementUpdate {
	m := p.newUpdate(now, scope, shard, fence)
	m.Full = true
	for _, id := range p.order {
		s := p.servers[id]
		if !s.heard {
			m.Servers = append(m.Servers, s.placedLoad())
			continue
		}
		m.Servers = append(m.Servers, p.placementOf(s))
		s.hidden[scope] = s.hidden[scope] || p.now < s.modelReadyAt
	}
	return m
}

func (p *Placer) newUpdate(now clock.Millis, scope Scope, shard string, fence units.Fence) *peer.PlacementUpdate {
	p.now = max(p.now, now)
	p.aggregateUsage()
	p.comparePaces()
	return &peer.PlacementUpdate{Shard: shard, Fence: fence, Sequence: p.sequence[scope], LoadWait: p.loadWait(0), LoadWaits: p.loadWaits(), EntryVMs: int32(len(p.usage))}
}

// Republish makes the next updates for a scope list all backend servers.
func (p *Placer) Republish(scope Scope) {
	for _, s := range p.servers {
		s.changed[scope] = true
	}
}

// Changed reports whether the next update for a scope has placements or removed backend
// servers to send. Changes of loads alone don't count.
func (p *Placer) Changed(scope Scope) bool {
	if len(p.removed[scope]) > 0 {
		return true
	}
	for _, s := range p.servers {
		if s.mustSend(scope) {
			return true
		}
	}
	return false
}

// IncludeLoads makes the next update for a scope include loads.
func (p *Placer) IncludeLoads(scope Scope) { p.includeLoads[scope] = true }

// placementOf returns the placement of s to publish; while s is down it has no models and
// copies.
func (p *Placer) placementOf(s *server) peer.ServerPlacement {
	h := s.placedLoad()
	h.LoadOnly = false
	if s.down {
		return h
	}
	if s.reportedStart > s.StartedAt {
		h.StartedAt = s.reportedStart
	}
	if p.now >= s.modelReadyAt {
		for m := range s.models {
			h.Models = append(h.Models, m)
		}
		sort.Slice(h.Models, func(i, j int) bool { return h.Models[i] < h.Models[j] })
	}
	for adapter, c := range s.copies {
		if c.state != copyLoading && c.state != copyReady || c.unconfirmed {
			continue
		}
		h.Copies = append(h.Copies, peer.PlacedCopy{Adapter: adapter, Revision: int64(c.revision), Ready: max(0, c.readyAt-p.now)})
	}
	sort.Slice(h.Copies, func(i, j int) bool { return h.Copies[i].Adapter < h.Copies[j].Adapter })
	return h
}

// showModels marks s as changed for the scopes to which it was sent without models whose load is over
// now.
func (p *Placer) showModels(s *server) {
	if p.now < s.modelReadyAt {
		return
	}
	for scope, hidden := range s.hidden {
		s.changed[scope] = s.changed[scope] || hidden
		s.hidden[scope] = false
	}
}
