package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// servicePollPeriod is the time between two reports of one instance of a plain
// service. With the timeout of a report it is within the 3 s that a leaving
// backend server may still get work.
const servicePollPeriod = 1500 * clock.Millis(1)

// serviceWatch keeps what the plain services of the own failure domain say of
// themselves. Nobody owns them, so each entry VM asks. The zero value knows none.
type serviceWatch struct {
	polledAt map[units.BackendServerID]clock.Millis
	// leaving holds instances that say so, and down those that refuse
	// connections.
	leaving map[units.BackendServerID]bool
	down    map[units.BackendServerID]bool
}

// outOfUse reports whether an instance should get no new work.
func (w *serviceWatch) outOfUse(id units.BackendServerID) bool { return w.leaving[id] || w.down[id] }

// set notes a report and reports whether the instance's use changed.
func (w *serviceWatch) set(id units.BackendServerID, leaving, down bool) bool {
	if w.leaving == nil {
		w.leaving, w.down = map[units.BackendServerID]bool{}, map[units.BackendServerID]bool{}
	}
	before := w.outOfUse(id)
	w.leaving[id], w.down[id] = leaving, down
	return before != w.outOfUse(id)
}

// pollServices asks the plain services for reports, and forgets those that are
// no longer listed.
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

// serviceReported takes a report of a plain service, or that none came since its
// address refuses connections.
func (c *Core) serviceReported(id units.BackendServerID, leaving, down bool, out *event.Effects) {
	if !c.services.set(id, leaving, down) {
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
	c.learnVMs(out)
}
