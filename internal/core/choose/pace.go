package choose

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/pace"
	"mangostile/internal/core/peer"
)

// The pace of a backend server is learned from its answers, relative to the other servers of its
// service. The placer of a shard compares its engines, from the answers of all entry VMs. While it is
// down, and for plain services, each entry VM compares servers by the answers that it got itself.

const (
	// comparePeriod is the time between two comparisons: a step of the pace takes several answers.
	comparePeriod = clock.Second
	// answerBase is the time in ms until an idle engine's first event beyond that of reading the
	// prompt: a step of its batch and the way there and back.
	answerBase = 50
	// lightPrefill is the largest number of waiting prompt tokens at which the time of an engine shows its
	// pace, some 100 ms of them: how long it takes to read more depends on what is in its cache.
	lightPrefill = 3000
	// settleTime is how long after the entry VM became ready servers that it first learns of count as
	// running already, rather than as just started: the list may still be incomplete.
	settleTime = 3 * clock.Second
	// unreachableTimes is the number of broken connections in a row after which a server that answers
	// again counts as recovered.
	unreachableTimes = 3
	// unprovenSlowness is the slowness, relative to its pace, at which a server counts beyond its window:
	// a cold one is some times as slow.
	unprovenSlowness = 2
	// loadAge is the time in ms until a send is counted in the load that other entry VMs see: the
	// periods of usage reports and of updates with loads.
	loadAge = 350
)

// serverPace is what is known of the pace of one process of a backend server. Given reports that step and
// window are those that its placer published.
type serverPace struct {
	pace.Server
	// light and loaded are the answers not yet reported to the placer, as in pace.Server.
	light, loaded pace.Sample
	// asked counts the requests of this entry VM that could have run here, within the second that began
	// at askedAt, and lastAsked those in the one before. lastRequest is the last of them.
	asked, lastAsked int32
	askedAt          clock.Millis
	lastRequest      units.RequestID
}

// attemptTime is the time of the last send of a request: when it began, 0 once its answer was counted, how
// long it was expected to take in ms at the common pace, and whether it found the server under load.
type attemptTime struct {
	sentAt   clock.Millis
	expected float64
	loaded   bool
}

// prefillRate returns the number of prompt tokens that an engine reads per ms.
func (c *Core) prefillRate(v *view) float64 { return c.cfg.Policy.PrefillPerMS / v.pace.Step.Factor() }

// plainTime returns the time in ms of a request at an idle backend server of a plain service.
func (c *Core) plainTime(v *view) float64 { return plainRequestCost * v.pace.Step.Factor() }

// expectedAtCommonPace returns what expected returned if all servers were equally fast. No request is refused
// because a server seems slow.
func (c *Core) expectedAtCommonPace(r *Request, v *view) float64 {
	step := v.pace.Step
	v.pace.Step = 0
	defer func() { v.pace.Step = step }()
	return c.expected(r, v)
}

// timeSend records when r is sent to v, before it counts in v's load.
func (c *Core) timeSend(r *Request, v *view) {
	r.time = attemptTime{sentAt: c.now, expected: c.expectedAtCommonPace(r, v)}
	if v.engine != nil {
		r.time.expected += answerBase
		r.time.loaded = v.own.prefill+v.others.prefill > lightPrefill
	}
}

// Answered records that the first event or the answer of r came from a backend server. ok is false if it
// was a failure of the server.
func (c *Core) Answered(now clock.Millis, r *Request, server units.BackendServerID, ok bool) {
	c.now = max(c.now, now)
	if v := c.servers[server]; v != nil {
		c.learn(r, v, !ok)
	}
}

// learnEnd records how a send ended that got no answer.
func (c *Core) learnEnd(r *Request, v *view, end End) {
	switch end {
	case EndFull, EndFailed:
		// Limits and back-offs are heeded for themselves.
		if v.limit.named == 0 && c.now >= v.backoff.until {
			c.learn(r, v, true)
		}
	case EndCanceled:
		// How long it would have taken is not known, only that it was longer.
		if float64(c.now-r.time.sentAt) > r.time.expected {
			c.learn(r, v, false)
		}
	case EndUnsent, EndBroken:
		if v.health.broken >= unreachableTimes && !c.cfg.Policy.FixedPace {
			v.pace.Window.Open(v.Slots)
		}
	case EndServed, EndMissing, EndWithdrawn:
	}
	r.time = attemptTime{}
}

// learn takes the sample of r's last send.
func (c *Core) learn(r *Request, v *view, refused bool) {
	if r.time.sentAt == 0 {
		return
	}
	took, expected, loaded := float64(c.now-r.time.sentAt), r.time.expected, r.time.loaded
	r.time = attemptTime{}
	answer := pace.Sample{}
	if refused {
		answer.AddRefused(took, expected, v.pace.Usual(c.now, expected))
	} else {
		answer.Add(took, expected)
	}
	switch {
	case v.engine == nil:
	case loaded:
		v.pace.loaded.Merge(answer)
	default:
		v.pace.light.Merge(answer)
	}
	scale := float64(c.memberCount())
	if v.pace.Given {
		// The placer counts the answers to all.
		scale = 0
	}
	v.pace.Note(c.now, answer, loaded, scale, v.Slots)
}

// memberCount returns the number of entry VMs, as far as it is known.
func (c *Core) memberCount() int32 { return max(c.members, int32(1+len(c.others))) }

// comparePaces compares the servers of each service by own answers, where no placer does.
func (c *Core) comparePaces() {
	if c.cfg.Policy.FixedPace || c.now < c.comparedAt+comparePeriod {
		return
	}
	c.comparedAt = c.now
	for _, list := range c.byService {
		paces := make([]*pace.Server, len(list))
		for i, v := range list {
			v.pace.Given = v.pace.Given && c.placer(string(v.Region)) != nil
			paces[i] = &v.pace.Server
		}
		pace.Compare(c.now, paces)
		for _, v := range list {
			if state, changed := v.pace.Changed(); changed && !v.pace.Given && len(c.paceNews) < maxPaceNews {
				c.paceNews = append(c.paceNews, PaceNews{Server: v.ID, State: state})
			}
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

// TakePaceNews returns the changes of paces that this entry VM found itself since the last call.
func (c *Core) TakePaceNews() []PaceNews {
	news := c.paceNews
	c.paceNews = nil
	return news
}

// noteStart begins the pace of a listed server: a new process has a window. isNew reports that no process
// of it was known.
func (c *Core) noteStart(v *view, isNew bool) {
	if c.cfg.Policy.FixedPace {
		return
	}
	if remaining := v.ColdRemaining; remaining > 0 {
		v.pace.ColdUntil = c.now + remaining
	}
	settled := c.readyAt > 0 && c.now >= c.readyAt+settleTime
	if !isNew || settled || v.ColdRemaining > 0 {
		v.pace.Window.Open(v.Slots)
	}
}

// takePace moves answers since the last usage report to u: those under little load or, if there are none,
// the others.
func (v *view) takePace(u *peer.ServerUsage) {
	from := &v.pace.light
	if from.Answers == 0 {
		from, u.Loaded = &v.pace.loaded, v.pace.loaded.Answers > 0
	}
	u.Answers, u.Refused, u.Timed = from.Answers, from.Refused, from.Timed
	u.Took, u.Expected = clock.Millis(from.Took), clock.Millis(from.Expected)
	*from = pace.Sample{}
}

// setPace sets the pace that the placer has published.
func (c *Core) setPace(v *view, h *peer.ServerPlacement) {
	if c.cfg.Policy.FixedPace {
		return
	}
	v.pace.Given = true
	v.pace.Step = h.Pace
	v.pace.Window.Set(h.Window)
}

// paceCost returns the cost in ms of sending r to a server that has just started or recovered, beyond
// what its window admits. It is a cost rather than a bar: such a server takes requests for which all
// others are worse, so that nothing is refused or waits for its window.
func (c *Core) paceCost(r *Request, v *view) float64 {
	limit := float64(v.pace.Window.Limit())
	if limit == 0 {
		return 0
	}
	v.pace.ask(c.now, r)
	total := float64(v.own.active + v.others.active)
	if total >= limit {
		return (unprovenSlowness - 1) * c.expected(r, v)
	}
	// Other entry VMs see the same room, and what they send counts here only after loadAge. If they are
	// likely to fill it, only some requests take it for empty.
	expected := float64(c.memberCount()) * v.pace.askedRate(c.now) * loadAge
	if limit-total >= expected || spread(r.ID, v.ID)*expected < limit-total {
		return 0
	}
	perRequest := c.plainTime(v) / float64(max(1, v.Slots))
	if v.engine != nil {
		perRequest = float64(r.PromptTokens) / c.prefillRate(v)
	}
	return (limit - total) * perRequest
}

// askedRate returns the number of requests per ms of this entry VM that could run at the server, apart from
// the one at hand: one entry VM of many has none in most seconds.
func (p *serverPace) askedRate(now clock.Millis) float64 {
	return float64(p.asked-1+p.lastAsked) / float64(now-p.askedAt+clock.Second)
}

// ask counts a request that could run at the server.
func (p *serverPace) ask(now clock.Millis, r *Request) {
	if r.ID == p.lastRequest && now < p.askedAt+clock.Second {
		return
	}
	p.lastRequest = r.ID
	if now >= p.askedAt+clock.Second {
		p.lastAsked = 0
		if now < p.askedAt+2*clock.Second {
			p.lastAsked = p.asked
		}
		p.asked, p.askedAt = 0, now
	}
	p.asked++
}
