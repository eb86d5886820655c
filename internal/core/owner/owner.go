package owner

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/place"
)

// MaxQueued bounds the requests that wait for one backend server.
const MaxQueued = 256

// grantNumberBits is the number of bits that count the grants of one incarnation.
const grantNumberBits = 20

// Owner grants requests and orders loads and evictions on the backend servers that one
// entry VM owns. Set Self before use.
type Owner struct {
	Self units.EntryVMID
	// Incarnation distinguishes the grant numbers of two processes of the entry VM.
	Incarnation units.Incarnation
	servers     map[units.BackendServerID]*server
	// order holds servers sorted by ID.
	order           []*server
	lastGrantNumber units.GrantNumber
	// Objective is 0 to keep load stalls short and 1 to keep batches full.
	Objective float64
	// Budget is the local entry VM's share of the weight store.
	Budget place.Budget
	// Failures holds the adapter versions whose loads failed.
	Failures place.Failures
	// Popularity counts the requests for each adapter on the owned servers.
	Popularity place.Popularity
	// Copies returns the number of servers of the failure domain that have or load an
	// adapter. Without it nothing is prefetched.
	Copies func(av units.AdapterVersion) int
	// desired and pinned hold the copies given to SetDesiredCopies.
	desired []place.DesiredCopy
	pinned  map[pin]bool
	// NextOwner returns the entry VM that owns a server that is no longer assigned to
	// this owner. Without it no handovers are sent.
	NextOwner func(units.BackendServerID) units.EntryVMID
	// handovers holds handovers of servers that are not claimed yet.
	handovers map[units.BackendServerID]receivedHandover
	// needs is scratch space of nextLoad.
	needs    map[loadCandidate]float64
	prunedAt clock.Millis
	leases   leaseManager
	// nextOrder is the number of the next order.
	nextOrder event.OrderNumber
	crashes   []Crash
}

// SetServers assigns the servers in specs to the owner and removes all others. Requests
// queued for a removed server are refused so that their entry VMs route them again.
func (o *Owner) SetServers(specs []event.VM, out *event.Effects) {
	if o.servers == nil {
		o.servers = map[units.BackendServerID]*server{}
	}
	keep := map[units.BackendServerID]bool{}
	for _, spec := range specs {
		id := units.BackendServerID(spec.ID)
		keep[id] = true
		if s := o.servers[id]; s != nil {
			s.spec = spec
			continue
		}
		o.servers[id] = &server{
			spec: spec, copies: map[units.AdapterVersion]*copyState{}, grants: map[units.GrantNumber]*grant{},
			assignedAfter: o.leases.sequence, firstOrder: o.nextOrder,
		}
		out.Add(event.Decision{Area: "owner", Choice: spec.ID, Reason: "takes_up"})
	}
	for _, s := range o.sorted() {
		if keep[s.id()] {
			continue
		}
		o.refuseQueued(s, out)
		o.releaseLease(s)
		o.sendHandover(s, out)
		delete(o.servers, s.id())
		out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "gives_up"})
	}
	o.order = o.sorted()
}

// Owns reports whether the server id is assigned to the owner.
func (o *Owner) Owns(id units.BackendServerID) bool { return o.servers[id] != nil }

// Summaries returns the summaries of all owned servers, sorted by ID.
func (o *Owner) Summaries(now clock.Millis) []peer.ServerSummary {
	summaries := make([]peer.ServerSummary, 0, len(o.servers))
	for _, s := range o.sorted() {
		summary := s.summary(now)
		summary.Spare = o.spare(now, s)
		summaries = append(summaries, summary)
	}
	return summaries
}

// Reported applies a server's report.
func (o *Owner) Reported(now clock.Millis, ev event.ReportReceived, out *event.Effects) {
	s := o.servers[ev.Server]
	if s == nil {
		return
	}
	restarted := s.reported && s.report.Start != ev.Report.Start
	if restarted {
		o.recordCrash(now, s, out)
	}
	s.report, s.reported = ev.Report, true
	if restarted {
		s.reset()
	}
	s.syncCopies(ev.SentAt)
	o.renewOwnership(now, s, ev, out)
	o.claim(now, s, out)
	o.serve(now, s, out)
	o.startLoads(now, out)
}

// ReportFailed handles a failed poll. If the server refused the connection, it counts as
// not ready and its queued requests are refused.
func (o *Owner) ReportFailed(ev event.ReportFailed, out *event.Effects) {
	s := o.servers[ev.Server]
	if s == nil || !ev.Refused {
		return
	}
	s.report.Ready = false
	o.refuseQueued(s, out)
}

// OrderDone applies the result of an order. Of one sent to the server before it was given up and taken
// up again, only the budget learns.
func (o *Owner) OrderDone(now clock.Millis, ev event.OrderDone, out *event.Effects) {
	switch ev.Order.Kind {
	case event.OrderLoad:
		o.Budget.Done()
	case event.OrderUnload:
		o.Budget.Refund()
	case event.OrderClaim, event.OrderRole:
	}
	s := o.servers[ev.Server]
	if s == nil || ev.Order.Number < s.firstOrder {
		return
	}
	if ev.Result.Kind == event.OrderFenced {
		o.handleFenced(now, s, ev, out)
	}
	switch ev.Order.Kind {
	case event.OrderClaim:
		o.claimDone(now, s, ev, out)
	case event.OrderLoad:
		o.loadDone(now, s, ev, out)
	case event.OrderUnload:
		s.unloading = max(0, s.unloading-1)
		if ev.Result.Kind != event.OrderAccepted {
			s.retryAt = now + RetryPeriod
		}
		s.unloadDone(now, ev)
	case event.OrderRole:
	}
	o.serve(now, s, out)
	o.startLoads(now, out)
}

// Tick polls and claims servers, renews leases, expires grants, grants or refuses queued
// requests as serve does, and starts loads.
func (o *Owner) Tick(now clock.Millis, out *event.Effects) {
	if now-o.prunedAt >= clock.Minute {
		o.prunedAt = now
		o.Popularity.Prune(now)
	}
	o.tickLeases(now, out)
	for _, s := range o.sorted() {
		if now-s.polledAt >= PollPeriod {
			s.polledAt = now
			out.Add(event.PollServer{Server: s.id(), Address: s.spec.Address})
		}
		s.expireGrants(now)
		s.fairness.prune(now)
		o.claim(now, s, out)
		o.serve(now, s, out)
	}
	o.startLoads(now, out)
}

func (o *Owner) sorted() []*server {
	servers := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return servers
}
