package owner

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
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

// Ask handles a request for a grant.
func (o *Owner) Ask(now clock.Millis, from units.EntryVMID, m *peer.GrantAsk, out *event.Effects) {
	s := o.servers[m.Server]
	if s == nil || !s.mayGrant(now) || len(s.asks) >= MaxAsks {
		o.reply(from, m, 0, errs.Refuse(errs.CodeNoCapacity, "backend server %s can't take the request now: send it again", m.Server), out)
		return
	}
	s.asks = append(s.asks, &ask{GrantAsk: *m, from: from, deadline: now + m.Within, askedAt: now})
	o.serve(now, s, out)
}

// Release gives a grant back or withdraws an ask.
func (o *Owner) Release(now clock.Millis, from units.EntryVMID, m *peer.GrantRelease, out *event.Effects) {
	s := o.servers[m.Server]
	if s == nil {
		return
	}
	if g := s.grants[m.Grant]; g != nil && g.holder == from {
		o.drop(now, s, g)
	}
	s.asks = slices.DeleteFunc(s.asks, func(a *ask) bool {
		return a.from == from && a.Request == m.Request && a.Attempt == m.Attempt
	})
	o.serve(now, s, out)
}

// Renew prolongs the grants that from still uses and takes over those that an
// earlier owner gave.
func (o *Owner) Renew(now clock.Millis, from units.EntryVMID, held []peer.HeldGrant) {
	for i := range held {
		h := &held[i]
		s := o.servers[h.Server]
		if s == nil {
			continue
		}
		g := s.grants[h.Grant]
		if g == nil {
			g = &grant{number: h.Grant, holder: from, request: h.Request, attempt: h.Attempt, adapter: h.Adapter}
			s.grants[h.Grant] = g
			s.copy(h.Adapter).grants++
		}
		g.until = now + GrantTerm
	}
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

func (o *Owner) reply(to units.EntryVMID, m *peer.GrantAsk, number units.GrantNumber, refusal *errs.Refusal, out *event.Effects) {
	out.Add(event.SendPeer{To: to, Message: &peer.GrantReply{
		Request: m.Request, Attempt: m.Attempt, Server: m.Server, Grant: number, Term: GrantTerm, Refusal: refusal,
	}})
}

func (o *Owner) refuseAsks(s *server, out *event.Effects) {
	for _, a := range s.asks {
		o.reply(a.from, &a.GrantAsk, 0, errs.Refuse(errs.CodeNoCapacity, "backend server %s is going away: send the request again", s.spec.ID), out)
	}
	s.asks = nil
}

// claim raises the server's fencing number above the one that it reported.
func (o *Owner) claim(now clock.Millis, s *server, out *event.Effects) {
	if s.phase != phaseUnknown || !s.reported || now < s.claimAt {
		return
	}
	s.phase = phaseClaiming
	s.fence = s.report.Fence + 1
	o.order(now, s, event.Order{Kind: event.OrderClaim}, out)
}

func (o *Owner) order(now clock.Millis, s *server, order event.Order, out *event.Effects) {
	order.Fence = s.fence
	order.Holder = o.Self
	order.NotAfter = now + OwnerTerm
	if order.Kind != event.OrderClaim {
		order.NotAfter = s.renewedAt + OwnerTerm
	}
	out.Add(event.OrderServer{Server: s.id(), Address: s.spec.Address, Order: order})
}

func (o *Owner) claimDone(now clock.Millis, s *server, ev event.OrderDone, out *event.Effects) {
	if s.phase != phaseClaiming || ev.Order.Fence != s.fence {
		return
	}
	if ev.Result.Kind != event.OrderTaken {
		s.phase = phaseUnknown
		s.claimAt = now + RetryPeriod
		return
	}
	s.phase = phaseOwned
	s.renewedAt = ev.SentAt
	if s.fence > 1 {
		s.quietUntil = now + OwnerTerm + GrantTerm
	}
	out.Add(event.Decision{Area: "owner", Choice: s.spec.ID, Reason: "claimed", Pairs: []any{"fence", s.fence}})
}

func (o *Owner) loadDone(now clock.Millis, s *server, ev event.OrderDone, out *event.Effects) {
	c := s.copies[ev.Order.Adapter]
	if c == nil || !c.loading {
		return
	}
	o.loads--
	c.loading = false
	if ev.Result.Kind == event.OrderTaken {
		c.usedAt = now
		out.Add(event.Decision{Area: "place", Choice: ev.Order.Adapter.String(), Reason: "loaded", Pairs: []any{"backend_server", s.spec.ID}})
		return
	}
	out.Add(event.Decision{Area: "place", Choice: ev.Order.Adapter.String(), Reason: "load_" + ev.Result.Kind.String(), Pairs: []any{"backend_server", s.spec.ID, "text", ev.Result.Reason}})
	o.loadFailed(s, ev, out)
}

// loadFailed refuses the asks that waited for the adapter and removes its copy.
// A later report adds the copy again if a lost order was carried out after all.
func (o *Owner) loadFailed(s *server, ev event.OrderDone, out *event.Effects) {
	delete(s.copies, ev.Order.Adapter)
	s.asks = slices.DeleteFunc(s.asks, func(a *ask) bool {
		if a.Adapter != ev.Order.Adapter {
			return false
		}
		o.reply(a.from, &a.GrantAsk, 0, errs.Refuse(errs.CodeLoadFailed, "adapter %s could not be loaded: check that this version is in the weight store", a.Adapter).After(loadBackoff), out)
		return true
	})
}

// serve grants what can be granted and starts the loads that asks wait for.
func (o *Owner) serve(now clock.Millis, s *server, out *event.Effects) {
	if !s.mayGrant(now) {
		return
	}
	waiting := s.asks
	s.asks = nil
	for _, a := range waiting {
		switch {
		case now >= a.deadline:
			o.reply(a.from, &a.GrantAsk, 0, errs.Refuse(errs.CodeDeadline, "the deadline passed while the request waited for adapter %s: allow more time", a.Adapter), out)
		case o.tryGrant(now, s, a, out):
		default:
			s.asks = append(s.asks, a)
			o.tryLoad(now, s, a.Adapter, out)
		}
	}
}

func (o *Owner) tryGrant(now clock.Millis, s *server, a *ask, out *event.Effects) bool {
	c := s.copies[a.Adapter]
	if c == nil || c.loading || c.unloading || len(s.grants) >= s.batchMax() {
		return false
	}
	if a.Isolated && len(s.grants) > 0 {
		return false
	}
	o.lastGrant = max(o.lastGrant+1, units.GrantNumber(o.Incarnation)<<grantNumberBits)
	g := &grant{
		number: o.lastGrant, holder: a.from, request: a.Request, attempt: a.Attempt, adapter: a.Adapter, until: now + GrantTerm,
	}
	s.grants[g.number] = g
	c.grants++
	c.usedAt = now
	o.reply(a.from, &a.GrantAsk, g.number, nil, out)
	return true
}

func (o *Owner) tryLoad(now clock.Millis, s *server, av units.AdapterVersion, out *event.Effects) {
	if s.copies[av] != nil || o.loads >= MaxLoadsInFlight {
		return
	}
	if len(s.copies) >= s.slots() {
		o.evictOne(now, s, out)
		return
	}
	s.copy(av).loading = true
	o.loads++
	out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: "load", Pairs: []any{"backend_server", s.spec.ID}})
	o.order(now, s, event.Order{Kind: event.OrderLoad, Adapter: av}, out)
}

func (o *Owner) evictOne(now clock.Millis, s *server, out *event.Effects) {
	for _, c := range s.copies {
		if c.unloading {
			return
		}
	}
	av, ok := s.victim(now)
	if !ok {
		return
	}
	s.copies[av].unloading = true
	out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: "evict", Pairs: []any{"backend_server", s.spec.ID}})
	o.order(now, s, event.Order{Kind: event.OrderUnload, Adapter: av}, out)
}

func (o *Owner) drop(now clock.Millis, s *server, g *grant) {
	delete(s.grants, g.number)
	if c := s.copies[g.adapter]; c != nil {
		c.grants--
		c.usedAt = now
	}
}
