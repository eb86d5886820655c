package owner

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// Crash is the crash of one process of a backend server, with the requests that were
// running on it.
type Crash struct {
	Server units.BackendServerID
	// Name identifies the crash among those of all servers.
	Name string
	// Suspects is sorted; 0 stands for requests of grants that an earlier owner gave.
	Suspects []units.Fingerprint
}

// brokenWindow is how long before the detection of a crash a broken connection is
// attributed to it.
const brokenWindow = 10 * clock.Second

// maxBroken bounds the broken connections that are recorded for one server.
const maxBroken = 64

// isolationDelay is how long a request that must run alone waits for a server to become
// idle by itself. After that the server is reserved for it and no other request is
// granted.
const isolationDelay = clock.Second

// brokenRequest is a request whose connection to the server broke.
type brokenRequest struct {
	fingerprint units.Fingerprint
	at          clock.Millis
}

// recordBroken records a request whose connection broke. The server is polled at the next
// tick, and nothing is granted until it reports that it is ready.
func (s *server) recordBroken(now clock.Millis, g *grant) {
	s.polledAt = now - PollPeriod
	s.report.Ready = false
	if len(s.broken) < maxBroken {
		s.broken = append(s.broken, brokenRequest{g.fingerprint, now})
	}
}

// TakeCrashes returns the crashes detected since the last call.
func (o *Owner) TakeCrashes() []Crash {
	crashes := o.crashes
	o.crashes = nil
	return crashes
}

// recordCrash records a crash of the process whose report s still holds. Requests that
// were running on it, or whose connection broke within brokenWindow, become suspects.
// Queued requests with the same fingerprint as a suspect are refused.
func (o *Owner) recordCrash(now clock.Millis, s *server, out *event.Effects) {
	crash := Crash{Server: s.id(), Name: s.spec.ID + "/" + s.report.Start}
	for _, b := range s.broken {
		if now-b.at < brokenWindow {
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
	s.queue = slices.DeleteFunc(s.queue, func(req *queuedRequest) bool {
		_, suspected := slices.BinarySearch(crash.Suspects, req.Fingerprint)
		if suspected {
			o.reply(req.from, &req.GrantRequest, 0, errs.Refuse(errs.CodeNoCapacity, "backend server %s crashed with the same request: send it again", s.spec.ID), out)
		}
		return suspected
	})
}

// chooseIsolated chooses the request for which the server is reserved, if any.
func (s *server) chooseIsolated(now clock.Millis) {
	s.reservedFor = nil
	for _, req := range s.queue {
		if c := s.copies[req.Adapter]; req.Isolated && now-req.receivedAt >= isolationDelay && c != nil && !c.loading && !c.unloading {
			s.reservedFor = req
			return
		}
	}
}

// waitsForIsolation reports whether req has to wait because it must run alone and the
// server is busy, or because the server is reserved for or runs an isolated request.
func (s *server) waitsForIsolation(req *queuedRequest) bool {
	if req.Isolated && len(s.grants) > 0 || s.reservedFor != nil && s.reservedFor != req {
		return true
	}
	for _, g := range s.grants {
		if g.isolated {
			return true
		}
	}
	return false
}

// adoptGrant records a grant that an earlier owner gave. The caller sets its expiry.
func (s *server) adoptGrant(from units.EntryVMID, h *peer.HeldGrant) *grant {
	g := &grant{number: h.Grant, holder: from, request: h.Request, attempt: h.Attempt, adapter: h.Adapter}
	s.grants[h.Grant] = g
	s.copy(h.Adapter).grants++
	return g
}
