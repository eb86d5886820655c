package entry

import (
	"cmp"
	"math"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/owner"
	"mangostile/internal/core/peer"
)

// renewPeriod is the time between two renewals of a grant, so that one that is
// lost leaves room for another within the grant's term.
const renewPeriod = owner.GrantTerm * 2 / 5

// beats is what heartbeats carried from and to the members of the own failure
// domain. A heartbeat tells what changed since the one before; a member that
// missed one asks for all.
type beats struct {
	// sequence counts the heartbeats of the own entry VM.
	sequence uint32
	// told holds the summaries as of the last heartbeat, sorted by server.
	told  []peer.ServerSummary
	peers map[units.EntryVMID]*peerBeats
}

// peerBeats is the exchange with one member.
type peerBeats struct {
	incarnation units.Incarnation
	// sequence is of the last heartbeat that was heard.
	sequence uint32
	// synced is set while servers is what the member told.
	synced bool
	// servers holds the member's summaries, sorted by server.
	servers []peer.ServerSummary
	// told is set once the member was told of all own servers.
	told bool
}

func (b *beats) of(id units.EntryVMID) *peerBeats {
	if b.peers == nil {
		b.peers = map[units.EntryVMID]*peerBeats{}
	}
	if b.peers[id] == nil {
		b.peers[id] = &peerBeats{}
	}
	return b.peers[id]
}

func bySummaryServer(a, b peer.ServerSummary) int { return cmp.Compare(a.Server, b.Server) }

// changes returns the summaries of now that differ from what was told other than
// in their load, and the servers that are no longer among them.
func (b *beats) changes(now []peer.ServerSummary) (changed []peer.ServerSummary, dropped []units.BackendServerID) {
	for i := range now {
		at, found := slices.BinarySearchFunc(b.told, now[i], bySummaryServer)
		if !found || !sameButLoad(&b.told[at], &now[i]) {
			changed = append(changed, now[i])
		}
	}
	for i := range b.told {
		if _, found := slices.BinarySearchFunc(now, b.told[i], bySummaryServer); !found {
			dropped = append(dropped, b.told[i].Server)
		}
	}
	return changed, dropped
}

func sameButLoad(a, b *peer.ServerSummary) bool {
	return a.Fence == b.Fence && a.BatchMax == b.BatchMax && a.Slots == b.Slots && a.Usable == b.Usable &&
		slices.Equal(a.Resident, b.Resident) && slices.Equal(a.Loading, b.Loading)
}

// message returns the heartbeat for one member: what changed, or all if it was
// not told yet.
func (p *peerBeats) message(base peer.Heartbeat, changed []peer.ServerSummary, dropped []units.BackendServerID, all []peer.ServerSummary) peer.Heartbeat {
	base.WantFull = !p.synced && p.incarnation != 0
	if p.told {
		base.Servers, base.Dropped = changed, dropped
		return base
	}
	p.told = true
	base.Servers, base.Full = all, true
	return base
}

// loads lists running and waiting requests and spare of each server in turn.
func loads(summaries []peer.ServerSummary) []byte {
	list := make([]byte, 0, peer.LoadFigures*len(summaries))
	for i := range summaries {
		list = append(list, byte(min(summaries[i].Running, math.MaxUint8)), byte(min(summaries[i].Waiting, math.MaxUint8)), summaries[i].Spare)
	}
	return list
}

// beat sends a heartbeat to each member of the own failure domain, itself
// included.
func (c *Core) beat(out *event.Effects) {
	b := &c.beats
	b.sequence++
	summaries := c.Owner.Summaries(c.now)
	changed, dropped := b.changes(summaries)
	base := peer.Heartbeat{
		Incarnation: c.cfg.Incarnation, Leaving: c.leaving, Joining: c.Members.Joining(), ConfigOffset: c.Table.Next(), LogUnreachable: c.feed.unreachable,
		Sequence: b.sequence, Loads: loads(summaries), Demand: c.demands(),
	}
	held := c.heldByOwner()
	for _, p := range c.Members.Peers() {
		if p.FailureDomain != c.cfg.Self.FailureDomain {
			continue
		}
		message := b.of(p.ID).message(base, changed, dropped, summaries)
		message.GrantsHeld = held[p.ID]
		out.Add(event.SendPeer{To: p.ID, Message: &message})
	}
	b.told = summaries
	c.summarized(summaries)
	c.Owner.Renew(c.now, c.Members.SelfID(), held[c.Members.SelfID()])
}

func (c *Core) summarized(summaries []peer.ServerSummary) {
	for i := range summaries {
		c.Router.Summarize(c.now, summaries[i])
	}
}

// heartbeat takes a heartbeat of a member.
func (c *Core) heartbeat(from units.EntryVMID, m *peer.Heartbeat, out *event.Effects) {
	before := c.Members.Revision()
	if !c.Members.Heard(c.now, from, m) {
		return
	}
	if c.Members.Revision() != before {
		c.membersChanged(out)
	}
	c.heardDemands(from, m.Demand)
	pb := c.beats.of(from)
	if pb.incarnation != m.Incarnation {
		c.tellQuarantines(from, out)
	}
	if pb.take(m) {
		c.summarized(pb.servers)
	}
	c.Owner.Renew(c.now, from, m.GrantsHeld)
}

// take applies a heartbeat. It reports whether servers is what the member knows
// now.
func (p *peerBeats) take(m *peer.Heartbeat) bool {
	if p.incarnation != m.Incarnation {
		p.incarnation, p.synced, p.told = m.Incarnation, false, false
	}
	if m.WantFull {
		p.told = false
	}
	follows := m.Sequence == p.sequence+1
	p.sequence = m.Sequence
	switch {
	case m.Full:
		p.servers, p.synced = slices.Clone(m.Servers), true
	case !p.synced || !follows:
		p.synced = false
		return false
	default:
		p.apply(m)
	}
	p.synced = len(m.Loads) == peer.LoadFigures*len(p.servers)
	for i := range min(len(m.Loads)/peer.LoadFigures, len(p.servers)) {
		figures := m.Loads[peer.LoadFigures*i:]
		p.servers[i].Running, p.servers[i].Waiting, p.servers[i].Spare = int32(figures[0]), int32(figures[1]), figures[2]
	}
	return p.synced
}

func (p *peerBeats) apply(m *peer.Heartbeat) {
	p.servers = slices.DeleteFunc(p.servers, func(s peer.ServerSummary) bool { return slices.Contains(m.Dropped, s.Server) })
	for i := range m.Servers {
		at, found := slices.BinarySearchFunc(p.servers, m.Servers[i], bySummaryServer)
		if found {
			p.servers[at] = m.Servers[i]
		} else {
			p.servers = slices.Insert(p.servers, at, m.Servers[i])
		}
	}
}

// heldByOwner returns the grants in use that are due to be renewed, by the owner
// of their server. An owner that did not give the grant is told all of it, twice in
// case one is lost; one that knows it is told its number.
func (c *Core) heldByOwner() map[units.EntryVMID][]peer.HeldGrant {
	held := map[units.EntryVMID][]peer.HeldGrant{}
	for _, r := range c.sortedRequests() {
		if r.state != stateRunning || r.grant == 0 {
			continue
		}
		to := c.renewalOf(r)
		if r.renewed.owner == "" && to.owner == r.owner {
			r.renewed = to
			r.renewed.at, r.renewed.told = r.runningAt, fullRenewals
		}
		if r.renewed.sameOwner(to) {
			if c.now-r.renewed.at < renewPeriod {
				continue
			}
			to.told = r.renewed.told
		}
		h := peer.HeldGrant{Server: r.server, Grant: r.grant}
		if to.told < fullRenewals {
			h.Request, h.Attempt, h.Adapter = r.ID, r.attempt, r.adapter
			to.told++
		}
		r.renewed = to
		held[to.owner] = append(held[to.owner], h)
	}
	return held
}

// fullRenewals is how often an owner that did not give a grant is told all of it.
const fullRenewals = 2

// renewal is when and with whom a grant was last renewed. An owner that gave a
// server up and took it again has a greater fencing number and knows no grants.
type renewal struct {
	owner       units.EntryVMID
	incarnation units.Incarnation
	fence       units.Fence
	at          clock.Millis
	// told counts the renewals that told all of the grant.
	told int
}

func (c *Core) renewalOf(r *request) renewal {
	to := renewal{owner: c.Members.OwnerOf(r.server), at: c.now}
	if p := c.Members.Peer(to.owner); p != nil {
		to.incarnation = p.Incarnation
	}
	if s := c.Router.Server(r.server); s != nil {
		to.fence = s.Summary.Fence
	}
	return to
}

func (r renewal) sameOwner(other renewal) bool {
	return r.owner == other.owner && r.incarnation == other.incarnation && r.fence == other.fence
}
