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

// SummaryTTL is how long an owner's summary is valid.
const SummaryTTL = 4 * clock.Second

// summaryLag is how long before the receipt of a summary a request may have been sent
// without being counted in it.
const summaryLag = 50 * clock.Millis(1)

// Server is the router's record of one backend server of the local failure domain.
type Server struct {
	Spec event.VM
	// Leaving is set if the platform's list, the operators' table or the server itself
	// reports that the server is leaving.
	Leaving bool
	// Summary is the owner's last summary, received at SummaryAt.
	Summary   peer.ServerSummary
	SummaryAt clock.Millis
	// SentSince is the number of requests sent to the server that are not in Summary,
	// minus the ended requests that are.
	SentSince int32
	// absentSince is the number of requests in SentSince whose adapter was absent.
	absentSince int32
	// recent is the number of requests in SentSince sent from recentAt on.
	recent   int32
	recentAt clock.Millis
	// AvoidUntil is the time before which no request is sent, set after the server broke a
	// connection.
	AvoidUntil clock.Millis
	// hash is the hash of the server's ID.
	hash uint64
	// position is the position in Router.order, from 0 up to 1.
	position float64
	// state is the state of the adapter that the choice numbered epoch is for.
	state copyState
	epoch uint64
}

// ID returns the server's ID.
func (s *Server) ID() units.BackendServerID { return units.BackendServerID(s.Spec.ID) }

// Router chooses between the backend servers of the local failure domain. The zero value
// has none.
type Router struct {
	// Objective is 0 to keep load stalls short and 1 to keep batches full.
	Objective float64
	servers   map[units.BackendServerID]*Server
	// order holds servers sorted by ID.
	order  []*Server
	copies copies
	// epoch numbers the choices; marked is the number of copies of the adapter that the
	// current choice is for.
	epoch   uint64
	marked  int
	skipped Skipped
	// loadWait and service are moving averages in ms; 0 means no measurement yet.
	loadWait float64
	service  float64
}

// Choice is a chosen server and the servers that were skipped.
type Choice struct {
	// Server is nil if no server can be used.
	Server *Server
	// Reason is the state of the adapter on Server, or the rule of choice, for log lines.
	Reason string
	// QueueWait is the expected time in ms until the server has a free place in its batch.
	QueueWait clock.Millis
	// Resident is set if the server has the adapter, Absent if it neither has nor loads
	// it.
	Resident, Absent bool
	// Skipped lists the servers that could not be used. It is valid until the next choice.
	Skipped Skipped
}

// Skipped lists servers that could not be used, each with the reason.
type Skipped []SkippedServer

// SkippedServer is a server that could not be used.
type SkippedServer struct {
	Server units.BackendServerID
	Why    string
}

// String formats r for a log line.
func (r Skipped) String() string {
	parts := make([]string, len(r))
	for i, skipped := range r {
		parts[i] = string(skipped.Server) + ":" + skipped.Why
	}
	return "[" + strings.Join(parts, " ") + "]"
}

// SetServers sets the backend servers of the local failure domain.
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
		s.position = float64(i) / float64(len(r.order))
	}
}

// Server returns the server with the given ID, or nil.
func (r *Router) Server(id units.BackendServerID) *Server { return r.servers[id] }

// Servers returns all servers, sorted by ID.
func (r *Router) Servers() []*Server { return r.order }

// HasEngine reports whether there is an engine of a base model, usable or not.
func (r *Router) HasEngine(base units.ModelName) bool {
	return slices.ContainsFunc(r.order, func(s *Server) bool { return s.Spec.Kind == event.KindEngine && s.Spec.Base == base })
}

// HasService reports whether there is an instance of a plain service, usable or not.
func (r *Router) HasService(service units.ServiceName) bool {
	return slices.ContainsFunc(r.order, func(s *Server) bool { return s.Spec.Kind == event.KindService && s.Spec.Service == service })
}

// Copies returns the number of servers that have av or load it.
func (r *Router) Copies(av units.AdapterVersion) int { return len(r.copies.placements[av]) }

// ApplySummary applies an owner's summary of a server. A summary with a smaller fencing
// number than the last one is from an earlier owner and ignored.
func (r *Router) ApplySummary(now clock.Millis, summary peer.ServerSummary) {
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

// Avoid excludes a server from choices before until.
func (r *Router) Avoid(id units.BackendServerID, until clock.Millis) {
	if s := r.servers[id]; s != nil {
		s.AvoidUntil = max(s.AvoidUntil, until)
	}
}

// Sent records that a request was sent to a server. absent reports that its adapter was
// absent there.
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

// Ended records that a request sent to a server has ended. A service time above 0, in ms,
// updates the estimate.
func (r *Router) Ended(id units.BackendServerID, service clock.Millis) {
	if s := r.servers[id]; s != nil {
		s.SentSince--
	}
	if service > 0 {
		updateAverage(&r.service, service)
	}
}

// Loaded records how long, in ms, a request waited for an absent adapter.
func (r *Router) Loaded(wait clock.Millis) { updateAverage(&r.loadWait, wait) }

// averageGain is the weight of the newest sample in a moving average.
const averageGain = 0.05

func updateAverage(average *float64, sample clock.Millis) {
	if *average == 0 {
		*average = float64(sample)
	}
	*average += averageGain * (float64(sample) - *average)
}

// Engine chooses a model engine for a request on av, excluding those in tried. The choice
// has no server if none can be used.
func (r *Router) Engine(now clock.Millis, base units.ModelName, av units.AdapterVersion, tried []units.BackendServerID) Choice {
	r.mark(av)
	r.skipped = r.skipped[:0]
	key := xxhash.Sum64String(string(av.Adapter)) ^ xxhash.Sum64String(string(av.Version))<<1
	var best *Server
	var bestCost float64
	for _, s := range r.order {
		if s.Spec.Kind != event.KindEngine || s.Spec.Base != base {
			continue
		}
		if why := s.unusable(now, tried); why != "" {
			r.skipped = append(r.skipped, SkippedServer{s.ID(), why})
			continue
		}
		if cost := r.cost(s, key); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	choice := Choice{Server: best, Skipped: r.skipped}
	if best != nil {
		state := best.stateIn(r.epoch)
		choice.Reason = state.String()
		choice.Resident, choice.Absent = state == copyResident, state == copyAbsent
		choice.QueueWait = clock.Millis(r.queueWait(best))
	}
	return choice
}

// mark starts a new epoch and sets the state of av at the servers that have or load it.
func (r *Router) mark(av units.AdapterVersion) {
	r.epoch++
	r.marked = len(r.copies.placements[av])
	for _, p := range r.copies.placements[av] {
		p.server.epoch, p.server.state = r.epoch, p.state
	}
}

func (s *Server) stateIn(epoch uint64) copyState {
	if s.epoch != epoch {
		return copyAbsent
	}
	return s.state
}

// Service chooses the instance of a plain service with the fewest requests, excluding
// those in tried. The choice has no server if none can be used.
func (r *Router) Service(now clock.Millis, service units.ServiceName, tried []units.BackendServerID) Choice {
	r.skipped = r.skipped[:0]
	var choice Choice
	for _, s := range r.order {
		if s.Spec.Kind != event.KindService || s.Spec.Service != service {
			continue
		}
		if why := s.unreachable(now, tried); why != "" {
			r.skipped = append(r.skipped, SkippedServer{s.ID(), why})
			continue
		}
		if choice.Server == nil || s.SentSince < choice.Server.SentSince {
			choice.Server, choice.Reason = s, "least_sent"
		}
	}
	choice.Skipped = r.skipped
	return choice
}

// unreachable returns why no request can be sent to s, or "".
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

// unusable returns why the engine s cannot be chosen, or "".
func (s *Server) unusable(now clock.Millis, tried []units.BackendServerID) string {
	switch {
	case s.SummaryAt == 0 || now >= s.SummaryAt+SummaryTTL:
		return "not_heard"
	case !s.Summary.Usable:
		return "not_usable"
	default:
		return s.unreachable(now, tried)
	}
}
