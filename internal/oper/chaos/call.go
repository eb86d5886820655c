package chaos

import (
	"fmt"
	"math"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// call is one request of a caller over its attempts.
type call struct {
	choose.Request
	vm int
	// began is when the caller sent its first attempt, firstAt when the first event came, 0 if none
	// has, and served whether all events came in time.
	began, firstAt clock.Millis
	served         bool
	retries        int
	// versions are those that wrote events of the stream, events is their number.
	versions []topo.Software
	events   int
	// generatesFrom is when the server of the last send begins to generate.
	generatesFrom clock.Millis
}

// route is that of all requests.
var route = &topo.Route{Name: "stream", Kind: topo.KindStream, Target: target, MaxAttempts: 3, Resumable: true}

// arrive plans the arrival of the next request, until the end of the run.
func (w *world) arrive() {
	pause := clock.Millis(w.arrivals.ExpFloat64()*float64(clock.Second)/w.scenario.Rate + 0.5)
	w.after(pause, func() {
		if w.now < clock.Second+w.scenario.Duration {
			w.newCall()
			w.arrive()
		}
	})
}

func (w *world) newCall() {
	// Adapters with low numbers are requested more often.
	adapter := int(float64(w.scenario.Adapters) * math.Pow(w.arrivals.Float64(), 3))
	c := &call{vm: w.arrivals.IntN(len(w.cores)), began: w.now}
	c.Request = choose.Request{
		ID: units.RequestID(fmt.Sprint("r", len(w.calls))), Route: route, Service: service, Adapter: units.AdapterName(fmt.Sprintf("%s/a%d", model, adapter)),
		PromptTokens: promptTokens, MaxTokens: outputTokens, Arrived: w.now, Deadline: w.now + requestBudget,
	}
	w.calls = append(w.calls, c)
	w.cores[c.vm].Arrived(w.now, service)
	w.decide(c)
}

// decide carries out what the caller's entry VM chooses.
func (w *world) decide(c *call) {
	core := w.cores[c.vm]
	if w.now >= c.Deadline || len(c.Tried) >= maxSends {
		core.Abandoned(&c.Request)
		return
	}
	switch choice := core.Choose(w.now, &c.Request).(type) {
	case choose.Send:
		w.after(messageDelay, func() { w.deliver(c, choice) })
	case choose.Wait:
		w.wait(c, choice)
	case choose.Refuse:
		w.refuse(c, choice.RetryAfter)
	}
}

func (w *world) wait(c *call, choice choose.Wait) {
	w.after(min(waitPeriod, max(1, choice.Until-w.now)), func() {
		select {
		case <-choice.Changed:
			w.decide(c)
		default:
			if w.now >= choice.Until {
				w.decide(c)
			} else {
				w.wait(c, choice)
			}
		}
	})
}

// refuse ends an attempt; the caller returns once after the time that it was told, at any entry VM.
func (w *world) refuse(c *call, retryAfter clock.Millis) {
	if c.Started || retryAfter == 0 || c.retries >= callerRetries {
		return
	}
	c.retries++
	w.after(min(retryAfter, (c.Deadline-w.now)/3), func() {
		c.vm = w.returns.IntN(len(w.cores))
		c.Tried, c.Sends, c.Arrived = nil, 0, w.now
		w.cores[c.vm].Arrived(w.now, service)
		w.decide(c)
	})
}

// deliver lets a request reach a server.
func (w *world) deliver(c *call, to choose.Send) {
	core, s := w.cores[c.vm], w.server(to.Server)
	again := func(end choose.End) {
		core.Ended(w.now, &c.Request, to.Server, false, end)
		w.decide(c)
	}
	readyAt, held := s.copies[c.Adapter]
	switch {
	case w.heeds && core.Withdrawn(w.now, to.Server) != "":
		again(choose.EndWithdrawn)
		return
	case s.ended:
		again(choose.EndUnsent)
		return
	case w.now < s.backoffUntil:
		w.inBackoff++
		if w.heeds {
			core.NoteBackoff(w.now, to.Server, to.StartedAt, s.backoffUntil-w.now)
		}
		again(choose.EndFull)
		return
	}
	if w.heeds {
		w.nameLimit(c, to, s)
	}
	if s.limit > 0 {
		s.arrivals = append(s.arrivals, w.now)
	}
	if s.leaving {
		w.atLeaving++
		if w.heeds {
			core.NoteLeaving(to.Server, to.StartedAt)
		}
	}
	switch {
	case !held || readyAt > w.now:
		again(choose.EndMissing)
	case len(s.running) >= slots+maxQueued:
		again(choose.EndFull)
	default:
		w.generate(c, s)
	}
}

// nameLimit lets the answer of a server name its limit, or none. All entry VMs learn of it.
func (w *world) nameLimit(c *call, to choose.Send, s *server) {
	core := w.cores[c.vm]
	limit := peer.ServerLimit{Server: to.Server, StartedAt: to.StartedAt, Limit: s.limit}
	changed := false
	if s.limit > 0 {
		changed = core.NoteLimit(w.now, limit)
	} else {
		changed = core.NoteNoLimit(w.now, w.now-messageDelay, to.Server, to.StartedAt)
	}
	if !changed {
		return
	}
	w.after(gossipDelay, func() {
		limit.Age = gossipDelay
		for _, other := range w.cores {
			other.NoteLimit(w.now, limit)
		}
	})
}

// generate lets a server read a prompt and write the events that the caller does not have.
func (w *world) generate(c *call, s *server) {
	s.running[c] = true
	speed := prefillPerMS
	if s.limit > 0 {
		speed *= limitedShare
	}
	if w.now < s.slowUntil {
		speed *= slowShare
	}
	s.prefillFreeAt = max(s.prefillFreeAt, w.now) + clock.Millis(float64(c.PromptTokens)/speed)
	c.generatesFrom = s.prefillFreeAt
	w.after(s.prefillFreeAt-w.now, func() {
		if !s.running[c] {
			return
		}
		w.cores[c.vm].Answered(w.now, &c.Request, s.ID, true)
		w.cores[c.vm].Started(&c.Request, s.ID)
		if c.firstAt == 0 {
			c.firstAt = w.now
		}
		c.Started, c.Software = true, s.Software
		if !w.heeds {
			// Another version may go on.
			c.Started = false
		}
		w.addVersion(c, s.Software)
	})
	w.after(s.prefillFreeAt-w.now+clock.Millis(events-c.events)*eventPeriod, func() {
		if !s.running[c] {
			return
		}
		delete(s.running, c)
		w.cores[c.vm].Ended(w.now, &c.Request, s.ID, true, choose.EndServed)
		c.served = w.now <= c.Deadline
	})
}

func (w *world) addVersion(c *call, version topo.Software) {
	if slices.Contains(c.versions, version) {
		return
	}
	if c.versions = append(c.versions, version); len(c.versions) == 2 {
		w.mixed++
	}
}

// breakOff breaks a request at a server that ends; the entry VM goes on with it elsewhere.
func (w *world) breakOff(c *call, s *server) {
	delete(s.running, c)
	began := w.now >= c.generatesFrom
	if began {
		c.events += int((w.now - c.generatesFrom) / eventPeriod)
	}
	w.cores[c.vm].Ended(w.now, &c.Request, s.ID, began, choose.EndBroken)
	w.after(0, func() { w.decide(c) })
}
