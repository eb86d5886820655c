package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// copy returns the state of av on s and adds it if it is missing.
func (s *server) copy(av units.AdapterVersion) *copyState {
	c := s.copies[av]
	if c == nil {
		c = &copyState{}
		s.copies[av] = c
	}
	return c
}

// reset removes the state from before the server restarted. Grants and copies in use
// stay until they are released or expire: the restart is detected late, so they may
// belong to the new process.
func (s *server) reset() {
	for av, c := range s.copies {
		if c.grants == 0 && !c.loading && !c.unloading {
			delete(s.copies, av)
		}
	}
	if s.spec.ChecksFence {
		s.phase = phaseUnowned
	}
}

// syncCopies updates the copies from the adapters that the report requested at sentAt
// shows as loaded. Copies that the report lacks are removed, except those with grants or
// an order in flight and those used since sentAt. Loads in flight without a copy are another
// owner's.
func (s *server) syncCopies(sentAt clock.Millis) {
	s.otherLoads = s.otherLoads[:0]
	for _, av := range s.report.Loading {
		if s.copies[av] == nil {
			s.otherLoads = append(s.otherLoads, av)
		}
	}
	resident := map[units.AdapterVersion]bool{}
	for _, r := range s.report.Resident {
		resident[r.AdapterVersion] = true
		c := s.copy(r.AdapterVersion)
		if c.unloadLostAt > 0 && sentAt >= c.unloadLostAt+lostOrderWindow {
			c.unloading, c.unloadLostAt = false, 0
		}
		if r.Running == 0 {
			c.idleReportAt = max(c.idleReportAt, sentAt)
		}
	}
	for av, c := range s.copies {
		ordered := c.loading || c.unloading && c.unloadLostAt == 0
		if !resident[av] && !ordered && c.grants == 0 && c.usedAt < sentAt && c.unloadLostAt < sentAt {
			delete(s.copies, av)
		}
	}
}

// hasPendingOrder reports whether a load or unload order is in flight.
func (s *server) hasPendingOrder() bool {
	for _, c := range s.copies {
		if c.loading || c.unloading {
			return true
		}
	}
	return s.unloading > 0
}

// expireGrants removes grants that were not renewed.
func (s *server) expireGrants(now clock.Millis) {
	for number, g := range s.grants {
		if now < g.until {
			continue
		}
		delete(s.grants, number)
		if c := s.copies[g.adapter]; c != nil {
			c.grants--
			c.expiredAt = now
		}
	}
}

// lostOrderWindow is how long an order may still be executed after its result was lost.
const lostOrderWindow = 5 * clock.Second

// unloadDone applies the result of an unload order. A copy whose order was refused, fenced
// or not sent is used again. If the result was lost, nothing is granted on the copy until a
// report requested lostOrderWindow later still shows it.
func (s *server) unloadDone(now clock.Millis, ev event.OrderDone) {
	c := s.copies[ev.Order.Adapter]
	if c == nil || !c.unloading {
		return
	}
	if ev.Result.Kind == event.OrderAccepted {
		delete(s.copies, ev.Order.Adapter)
		return
	}
	if ev.Result.Kind == event.OrderLost {
		c.unloadLostAt = now
		return
	}
	c.unloading = false
	c.usedAt = now
}
