// Package route chooses the backend server for a request.
package route

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// SummaryTerm is how long an owner's summary is believed.
const SummaryTerm = 4 * clock.Second

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
	// SentSince counts requests that were sent to the server after Summary.
	SentSince int32
	// AvoidUntil is set after the server broke a connection.
	AvoidUntil clock.Millis
}

// ID returns the server's id.
func (s *Server) ID() units.BackendServerID { return units.BackendServerID(s.Spec.ID) }

// Router holds the backend servers of the own failure domain. The zero value
// holds none.
type Router struct {
	servers map[units.BackendServerID]*Server
	// order is sorted by id.
	order []*Server
}

// Choice is a chosen server with the ways that were refused.
type Choice struct {
	Server *Server
	Reason string
	// Refused lists servers that could not be used, each with the reason.
	Refused []string
}

// SetServers takes the backend servers of the own failure domain.
func (r *Router) SetServers(specs []event.VM) {
	servers := map[units.BackendServerID]*Server{}
	r.order = r.order[:0]
	for _, spec := range specs {
		id := units.BackendServerID(spec.ID)
		s := r.servers[id]
		if s == nil {
			s = &Server{}
		}
		s.Spec = spec
		s.Leaving = spec.State == event.VMLeaving
		servers[id] = s
		r.order = append(r.order, s)
	}
	r.servers = servers
	slices.SortFunc(r.order, func(a, b *Server) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
}

// Server returns the server called id, or nil.
func (r *Router) Server(id units.BackendServerID) *Server { return r.servers[id] }

// Servers returns all servers sorted by id.
func (r *Router) Servers() []*Server { return r.order }

// Summarize takes an owner's word on a server. A word with a smaller fencing
// number than the last is of an earlier owner and ignored.
func (r *Router) Summarize(now clock.Millis, summary peer.ServerSummary) {
	s := r.servers[summary.Server]
	if s == nil || summary.Fence < s.Summary.Fence {
		return
	}
	s.Summary = summary
	s.SummaryAt = now
	s.SentSince = 0
}

// Avoid keeps requests away from a server until an instant.
func (r *Router) Avoid(id units.BackendServerID, until clock.Millis) {
	if s := r.servers[id]; s != nil {
		s.AvoidUntil = max(s.AvoidUntil, until)
	}
}

// Sent notes that a request was sent to a server.
func (r *Router) Sent(id units.BackendServerID) {
	if s := r.servers[id]; s != nil {
		s.SentSince++
	}
}

// Engine chooses a model engine for a request on av, other than those in tried.
// It returns a choice without server if none can be used.
func (r *Router) Engine(now clock.Millis, base units.ModelName, av units.AdapterVersion, tried []units.BackendServerID) Choice {
	var choice Choice
	var bestScore int32
	for _, s := range r.order {
		if s.Spec.Kind != event.KindEngine || s.Spec.Base != base {
			continue
		}
		if why := s.unusable(now, tried); why != "" {
			choice.Refused = append(choice.Refused, s.Spec.ID+":"+why)
			continue
		}
		score, reason := s.score(av)
		if choice.Server == nil || score < bestScore {
			choice.Server, choice.Reason, bestScore = s, reason, score
		}
	}
	return choice
}

// Service chooses an instance of a plain service.
func (r *Router) Service(now clock.Millis, service units.ServiceName, tried []units.BackendServerID) Choice {
	var choice Choice
	for _, s := range r.order {
		if s.Spec.Kind != event.KindService || s.Spec.Service != service {
			continue
		}
		if slices.Contains(tried, s.ID()) || s.Leaving || now < s.AvoidUntil {
			choice.Refused = append(choice.Refused, s.Spec.ID)
			continue
		}
		if choice.Server == nil || s.SentSince < choice.Server.SentSince {
			choice.Server, choice.Reason = s, "least_sent"
		}
	}
	return choice
}

func (s *Server) unusable(now clock.Millis, tried []units.BackendServerID) string {
	switch {
	case slices.Contains(tried, s.ID()):
		return "tried"
	case s.Leaving:
		return "leaving"
	case now < s.AvoidUntil:
		return "avoided"
	case s.SummaryAt == 0 || now >= s.SummaryAt+SummaryTerm:
		return "not_heard"
	case !s.Summary.Usable:
		return "not_usable"
	default:
		return ""
	}
}

// score is smaller for a better server.
func (s *Server) score(av units.AdapterVersion) (int32, string) {
	queued := s.Summary.Running + s.Summary.Waiting + s.SentSince
	switch {
	case slices.Contains(s.Summary.Resident, av):
		return queued, "resident"
	case slices.Contains(s.Summary.Loading, av):
		return queued + loadingCost, "loading"
	default:
		return queued + absentCost, "absent"
	}
}

// Costs of a copy that is not there, in requests ahead.
const (
	loadingCost = 8
	absentCost  = 16
)
