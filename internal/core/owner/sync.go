package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// copy returns the state of av on s, adding it if needed.
func (s *server) copy(av units.AdapterVersion) *copyState {
	c := s.copies[av]
	if c == nil {
		c = &copyState{}
		s.copies[av] = c
	}
	return c
}

// forget drops what was true of the server before it restarted. Grants and
// copies in use stay until they are released or lapse: the restart is noticed
// late, so that they may be of the new run.
func (s *server) forget() {
	for av, c := range s.copies {
		if c.grants == 0 && !c.loading && !c.unloading {
			delete(s.copies, av)
		}
	}
	if s.spec.ChecksFence {
		s.phase = phaseUnknown
	}
}

// syncCopies takes over which adapters the report shows as loaded. Copies with
// an order on its way keep their state.
func (s *server) syncCopies(sentAt clock.Millis) {
	resident := map[units.AdapterVersion]bool{}
	for _, r := range s.report.Resident {
		resident[r.AdapterVersion] = true
		c := s.copy(r.AdapterVersion)
		if c.lostAt > 0 && sentAt >= c.lostAt+lostOrderTerm {
			c.unloading, c.lostAt = false, 0
		}
		if r.Running == 0 {
			c.idleReportAt = max(c.idleReportAt, sentAt)
		}
	}
	for av, c := range s.copies {
		ordered := c.loading || c.unloading && c.lostAt == 0
		if !resident[av] && !ordered && c.grants == 0 && c.usedAt < sentAt && c.lostAt < sentAt {
			delete(s.copies, av)
		}
	}
}

// ordered reports whether an order is on its way.
func (s *server) ordered() bool {
	for _, c := range s.copies {
		if c.loading || c.unloading {
			return true
		}
	}
	return s.unloading > 0
}

// lapse ends grants that were not renewed.
func (s *server) lapse(now clock.Millis) {
	for number, g := range s.grants {
		if now < g.until {
			continue
		}
		delete(s.grants, number)
		if c := s.copies[g.adapter]; c != nil {
			c.grants--
			c.lapsedAt = now
		}
	}
}

// lostOrderTerm is how long after its answer was lost an order may still be
// carried out.
const lostOrderTerm = 5 * clock.Second

// unloadDone takes the result of an order to unload. A refused order leaves the
// copy as it was. If the answer was lost, nothing is granted on the copy until a
// report asked for lostOrderTerm later still shows it.
func (s *server) unloadDone(now clock.Millis, ev event.OrderDone) {
	c := s.copies[ev.Order.Adapter]
	if c == nil || !c.unloading {
		return
	}
	if ev.Result.Kind == event.OrderTaken {
		delete(s.copies, ev.Order.Adapter)
		return
	}
	if ev.Result.Kind == event.OrderLost {
		c.lostAt = now
		return
	}
	c.unloading = false
	c.usedAt = now
}
