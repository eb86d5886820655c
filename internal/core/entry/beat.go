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

// renewPeriod is the interval between renewals of a grant. If one is lost, there is time
// for another within the grant's term.
const renewPeriod = owner.GrantTerm * 2 / 5

// heartbeatState is the state of the heartbeats exchanged with the members of this
// failure domain. A heartbeat contains the changes since the previous one. A member that
// missed one requests the full state.
type heartbeatState struct {
	// sequence counts the heartbeats sent by this entry VM.
	sequence uint32
	// lastSent holds the summaries as of the last heartbeat, sorted by server.
	lastSent []peer.ServerSummary
	peers    map[units.EntryVMID]*heartbeatExchange
}

// heartbeatExchange is the state of the heartbeat exchange with one member.
type heartbeatExchange struct {
	incarnation units.Incarnation
	// sequence is the number of the last heartbeat received.
	sequence uint32
	// synced is true while servers matches what the member has sent.
	synced bool
	// servers holds the member's summaries, sorted by server.
	servers []peer.ServerSummary
	// fullSent is true once the member was sent the summaries of all owned servers.
	fullSent bool
}

func (b *heartbeatState) of(id units.EntryVMID) *heartbeatExchange {
	if b.peers == nil {
		b.peers = map[units.EntryVMID]*heartbeatExchange{}
	}
	if b.peers[id] == nil {
		b.peers[id] = &heartbeatExchange{}
	}
	return b.peers[id]
}

func bySummaryServer(a, b peer.ServerSummary) int { return cmp.Compare(a.Server, b.Server) }

// changes returns the summaries in now that differ from lastSent in more than their load,
// and the servers that are no longer in now.
func (b *heartbeatState) changes(now []peer.ServerSummary) (changed []peer.ServerSummary, dropped []units.BackendServerID) {
	for i := range now {
		at, found := slices.BinarySearchFunc(b.lastSent, now[i], bySummaryServer)
		if !found || !equalExceptLoad(&b.lastSent[at], &now[i]) {
			changed = append(changed, now[i])
		}
	}
	for i := range b.lastSent {
		if _, found := slices.BinarySearchFunc(now, b.lastSent[i], bySummaryServer); !found {
			dropped = append(dropped, b.lastSent[i].Server)
		}
	}
	return changed, dropped
}

func equalExceptLoad(a, b *peer.ServerSummary) bool {
	return a.Fence == b.Fence && a.BatchMax == b.BatchMax && a.Slots == b.Slots && a.Usable == b.Usable &&
		slices.Equal(a.Resident, b.Resident) && slices.Equal(a.Loading, b.Loading)
}

// message returns the heartbeat for one member: the changes, or the full state if it was
// not sent yet.
func (p *heartbeatExchange) message(base peer.Heartbeat, changed []peer.ServerSummary, dropped []units.BackendServerID, all []peer.ServerSummary) peer.Heartbeat {
	base.NeedsFull = !p.synced && p.incarnation != 0
	if p.fullSent {
		base.Servers, base.Dropped = changed, dropped
		return base
	}
	p.fullSent = true
	base.Servers, base.Full = all, true
	return base
}

// loadFigures returns the running requests, waiting requests and spare capacity of each
// server, in order.
func loadFigures(summaries []peer.ServerSummary) []byte {
	list := make([]byte, 0, peer.LoadFigures*len(summaries))
	for i := range summaries {
		list = append(list, byte(min(summaries[i].Running, math.MaxUint8)), byte(min(summaries[i].Waiting, math.MaxUint8)), summaries[i].Spare)
	}
	return list
}

// sendHeartbeats sends a heartbeat to each member of this failure domain, including this
// entry VM.
func (c *Core) sendHeartbeats(out *event.Effects) {
	b := &c.heartbeats
	b.sequence++
	summaries := c.Owner.Summaries(c.now)
	changed, dropped := b.changes(summaries)
	base := peer.Heartbeat{
		Incarnation: c.cfg.Incarnation, Leaving: c.leaving, Joining: c.Members.Joining(), ConfigOffset: c.Table.Next(), LogUnreachable: c.feed.logUnreachable,
		Sequence: b.sequence, Loads: loadFigures(summaries), Demand: c.demands(),
	}
	renewals := c.dueRenewals()
	for _, p := range c.Members.Peers() {
		if p.FailureDomain != c.cfg.Self.FailureDomain {
			continue
		}
		message := b.of(p.ID).message(base, changed, dropped, summaries)
		message.GrantsHeld = renewals[p.ID]
		out.Add(event.SendPeer{To: p.ID, Message: &message})
	}
	b.lastSent = summaries
	c.updateRouter(summaries)
	c.Owner.Renew(c.now, c.Members.SelfID(), renewals[c.Members.SelfID()])
}

func (c *Core) updateRouter(summaries []peer.ServerSummary) {
	for i := range summaries {
		c.Router.ApplySummary(c.now, summaries[i])
	}
}

// heartbeatReceived handles a heartbeat from a member.
func (c *Core) heartbeatReceived(from units.EntryVMID, m *peer.Heartbeat, out *event.Effects) {
	before := c.Members.Revision()
	if !c.Members.Receive(c.now, from, m) {
		return
	}
	if c.Members.Revision() != before {
		c.membersChanged(out)
	}
	c.applyDemands(from, m.Demand)
	pb := c.heartbeats.of(from)
	if pb.incarnation != m.Incarnation {
		c.sendQuarantines(from, out)
	}
	if pb.receive(m) {
		c.updateRouter(pb.servers)
	}
	c.Owner.Renew(c.now, from, m.GrantsHeld)
}

// receive applies a heartbeat. It reports whether servers matches the member's current
// state.
func (p *heartbeatExchange) receive(m *peer.Heartbeat) bool {
	if p.incarnation != m.Incarnation {
		p.incarnation, p.synced, p.fullSent = m.Incarnation, false, false
	}
	if m.NeedsFull {
		p.fullSent = false
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
		p.applyChanges(m)
	}
	p.synced = len(m.Loads) == peer.LoadFigures*len(p.servers)
	for i := range min(len(m.Loads)/peer.LoadFigures, len(p.servers)) {
		figures := m.Loads[peer.LoadFigures*i:]
		p.servers[i].Running, p.servers[i].Waiting, p.servers[i].Spare = int32(figures[0]), int32(figures[1]), figures[2]
	}
	return p.synced
}

func (p *heartbeatExchange) applyChanges(m *peer.Heartbeat) {
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

// dueRenewals returns the grants in use that are due for renewal, by the owner of their
// server. An owner that did not issue the grant receives all of its fields, twice in case
// one message is lost. An owner that has a record of it receives only its number.
func (c *Core) dueRenewals() map[units.EntryVMID][]peer.HeldGrant {
	due := map[units.EntryVMID][]peer.HeldGrant{}
	for _, r := range c.sortedRequests() {
		if r.state != stateRunning || r.grant == 0 {
			continue
		}
		to := c.nextRenewal(r)
		if r.lastRenewal.owner == "" && to.owner == r.owner {
			r.lastRenewal = to
			r.lastRenewal.at, r.lastRenewal.fullSent = r.runningAt, fullRenewals
		}
		if r.lastRenewal.sameOwner(to) {
			if c.now-r.lastRenewal.at < renewPeriod {
				continue
			}
			to.fullSent = r.lastRenewal.fullSent
		}
		h := peer.HeldGrant{Server: r.server, Grant: r.grant}
		if to.fullSent < fullRenewals {
			h.Request, h.Attempt, h.Adapter = r.ID, r.attempt, r.adapter
			to.fullSent++
		}
		r.lastRenewal = to
		due[to.owner] = append(due[to.owner], h)
	}
	return due
}

// fullRenewals is how often an owner that did not issue a grant receives all of its
// fields.
const fullRenewals = 2

// renewal records when and with which owner a grant was last renewed. An owner that gave
// up a server and took it over again has a larger fencing number and no record of its
// grants.
type renewal struct {
	owner       units.EntryVMID
	incarnation units.Incarnation
	fence       units.Fence
	at          clock.Millis
	// fullSent counts the renewals that contained all fields of the grant.
	fullSent int
}

func (c *Core) nextRenewal(r *request) renewal {
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
