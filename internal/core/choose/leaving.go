package choose

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// maxLeaving limits the number of backend servers that are recorded as leaving.
const maxLeaving = 8192

// NoteLeaving records that a process of a backend server, the one started at startedAt, said that it
// leaves. Nothing is sent to it any more, whatever the list of backend servers says; a later process
// of the same name is not affected. It reports whether this is news.
func (c *Core) NoteLeaving(server units.BackendServerID, startedAt int64) bool {
	if since, ok := c.leaving[server]; ok && since >= startedAt {
		return false
	}
	if len(c.leaving) >= maxLeaving {
		c.forgetUnlisted()
	}
	c.leaving[server] = startedAt
	c.leavingNews[server] = startedAt
	if v := c.servers[server]; v != nil {
		v.leaving = v.leaving || v.StartedAt <= startedAt
	}
	return true
}

// forgetUnlisted forgets the leaving backend servers that are not listed any more.
func (c *Core) forgetUnlisted() {
	for id := range c.leaving {
		if c.servers[id] == nil {
			delete(c.leaving, id)
		}
	}
}

// isLeaving reports whether v gets no new requests because it leaves.
func (v *view) isLeaving() bool { return v.Draining || v.leaving }

// Withdrawn returns why nothing may be sent to a backend server although Choose chose it a moment
// ago, or an empty string.
func (c *Core) Withdrawn(now clock.Millis, server units.BackendServerID) string {
	c.now = max(c.now, now)
	v := c.servers[server]
	if v == nil {
		return ""
	}
	switch {
	case v.leaving:
		return "the backend server leaves"
	case c.now < v.backoff.until:
		return "the backend server asks for a back-off"
	default:
		return ""
	}
}
