// Package route chooses the backend server for a request.
package route

import (
	"cmp"
	"slices"
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/cespare/xxhash/v2"
)

// SummaryTerm is how long an owner's summary is believed.
const SummaryTerm = 4 * clock.Second

// summaryLag is how long before a summary came a request may have been sent that
// the summary does not count.
const summaryLag = 50 * clock.Millis(1)

// Server is what the router knows of one backend server of the own failure
// domain.
type Server struct {
	Spec event.VM
	// Leaving is set by the platform's list, the operators' table or the server
	// itself.
	Leaving bool
	// Summary is the owner's last word, from SummaryAt.
	Summary   peer.ServerSummary
	SummaryAt clock.Millis
	// SentSince counts requests that were sent to the server and are not in
	// Summary, less those in Summary that have ended.
	SentSince int32
	// absentSince counts those of SentSince whose adapter was absent.
	absentSince int32
	// recent counts those of SentSince that were sent from recentAt on.
	recent   int32
	recentAt clock.Millis
	// AvoidUntil is set after the server broke a connection.
	AvoidUntil clock.Millis
	// hash of the id.
	hash uint64
	// place in the order of the servers, from 0 to 1.
	place float64
	// state is that of the adapter of the choice numbered epoch.
	state copyState
	epoch uint64
}

// ID returns the server's id.
func (s *Server) ID() units.BackendServerID { return units.BackendServerID(s.Spec.ID) }

// Router holds the backend servers of the own failure domain. The zero value
// holds none.
type Router struct {
	// Objective is 0 to keep load stalls short and 1 to keep batches full.
	Objective float64
	servers   map[units.BackendServerID]*Server
	// order is sorted by id.
	order  []*Server
	copies copies
	// epoch numbers the choices; marked counts the copies of its adapter.
	epoch   uint64
	marked  int
	refused Refused
	// loadWait and service are learned times in milliseconds; 0 is not known.
	loadWait float64
	service  float64
}

// Choice is a chosen server with the ways that were refused.
type Choice struct {
	Server *Server
	Reason string
	// QueueWait is the time until the server is expected to have a free place in
	// its batch.
	QueueWait clock.Millis
	// Resident is set if the server has the adapter, Absent if it does not even
	// load it.
	Resident, Absent bool
	// Refused lists servers that could not be used. It holds until the next
	// choice.
	Refused Refused
}

// Refused lists servers that could not be used, each with the reason.
type Refused []RefusedServer

// RefusedServer is one server that could not be used.
type RefusedServer struct {
	Server units.BackendServerID
	Why    string
}

// String formats r for a log line.
func (r Refused) String() string {
	parts := make([]string, len(r))
	for i, refused := range r {
		parts[i] = string(refused.Server) + ":" + refused.Why
	}
	return "[" + strings.Join(parts, " ") + "]"
}

// SetServers takes the backend servers of the own failure domain.
func (r *Router) SetServers(specs []event.VM) {
	servers := map[units.BackendServerID]*Server{}
	r.order = r.order[:0]
	for _, spec := range specs {
		id := units.BackendServerID(spec.ID)
		s := r.servers[id]
		if s == nil {
			s = &Server{hash: xxhash.Sum64String(spec.ID)}
		}
		s.Spec = spec
		s.Leaving = spec.State == event.VMLeaving
		servers[id] = s
		r.order = append(r.order, s)
	}
	for id, s := range r.servers {
		if servers[id] == nil {
			r.copies.replace(s, &s.Summary, &peer.ServerSummary{})
		}
	}
	r.servers = servers
	slices.SortFunc(r.order, func(a, b *Server) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	for i, s := range r.order {
		s.place = float64(i) / float64(len(r.order))
	}
}

// Server returns the server called id, or nil.
func (r *Router) Server(id units.BackendServerID) *Server { return r.servers[id] }

// Servers returns all servers sorted by id.
func (r *Router) Servers() []*Server { return r.order }

// HasEngine reports whether any engine of a base model is known, usable or not.
func (r *Router) HasEngine(base units.ModelName) bool {
	return slices.ContainsFunc(r.order, func(s *Server) bool { return s.Spec.Kind == event.KindEngine && s.Spec.Base == base })
}

// HasService reports whether any instance of a plain service is known, usable or
// not.
func (r *Router) HasService(service units.ServiceName) bool {
	return slices.ContainsFunc(r.order, func(s *Server) bool { return s.Spec.Kind == event.KindService && s.Spec.Service == service })
}

// Copies returns the number of servers that have av or load it.
func (r *Router) Copies(av units.AdapterVersion) int { return len(r.copies.places[av]) }

// Summarize takes an owner's word on a server. A word with a smaller fencing
// number than the last is of an earlier owner and ignored.
func (r *Router) Summarize(now clock.Millis, summary peer.ServerSummary) {
	s := r.servers[summary.Server]
	if s == nil || summary.Fence < s.Summary.Fence {
		return
	}
	r.copies.replace(s, &s.Summary, &summary)
	s.Summary = summary
	s.SummaryAt = now
	s.SentSince, s.absentSince = 0, 0
	if now-s.recentAt < summaryLag {
		s.SentSince = s.recent
	}
}

// Avoid keeps requests away from a server until an instant.
func (r *Router) Avoid(id units.BackendServerID, until clock.Millis) {
	if s := r.servers[id]; s != nil {
		s.AvoidUntil = max(s.AvoidUntil, until)
	}
}

// Sent notes that a request was sent to a server, whose adapter may be absent
// there.
func (r *Router) Sent(now clock.Millis, id units.BackendServerID, absent bool) {
	s := r.servers[id]
	if s == nil {
		return
	}
	if now-s.recentAt >= summaryLag {
		s.recentAt, s.recent = now, 0
	}
	s.recent++
	s.SentSince++
	if absent {
		s.absentSince++
	}
}

// Ended notes that a request that was sent to a server has ended. A service
// time above 0 is learned from.
func (r *Router) Ended(id units.BackendServerID, service clock.Millis) {
	if s := r.servers[id]; s != nil {
		s.SentSince--
	}
	if service > 0 {
		learn(&r.service, service)
	}
}

// Loaded notes how long a request waited for an adapter that was not there.
func (r *Router) Loaded(wait clock.Millis) { learn(&r.loadWait, wait) }

// learnGain is the weight of the newest of the learned times.
const learnGain = 0.05

func learn(mean *float64, sample clock.Millis) {
	if *mean == 0 {
		*mean = float64(sample)
	}
	*mean += learnGain * (float64(sample) - *mean)
}

// Engine chooses a model engine for a request on av, other than those in tried.
// It returns a choice without server if none can be used.
func (r *Router) Engine(now clock.Millis, base units.ModelName, av units.AdapterVersion, tried []units.BackendServerID) Choice {
	r.mark(av)
	r.refused = r.refused[:0]
	key := xxhash.Sum64String(string(av.Adapter)) ^ xxhash.Sum64String(string(av.Version))<<1
	var best *Server
	var bestCost float64
	for _, s := range r.order {
		if s.Spec.Kind != event.KindEngine || s.Spec.Base != base {
			continue
		}
		if why := s.unusable(now, tried); why != "" {
			r.refused = append(r.refused, RefusedServer{s.ID(), why})
			continue
		}
		if cost := r.cost(s, key); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	choice := Choice{Server: best, Refused: r.refused}
	if best != nil {
		state := best.stateIn(r.epoch)
		choice.Reason = state.String()
		choice.Resident, choice.Absent = state == copyResident, state == copyAbsent
		choice.QueueWait = clock.Millis(r.queueWait(best))
	}
	return choice
}

// mark sets the state of av at the servers that have it, for a new epoch.
func (r *Router) mark(av units.AdapterVersion) {
	r.epoch++
	r.marked = len(r.copies.places[av])
	for _, p := range r.copies.places[av] {
		p.server.epoch, p.server.state = r.epoch, p.state
	}
}

func (s *Server) stateIn(epoch uint64) copyState {
	if s.epoch != epoch {
		return copyAbsent
	}
	return s.state
}

// Service chooses an instance of a plain service.
func (r *Router) Service(now clock.Millis, service units.ServiceName, tried []units.BackendServerID) Choice {
	r.refused = r.refused[:0]
	var choice Choice
	for _, s := range r.order {
		if s.Spec.Kind != event.KindService || s.Spec.Service != service {
			continue
		}
		if why := s.unreachable(now, tried); why != "" {
			r.refused = append(r.refused, RefusedServer{s.ID(), why})
			continue
		}
		if choice.Server == nil || s.SentSince < choice.Server.SentSince {
			choice.Server, choice.Reason = s, "least_sent"
		}
	}
	choice.Refused = r.refused
	return choice
}

func (s *Server) unreachable(now clock.Millis, tried []units.BackendServerID) string {
	switch {
	case slices.Contains(tried, s.ID()):
		return "tried"
	case s.Leaving:
		return "leaving"
	case now < s.AvoidUntil:
		return "avoided"
	default:
		return ""
	}
}

func (s *Server) unusable(now clock.Millis, tried []units.BackendServerID) string {
	switch {
	case s.SummaryAt == 0 || now >= s.SummaryAt+SummaryTerm:
		return "not_heard"
	case !s.Summary.Usable:
		return "not_usable"
	default:
		return s.unreachable(now, tried)
	}
}
