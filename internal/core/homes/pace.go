package homes

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/pace"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// comparePeriod is the time between two comparisons of the paces of backend servers: a step takes
// several answers.
const comparePeriod = 500 * clock.Millis(1)

// noteStart begins the pace of a process that was listed. isNew reports that no process of the backend
// server was known: one in the first list of a placer need not have just started.
func (p *Placer) noteStart(s *server, isNew bool, entry *topo.Server) {
	if p.policy.FixedPace {
		return
	}
	if entry.ColdRemaining > 0 {
		s.pace.ColdUntil = p.now + entry.ColdRemaining
	}
	if !isNew || len(p.order) > 0 || entry.ColdRemaining > 0 {
		s.pace.Window.Open(entry.Slots)
	}
}

// learnPace counts the answers in a usage report.
func (p *Placer) learnPace(u *peer.ServerUsage) {
	if s := p.servers[u.Server]; s != nil && u.Answers > 0 {
		answers := pace.Sample{Answers: u.Answers, Refused: u.Refused, Timed: u.Timed, Took: float64(u.Took), Expected: float64(u.Expected)}
		s.pace.Note(p.now, answers, u.Loaded, 1, s.Slots)
	}
}

// comparePaces compares the backend servers of each service.
func (p *Placer) comparePaces() {
	if p.policy.FixedPace || p.now < p.comparedAt+comparePeriod {
		return
	}
	p.comparedAt = p.now
	byService := map[units.ServiceName][]*pace.Server{}
	for _, s := range p.servers {
		byService[s.Service] = append(byService[s.Service], &s.pace)
	}
	for _, list := range byService {
		pace.Compare(p.now, list)
	}
	for _, id := range p.order {
		if state, changed := p.servers[id].pace.Changed(); changed && len(p.paceNews) < maxPaceNews {
			p.paceNews = append(p.paceNews, PaceNews{Server: id, State: state})
		}
	}
}

// PaceNews is a change of the pace of a backend server.
type PaceNews struct {
	Server units.BackendServerID
	pace.State
}

// maxPaceNews limits the number of changes that wait to be logged.
const maxPaceNews = 256

// TakePaceNews returns the changes of paces since the last call.
func (p *Placer) TakePaceNews() []PaceNews {
	news := p.paceNews
	p.paceNews = nil
	return news
}

// waiting returns the waiting prompt tokens of s, as many as an engine of the common pace reads in the
// same time.
func (s *server) waiting() units.Tokens {
	return units.Tokens(float64(s.prefill) * s.pace.Step.Factor())
}
