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

func (s *heartbeatState) of(id units.EntryVMID) *heartbeatExchange {
	if s.peers == nil {
		s.peers = map[units.EntryVMID]*heartbeatExchange{}
	}
	if s.peers[id] == nil {
		s.peers[id] = &heartbeatExchange{}
	}
	return s.peers[id]
}

func bySummaryServer(a, b peer.ServerSummary) int { return cmp.Compare(a.Server, b.Server) }

// changesSinceLast returns the summaries in current that differ from lastSent in more
// than their load, and the servers of lastSent that are not in current.
func (s *heartbeatState) changesSinceLast(current []peer.ServerSummary) (changed []peer.ServerSummary, dropped []units.BackendServerID) {
	for i := range current {
		at, found := slices.BinarySearchFunc(s.lastSent, current[i], bySummaryServer)
		if !found || !equalExceptLoad(&s.lastSent[at], &current[i]) {
			changed = append(changed, current[i])
		}
	}
	for i := range s.lastSent {
		if _, found := slices.BinarySearchFunc(current, s.lastSent[i], bySummaryServer); !found {
			dropped = append(dropped, s.lastSent[i].Server)
		}
	}
	return changed, dropped
}

func equalExceptLoad(a, b *peer.ServerSummary) bool {
	return a.Fence == b.Fence && a.BatchMax == b.BatchMax && a.Slots == b.Slots && a.Usable == b.Usable &&
		slices.Equal(a.Resident, b.Resident) && slices.Equal(a.Loading, b.Loading)
}

// message returns the heartbeat for one member: base with the changes, or with the full
// state, all, if that was not sent yet.
func (e *heartbeatExchange) message(base peer.Heartbeat, changed []peer.ServerSummary, dropped []units.BackendServerID, all []peer.ServerSummary) peer.Heartbeat {
	base.NeedsFull = !e.synced && e.incarnation != 0
	if e.fullSent {
		base.Servers, base.Dropped = changed, dropped
		return base
	}
	e.fullSent = true
	base.Servers, base.Full = all, true
	return base
}

// loadFigures encodes the load of each server, in order, in peer.LoadFigures bytes:
// running requests and waiting requests, each at most 255, and spare capacity.
func loadFigures(summaries []peer.ServerSummary) []byte {
	list := make([]byte, 0, peer.LoadFigures*len(summaries))
	for i := range summaries {
		list = append(list, byte(min(summaries[i].Running, math.MaxUint8)), byte(min(summaries[i].Waiting, math.MaxUint8)), summaries[i].Spare)
	}
	return list
}

// sendHeartbeats sends a heartbeat to each other entry VM of this failure domain. The
// summaries and renewals of this entry VM are applied here without a message.
func (c *Core) sendHeartbeats(out *event.Effects) {
	state := &c.heartbeats
	state.sequence++
	summaries := c.Owner.Summaries(c.now)
	changed, dropped := state.changesSinceLast(summaries)
	base := peer.Heartbeat{
		Incarnation: c.cfg.Incarnation, Leaving: c.leaving, Joining: c.Members.Joining(), ConfigOffset: c.Table.Next(), LogUnreachable: c.feed.logUnreachable,
		Sequence: state.sequence, Loads: loadFigures(summaries), Demand: c.demands(),
	}
	renewals := c.dueRenewals()
	for _, p := range c.Members.Peers() {
		if p.FailureDomain != c.cfg.Self.FailureDomain {
			continue
		}
		message := state.of(p.ID).message(base, changed, dropped, summaries)
		message.GrantsHeld = renewals[p.ID]
		out.Add(event.SendPeer{To: p.ID, Message: &message})
	}
	state.lastSent = summaries
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
	exchange := c.heartbeats.of(from)
	if exchange.incarnation != m.Incarnation {
		c.sendQuarantines(from, out)
	}
	if exchange.receive(m) {
		c.updateRouter(exchange.servers)
	}
	c.Owner.Renew(c.now, from, m.GrantsHeld)
}

// receive applies a heartbeat. It reports whether servers now matches the member's state.
// If not, the next heartbeat to the member requests the full state.
func (e *heartbeatExchange) receive(m *peer.Heartbeat) bool {
	if e.incarnation != m.Incarnation {
		e.incarnation, e.synced, e.fullSent = m.Incarnation, false, false
	}
	if m.NeedsFull {
		e.fullSent = false
	}
	follows := m.Sequence == e.sequence+1
	e.sequence = m.Sequence
	switch {
	case m.Full:
		e.servers, e.synced = slices.Clone(m.Servers), true
	case !e.synced || !follows:
		e.synced = false
		return false
	default:
		e.applyChanges(m)
	}
	e.synced = len(m.Loads) == peer.LoadFigures*len(e.servers)
	for i := range min(len(m.Loads)/peer.LoadFigures, len(e.servers)) {
		figures := m.Loads[peer.LoadFigures*i:]
		e.servers[i].Running, e.servers[i].Waiting, e.servers[i].Spare = int32(figures[0]), int32(figures[1]), figures[2]
	}
	return e.synced
}

func (e *heartbeatExchange) applyChanges(m *peer.Heartbeat) {
	e.servers = slices.DeleteFunc(e.servers, func(s peer.ServerSummary) bool { return slices.Contains(m.Dropped, s.Server) })
	for i := range m.Servers {
		at, found := slices.BinarySearchFunc(e.servers, m.Servers[i], bySummaryServer)
		if found {
			e.servers[at] = m.Servers[i]
		} else {
			e.servers = slices.Insert(e.servers, at, m.Servers[i])
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
		next := c.nextRenewal(r)
		if r.lastRenewal.owner == "" && next.owner == r.owner {
			r.lastRenewal = next
			r.lastRenewal.at, r.lastRenewal.fullSent = r.runningAt, fullRenewals
		}
		if r.lastRenewal.sameOwner(next) {
			if c.now-r.lastRenewal.at < renewPeriod {
				continue
			}
			next.fullSent = r.lastRenewal.fullSent
		}
		h := peer.HeldGrant{Server: r.server, Grant: r.grant}
		if next.fullSent < fullRenewals {
			h.Request, h.Attempt, h.Adapter = r.ID, r.attempt, r.adapter
			next.fullSent++
		}
		r.lastRenewal = next
		due[next.owner] = append(due[next.owner], h)
	}
	return due
}

// fullRenewals is the number of renewals in which an owner that did not issue a grant
// receives all of its fields.
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
	next := renewal{owner: c.Members.OwnerOf(r.server), at: c.now}
	if p := c.Members.Peer(next.owner); p != nil {
		next.incarnation = p.Incarnation
	}
	if s := c.Router.Server(r.server); s != nil {
		next.fence = s.Summary.Fence
	}
	return next
}

func (r renewal) sameOwner(other renewal) bool {
	return r.owner == other.owner && r.incarnation == other.incarnation && r.fence == other.fence
}
