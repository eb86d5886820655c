package choose

import (
	"maps"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// noSoftwareReason is the reason of refusing to go on with a stream that no backend server can go
// on with.
const noSoftwareReason = "no backend server of the software version that began the stream: send the request without the last event's id"

// canGoOn reports whether the service has a backend server, also one that asks for a back-off, at
// which the stream of r can go on.
func (c *Core) canGoOn(r *Request) bool {
	for _, v := range c.byService[r.Service] {
		if !v.isLeaving() && !r.startedElsewhere(v) {
			return true
		}
	}
	return false
}

// Runs reports whether a service has a backend server of a version that isn't leaving.
func (c *Core) Runs(service units.ServiceName, software topo.Software) bool {
	return c.canGoOn(&Request{Service: service, Software: software, Started: true})
}

// startedElsewhere reports whether r has begun at another version than that of v.
func (r *Request) startedElsewhere(v *view) bool { return r.Started && v.software() != r.Software }

// resolveSoftware replaces the version of a stream that began at a process before it was listed by the one
// with which it is now.
func (c *Core) resolveSoftware(r *Request) {
	if !r.Started || !r.Software.IsProcess() {
		return
	}
	for _, v := range c.byService[r.Service] {
		if v.Ran(r.Software) {
			r.Software = v.Software
			return
		}
	}
}

// software returns the version that the process of v runs.
func (v *view) software() topo.Software { return v.SoftwareOf(v.placedStart) }

// softwareKept is how long a version counts as one that may have begun a stream after the last
// backend server with it was removed.
const softwareKept = 10 * clock.Minute

// softwareHistory is when backend servers of each version were last listed, apart from those that
// are now. The zero value has seen none.
type softwareHistory struct {
	seenAt map[topo.ServiceSoftware]clock.Millis
	// since is the begin of the time in which no version was listed unseen, 0 before the first list.
	since clock.Millis
}

// observe records that backend servers are listed until now.
func (h *softwareHistory) observe(now clock.Millis, servers map[units.BackendServerID]*view) {
	if h.seenAt == nil {
		h.seenAt = map[topo.ServiceSoftware]clock.Millis{}
	}
	for _, v := range servers {
		h.seenAt[topo.ServiceSoftware{Service: v.Service, Software: v.software()}] = now
	}
	for key, at := range h.seenAt {
		if now > at+softwareKept {
			delete(h.seenAt, key)
		}
	}
}

// listed records that the process of v is now listed as s: its version is known, also for the time before.
func (h *softwareHistory) listed(v *view, s *topo.Server) {
	if v.placedStart == s.StartedAt {
		delete(h.seenAt, topo.ServiceSoftware{Service: v.Service, Software: v.software()})
	}
}

// AddSoftware records versions that were listed until now, those of removed backend servers
// included.
func (c *Core) AddSoftware(now clock.Millis, list []topo.ServiceSoftware) {
	c.now = max(c.now, now)
	c.software.observe(c.now, c.servers)
	for _, key := range list {
		c.software.seenAt[key] = c.now
	}
}

// RestartSoftwareHistory records that versions may have been listed unseen until now. It reports
// whether any list came before.
func (c *Core) RestartSoftwareHistory(now clock.Millis) bool {
	c.now = max(c.now, now)
	if c.software.since == 0 {
		return false
	}
	c.software.since = c.now
	return true
}

// SoftwareSince returns the begin of the time in which no version was listed unseen, 0 before the
// first list.
func (c *Core) SoftwareSince() clock.Millis { return c.software.since }

// SoftwareSeen returns when each version was last listed, and the begin of the time in which none was listed
// unseen, 0 before the first list.
func (c *Core) SoftwareSeen(now clock.Millis) (seenAt map[topo.ServiceSoftware]clock.Millis, since clock.Millis) {
	c.now = max(c.now, now)
	c.software.observe(c.now, c.servers)
	return maps.Clone(c.software.seenAt), c.software.since
}
