package owner

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// handoverTTL is how long a handover is kept for a server that is not claimed yet.
const handoverTTL = 5 * clock.Second

// receivedHandover is a handover and the time it was received.
type receivedHandover struct {
	peer.Handover
	receivedAt clock.Millis
}

// sendHandover sends the live grants of a server that is no longer assigned to this owner
// to its next owner. The caller must give no grants on it afterwards.
func (o *Owner) sendHandover(s *server, out *event.Effects) {
	if o.NextOwner == nil || !s.spec.ChecksFence || s.phase != phaseOwned {
		return
	}
	next := o.NextOwner(s.id())
	if next == "" || next == o.Self {
		return
	}
	m := &peer.Handover{Server: s.id(), Fence: s.fence}
	for _, g := range s.grants {
		m.Grants = append(m.Grants, peer.HandedGrant{Holder: g.holder, HeldGrant: peer.HeldGrant{
			Request: g.request, Attempt: g.attempt, Server: s.id(), Adapter: g.adapter, Grant: g.number,
		}})
	}
	slices.SortFunc(m.Grants, func(a, b peer.HandedGrant) int { return cmp.Compare(a.Grant, b.Grant) })
	out.Add(event.SendPeer{To: next, Message: m})
}

// ReceiveHandover stores a handover from a server's earlier owner and applies it if
// possible. The handover may arrive before the server is assigned to this owner.
func (o *Owner) ReceiveHandover(now clock.Millis, m *peer.Handover) {
	if o.handovers == nil {
		o.handovers = map[units.BackendServerID]receivedHandover{}
	}
	for id, h := range o.handovers {
		if now-h.receivedAt >= handoverTTL {
			delete(o.handovers, id)
		}
	}
	o.handovers[m.Server] = receivedHandover{*m, now}
	if s := o.servers[m.Server]; s != nil {
		o.applyHandover(now, s)
	}
}

// applyHandover adopts the grants of the earlier owner if its fencing number is the one
// directly before ours. Then no other owner has given grants in between, the earlier one
// gives no more, and the engine refuses its late orders. Evictions then only need a
// report that shows which adapters are idle.
func (o *Owner) applyHandover(now clock.Millis, s *server) {
	h, ok := o.handovers[s.id()]
	if !ok || s.phase != phaseOwned || s.fence != h.Fence+1 || now-h.receivedAt >= handoverTTL {
		return
	}
	delete(o.handovers, s.id())
	for i := range h.Grants {
		g := &h.Grants[i]
		if s.grants[g.Grant] == nil {
			s.adoptGrant(g.Holder, &g.HeldGrant).until = now + GrantTerm
		}
	}
	s.noEvictUntil = min(s.noEvictUntil, now)
}
