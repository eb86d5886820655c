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

// MaxAsks bounds the requests that wait for one backend server.
const MaxAsks = 256

// grantNumberBits is the room for the grants of one incarnation.
const grantNumberBits = 20

// Owner decides for the backend servers that one entry VM owns. Set Self before
// use.
type Owner struct {
	Self units.EntryVMID
	// Incarnation keeps grant numbers of two runs apart.
	Incarnation units.Incarnation
	servers     map[units.BackendServerID]*server
	// order holds servers sorted by id.
	order     []*server
	lastGrant units.GrantNumber
	// Objective is 0 to keep load stalls short and 1 to keep batches full.
	Objective float64
	// Budget is the own part of the weight store.
	Budget place.Budget
	// Failures holds versions that could not be loaded.
	Failures place.Failures
	// Popularity counts what the own servers are asked for.
	Popularity place.Popularity
	// Copies returns the number of servers of the failure domain that have or
	// load an adapter. Nothing is loaded ahead of a request without it.
	Copies func(av units.AdapterVersion) int
	// wants and pinned are what SetWants was given.
	wants  []place.Want
	pinned map[pin]bool
	// Heir returns the entry VM that owns a server that is given up. Nothing is
	// handed over without it.
	Heir func(units.BackendServerID) units.EntryVMID
	// handed holds handovers of servers that are not claimed yet.
	handed map[units.BackendServerID]handed
	// needs is memory for nextLoad.
	needs    map[wantedLoad]float64
	prunedAt clock.Millis
	leasing  leasing
	crashes  []Crash
}

// SetServers takes up the servers in specs and gives up all others. Asks that
// wait for one given up are refused so that their holders route anew.
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
			takenUpAfter: o.leasing.sequence,
		}
		out.Add(event.Decision{Area: "owner", Choice: spec.ID, Reason: "takes_up"})
	}
	for _, s := range o.sorted() {
		if keep[s.id()] {
			continue
		}
		o.refuseAsks(s, out)
		o.giveUpLease(s)
		o.handOver(s, out)
		delete(o.servers, s.id())
		out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "gives_up"})
	}
	o.order = o.sorted()
}

// Owns reports whether server is among those taken up.
func (o *Owner) Owns(id units.BackendServerID) bool { return o.servers[id] != nil }

// Summaries describes all owned servers.
func (o *Owner) Summaries(now clock.Millis) []peer.ServerSummary {
	summaries := make([]peer.ServerSummary, 0, len(o.servers))
	for _, s := range o.sorted() {
		summary := s.summary(now)
		summary.Spare = o.spare(now, s)
		summaries = append(summaries, summary)
	}
	return summaries
}

// Reported takes a server's report.
func (o *Owner) Reported(now clock.Millis, ev event.ReportReceived, out *event.Effects) {
	s := o.servers[ev.Server]
	if s == nil {
		return
	}
	restarted := s.reported && s.report.Start != ev.Report.Start
	if restarted {
		o.crashed(now, s, out)
	}
	s.report, s.reported = ev.Report, true
	if restarted {
		s.forget()
	}
	s.syncCopies(ev.SentAt)
	o.renew(now, s, ev, out)
	o.claim(now, s, out)
	o.serve(now, s, out)
	o.pump(now, out)
}

// ReportFailed notes that a server did not report.
func (o *Owner) ReportFailed(ev event.ReportFailed, out *event.Effects) {
	s := o.servers[ev.Server]
	if s == nil || !ev.Refused {
		return
	}
	s.report.Ready = false
	o.refuseAsks(s, out)
}

// OrderDone takes the result of an order.
func (o *Owner) OrderDone(now clock.Millis, ev event.OrderDone, out *event.Effects) {
	switch ev.Order.Kind {
	case event.OrderLoad:
		o.Budget.Done()
	case event.OrderUnload:
		o.Budget.Return()
	case event.OrderClaim, event.OrderRole:
	}
	s := o.servers[ev.Server]
	if s == nil {
		return
	}
	if ev.Result.Kind == event.OrderFenced {
		o.fencedOff(now, s, ev, out)
	}
	switch ev.Order.Kind {
	case event.OrderClaim:
		o.claimDone(now, s, ev, out)
	case event.OrderLoad:
		o.loadDone(now, s, ev, out)
	case event.OrderUnload:
		s.unloading = max(0, s.unloading-1)
		if ev.Result.Kind != event.OrderTaken {
			s.retryAt = now + RetryPeriod
		}
		s.unloadDone(now, ev)
	case event.OrderRole:
	}
	o.serve(now, s, out)
	o.pump(now, out)
}

// Tick polls servers, lapses grants and refuses asks whose deadline has passed.
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
		s.lapse(now)
		s.fairness.prune(now)
		o.claim(now, s, out)
		o.serve(now, s, out)
	}
	o.pump(now, out)
}

func (o *Owner) sorted() []*server {
	servers := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return servers
}
