package pace

import "mangostile/internal/base/clock"

// loadedRatio is how many times as slow as others a server must look under load for it to count: how much of
// the prompts is in its cache hides smaller differences.
const loadedRatio = 2

// Server is what is known of the pace of one process of a backend server. The zero value knows nothing.
type Server struct {
	// Step is its pace relative to the other servers of its service. Given reports that it is not that of
	// the last comparison but was set by its user.
	Step  Step
	Given bool
	// Window bounds its requests after its start, or after it was down.
	Window Window
	// ColdUntil is until when it is slow after its start, as it said itself.
	ColdUntil clock.Millis
	// light holds the answers to requests that found the server under little load, loaded the others.
	// How long those take depends on what is in its cache, too, so the two are compared separately.
	light, loaded belief
	// told is the state of which Changed last reported a change.
	told State
}

// State is what operators see of a server's pace.
type State struct {
	Step   Step
	Window int32
}

// Changed returns the state, and reports whether the step changed since the last call, or the window opened
// or ended.
func (s *Server) Changed() (State, bool) {
	state := State{Step: s.Step, Window: s.Window.Limit()}
	changed := state.Step != s.told.Step || (state.Window == 0) != (s.told.Window == 0)
	s.told = state
	return state, changed
}

// belief is the work of a server, and the slowness that its service had at the last comparison, 0 before.
type belief struct {
	Work
	common float64
}

func (b *belief) prior() float64 {
	if b.common == 0 {
		return 1
	}
	return b.common
}

// Note counts answers. loaded reports that the requests found the server under load; scale and slots are
// those of Window.Note.
func (s *Server) Note(now clock.Millis, answers Sample, loaded bool, scale float64, slots int32) {
	b := &s.light
	if loaded {
		b = &s.loaded
	}
	s.Window.Note(now, answers, b.Slowness(now, b.prior()), scale, slots)
	b.Add(now, answers, b.prior())
}

// Usual returns the time in ms that an answer is believed to take of which expected is the time at the
// common pace.
func (s *Server) Usual(now clock.Millis, expected float64) float64 {
	return expected * s.light.Slowness(now, s.light.prior())
}

// Compare sets the steps of the servers of one service.
func Compare(now clock.Millis, list []*Server) {
	light := commonOf(now, list, func(s *Server) *belief { return &s.light })
	loaded := commonOf(now, list, func(s *Server) *belief { return &s.loaded })
	for _, s := range list {
		s.light.common, s.loaded.common = light, loaded
		if s.Given {
			continue
		}
		prior := light
		if now < s.ColdUntil {
			prior *= ColdSlowness
		}
		relative := s.light.Slowness(now, prior) / light
		if r := s.loaded.Slowness(now, loaded) / loaded; r >= loadedRatio {
			relative = max(relative, r)
		}
		// Servers that seem fast are those that happen to have the prompts in their caches. They get
		// more requests by their lower load.
		s.Step = max(0, s.Step.Next(relative))
	}
}

// commonOf returns the median of the slownesses that are known.
func commonOf(now clock.Millis, list []*Server, of func(*Server) *belief) float64 {
	var known []float64
	for _, s := range list {
		if b := of(s); b.Known(now) {
			known = append(known, b.Slowness(now, b.prior()))
		}
	}
	return Median(known)
}
