package choose

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// rateLimit is the rate of requests of all entry VMs together that a backend server takes. The zero
// value has no limit.
type rateLimit struct {
	// named is the rate that the backend server named last, 0 for none.
	named units.Rate
	// namedAt is when the answer with that was received, or the first one without a limit after
	// it; 0 if none was.
	namedAt clock.Millis
}

// NoteLimit records which limit an answer of a backend server named, here or at another entry VM. It
// reports whether that changes the limit.
func (c *Core) NoteLimit(now clock.Millis, l peer.ServerLimit) bool {
	c.now = max(c.now, now)
	v := c.servers[l.Server]
	at := c.now - l.Age
	if v == nil || v.StartedAt != l.StartedAt || at <= v.limit.namedAt {
		return false
	}
	changed := v.limit.named != l.Limit
	v.limit.named, v.limit.namedAt = l.Limit, at
	return changed
}

// NoteNoLimit records that an answer to a request that was sent at an instant names no limit. It
// reports whether that ends one. An answer that may have overtaken one with a limit doesn't.
func (c *Core) NoteNoLimit(now, sentAt clock.Millis, server units.BackendServerID, startedAt int64) bool {
	if v := c.servers[server]; v == nil || v.limit.named == 0 || sentAt <= v.limit.namedAt {
		return false
	}
	return c.NoteLimit(now, peer.ServerLimit{Server: server, StartedAt: startedAt})
}
