package owner

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// Crash is the end of one run of a backend server, with the requests that ran on
// it.
type Crash struct {
	Server units.BackendServerID
	// Name tells apart the crashes of all servers.
	Name     string
	Suspects []units.Fingerprint
}

// brokenTerm is how long before a crash is noticed a broken connection counts as
// part of it.
const brokenTerm = 10 * clock.Second

// maxBroken bounds the broken connections that are remembered of one server.
const maxBroken = 64

// isolateAfter is how long a request that must run alone waits for a server to
// become idle by itself. After that no other request is let onto the server.
const isolateAfter = clock.Second

// brokenRun is a request whose connection to the server broke.
type brokenRun struct {
	fingerprint units.Fingerprint
	at          clock.Millis
}

// noteBroken remembers a request whose connection broke. Nothing is granted until
// the server has been asked whether it runs.
func (s *server) noteBroken(now clock.Millis, g *grant) {
	s.polledAt = now - PollPeriod
	s.report.Ready = false
	if len(s.broken) < maxBroken {
		s.broken = append(s.broken, brokenRun{g.fingerprint, now})
	}
}

// TakeCrashes returns the crashes noticed since the last call.
func (o *Owner) TakeCrashes() []Crash {
	crashes := o.crashes
	o.crashes = nil
	return crashes
}

// crashed notes that a run of s has ended. Whatever ran on it, or broke shortly
// before, is suspected.
func (o *Owner) crashed(now clock.Millis, s *server, out *event.Effects) {
	crash := Crash{Server: s.id(), Name: s.spec.ID + "/" + s.report.Start}
	for _, b := range s.broken {
		if now-b.at < brokenTerm {
			crash.Suspects = append(crash.Suspects, b.fingerprint)
		}
	}
	s.broken = nil
	for _, g := range s.grants {
		crash.Suspects = append(crash.Suspects, g.fingerprint)
	}
	slices.Sort(crash.Suspects)
	crash.Suspects = slices.Compact(crash.Suspects)
	out.Add(event.Decision{Area: "poison", Choice: s.spec.ID, Reason: "backend_server_crashed", Pairs: []any{"crash", crash.Name, "suspects", len(crash.Suspects)}})
	if len(crash.Suspects) == 0 {
		return
	}
	o.crashes = append(o.crashes, crash)
	s.asks = slices.DeleteFunc(s.asks, func(a *ask) bool {
		_, suspected := slices.BinarySearch(crash.Suspects, a.Fingerprint)
		if suspected {
			o.reply(a.from, &a.GrantAsk, 0, errs.Refuse(errs.CodeNoCapacity, "backend server %s crashed with the same request: send it again", s.spec.ID), out)
		}
		return suspected
	})
}

// chooseIsolated chooses the request for which the server is emptied, if any.
func (s *server) chooseIsolated(now clock.Millis) {
	s.emptiedFor = nil
	for _, a := range s.asks {
		if c := s.copies[a.Adapter]; a.Isolated && now-a.askedAt >= isolateAfter && c != nil && !c.loading && !c.unloading {
			s.emptiedFor = a
			return
		}
	}
}

// mustWait reports whether a may not run beside what runs now, or must leave the
// server to a request that is to run alone.
func (s *server) mustWait(a *ask) bool {
	if a.Isolated && len(s.grants) > 0 || s.emptiedFor != nil && s.emptiedFor != a {
		return true
	}
	for _, g := range s.grants {
		if g.isolated {
			return true
		}
	}
	return false
}

// takeOver notes a grant that an earlier owner gave.
func (s *server) takeOver(from units.EntryVMID, h *peer.HeldGrant) *grant {
	g := &grant{number: h.Grant, holder: from, request: h.Request, attempt: h.Attempt, adapter: h.Adapter}
	s.grants[h.Grant] = g
	s.copy(h.Adapter).grants++
	return g
}
