package owner

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// MaxLoadsInFlight bounds the loads that one owner has on their way.
const MaxLoadsInFlight = 2

// MaxAsks bounds the requests that wait for one backend server.
const MaxAsks = 256

// grantNumberBits is the room for the grants of one incarnation.
const grantNumberBits = 20

// loadBackoff is the wait after the first failed load; it doubles up to
// maxLoadBackoff.
const (
	loadBackoff    = 500 * clock.Millis(1)
	maxLoadBackoff = 30 * clock.Second
)

// Owner decides for the backend servers that one entry VM owns. Set Self before
// use.
type Owner struct {
	Self units.EntryVMID
	// Incarnation keeps grant numbers of two runs apart.
	Incarnation units.Incarnation
	servers     map[units.BackendServerID]*server
	lastGrant   units.GrantNumber
	loads       int
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
		}
		out.Add(event.Decision{Area: "owner", Choice: spec.ID, Reason: "takes_up"})
	}
	for _, s := range o.sorted() {
		if keep[s.id()] {
			continue
		}
		o.refuseAsks(s, out)
		o.loads -= s.loadsInFlight()
		delete(o.servers, s.id())
		out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "gives_up"})
	}
}

// Owns reports whether server is among those taken up.
func (o *Owner) Owns(id units.BackendServerID) bool { return o.servers[id] != nil }

// Summaries describes all owned servers.
func (o *Owner) Summaries(now clock.Millis) []peer.ServerSummary {
	summaries := make([]peer.ServerSummary, 0, len(o.servers))
	for _, s := range o.sorted() {
		summaries = append(summaries, s.summary(now))
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
	s.report, s.reported = ev.Report, true
	if restarted {
		o.loads -= s.loadsInFlight()
		s.forget()
	}
	s.syncCopies(ev.SentAt)
	switch {
	case s.phase == phaseOwned && ev.Report.Fence == s.fence && !restarted:
		s.renewedAt = max(s.renewedAt, ev.SentAt)
	case s.phase == phaseOwned:
		s.phase = phaseUnknown
		s.claimAt = now + RetryPeriod
		out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "fencing_number_lost", Pairs: []any{"ours", s.fence, "seen", ev.Report.Fence}})
	}
	o.claim(now, s, out)
	o.serve(now, s, out)
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
	s := o.servers[ev.Server]
	if s == nil {
		return
	}
	switch ev.Order.Kind {
	case event.OrderClaim:
		o.claimDone(now, s, ev, out)
	case event.OrderLoad:
		o.loadDone(now, s, ev, out)
	case event.OrderUnload:
		s.unloadDone(now, ev)
	}
	o.serve(now, s, out)
}

// Tick polls servers, lapses grants and refuses asks whose deadline has passed.
func (o *Owner) Tick(now clock.Millis, out *event.Effects) {
	for _, s := range o.sorted() {
		if now-s.polledAt >= PollPeriod {
			s.polledAt = now
			out.Add(event.PollServer{Server: s.id(), Address: s.spec.Address})
		}
		s.lapse(now)
		o.claim(now, s, out)
		o.serve(now, s, out)
	}
}

func (o *Owner) sorted() []*server {
	servers := make([]*server, 0, len(o.servers))
	for _, s := range o.servers {
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.spec.ID, b.spec.ID) })
	return servers
}
