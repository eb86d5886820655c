package owner

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// handoverTerm is how long a handover is kept for a server that is not claimed
// yet.
const handoverTerm = 5 * clock.Second

// handed is a handover that came.
type handed struct {
	peer.Handover
	at clock.Millis
}

// handOver tells the next owner of a server that is given up which grants hold.
// Nothing is granted on it here from now on.
func (o *Owner) handOver(s *server, out *event.Effects) {
	if o.Heir == nil || !s.spec.ChecksFence || s.phase != phaseOwned {
		return
	}
	heir := o.Heir(s.id())
	if heir == "" || heir == o.Self {
		return
	}
	m := &peer.Handover{Server: s.id(), Fence: s.fence}
	for _, g := range s.grants {
		m.Grants = append(m.Grants, peer.HandedGrant{Holder: g.holder, HeldGrant: peer.HeldGrant{
			Request: g.request, Attempt: g.attempt, Server: s.id(), Adapter: g.adapter, Grant: g.number,
		}})
	}
	slices.SortFunc(m.Grants, func(a, b peer.HandedGrant) int { return cmp.Compare(a.Grant, b.Grant) })
	out.Add(event.SendPeer{To: heir, Message: m})
}

// HandedOver takes the word of a server's earlier owner, which may come before
// the server is taken up here.
func (o *Owner) HandedOver(now clock.Millis, m *peer.Handover) {
	if o.handed == nil {
		o.handed = map[units.BackendServerID]handed{}
	}
	for id, h := range o.handed {
		if now-h.at >= handoverTerm {
			delete(o.handed, id)
		}
	}
	o.handed[m.Server] = handed{*m, now}
	if s := o.servers[m.Server]; s != nil {
		o.inherit(now, s)
	}
}

// inherit takes the grants of the earlier owner over, if its fencing number was
// the one right before ours: then nobody has granted in between, it grants no
// more, and the engine refuses its late orders. Nothing is left to wait for but a
// report that shows what is idle.
func (o *Owner) inherit(now clock.Millis, s *server) {
	h, ok := o.handed[s.id()]
	if !ok || s.phase != phaseOwned || s.fence != h.Fence+1 || now-h.at >= handoverTerm {
		return
	}
	delete(o.handed, s.id())
	for i := range h.Grants {
		g := &h.Grants[i]
		if s.grants[g.Grant] == nil {
			s.takeOver(g.Holder, &g.HeldGrant).until = now + GrantTerm
		}
	}
	s.quietUntil = min(s.quietUntil, now)
}
