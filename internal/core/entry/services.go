package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// servicePollPeriod is the interval between polls of one instance of a plain service.
// Together with the timeout of a poll, it stays within the 3 s during which a leaving
// backend server may still receive work.
const servicePollPeriod = 1500 * clock.Millis(1)

// serviceWatch holds the reported state of the plain services of this failure domain.
// They have no owner, so each entry VM polls them. The zero value is empty.
type serviceWatch struct {
	polledAt map[units.BackendServerID]clock.Millis
	// leaving holds instances that report that they are leaving, and down those that
	// refuse connections.
	leaving map[units.BackendServerID]bool
	down    map[units.BackendServerID]bool
}

// unavailable reports whether an instance is leaving or down and must not receive new
// work.
func (w *serviceWatch) unavailable(id units.BackendServerID) bool { return w.leaving[id] || w.down[id] }

// update records a report and reports whether the instance's availability changed.
func (w *serviceWatch) update(id units.BackendServerID, leaving, down bool) bool {
	if w.leaving == nil {
		w.leaving, w.down = map[units.BackendServerID]bool{}, map[units.BackendServerID]bool{}
	}
	before := w.unavailable(id)
	w.leaving[id], w.down[id] = leaving, down
	return before != w.unavailable(id)
}

// pollServices polls the plain services and drops the state of those no longer listed.
func (c *Core) pollServices(out *event.Effects) {
	polled := map[units.BackendServerID]clock.Millis{}
	for _, s := range c.Router.Servers() {
		if s.Spec.Kind != event.KindService {
			continue
		}
		at, known := c.services.polledAt[s.ID()]
		if !known || c.now-at >= servicePollPeriod {
			at = c.now
			out.Add(event.PollServer{Server: s.ID(), Address: s.Spec.Address})
		}
		polled[s.ID()] = at
	}
	c.services.polledAt = polled
}

// isService reports whether a backend server is a plain service.
func (c *Core) isService(id units.BackendServerID) bool {
	s := c.Router.Server(id)
	return s != nil && s.Spec.Kind == event.KindService
}

// serviceReported handles a report of a plain service, or a failed poll whose connection
// was refused.
func (c *Core) serviceReported(id units.BackendServerID, leaving, down bool, out *event.Effects) {
	if !c.services.update(id, leaving, down) {
		return
	}
	reason := "in_use"
	switch {
	case leaving:
		reason = "leaving"
	case down:
		reason = "down"
	}
	out.Add(event.Decision{Area: "member", Choice: string(id), Reason: reason})
	c.mergeVMs(out)
}
