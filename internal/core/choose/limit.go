package choose

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/cespare/xxhash/v2"
)

// A backend server may name a limit on the requests of all entry VMs together. They don't ask each
// other before each request: a few of them, the holders, have a fixed share each, and the others send
// it nothing. Rendezvous hashing over the entry VMs that are known to run determines the holders, so
// that all with the same view agree. The shares leave room for a few entry VMs with another view.

const (
	// limitFill is the share of a limit that is dealt out.
	limitFill = 0.8
	// minHolders is the number of holders of a limit of less than one request a second. There is
	// one more for each request a second.
	minHolders = 3
	// limitBurst is the time in ms for which a holder keeps its share if it is not used; it always
	// keeps one request.
	limitBurst = 250 * clock.Millis(1)
	// limitRenewal is the time without an answer that names the limit after which the limit is
	// assumed to have doubled: without requests its holders would never learn that it has ended.
	// It exceeds the time until all entry VMs know of an answer.
	limitRenewal = 20 * clock.Second
	// maxDoublings bounds that.
	maxDoublings = 3
	// heldBackTime is how long copies at a backend server count as hard to reach after its limit
	// held back a request.
	heldBackTime = 2 * clock.Second
	// limitRetryDelay is the time after which callers refused for a limit should retry if this entry
	// VM has no share of it. The retry reaches another one.
	limitRetryDelay = retryDelay
)

// limitedReason is the reason of waiting, or of refusing a request, for the limits of backend servers.
const limitedReason = "backend servers take no more requests a second"

// rateLimit is the rate of requests of all entry VMs together that a backend server takes. The zero
// value has no limit.
type rateLimit struct {
	// named is the rate that the backend server named last, 0 for none.
	named units.Rate
	// namedAt is when the answer with that was received, or the first one without a limit after
	// it; 0 if none was.
	namedAt clock.Millis
	// share is the rate of this entry VM, 0 if it is no holder. It was computed for the rate
	// sharedRate and the members of the number sharedFor.
	share      units.Rate
	sharedRate units.Rate
	sharedFor  uint64
	// tokens is the number of requests that may be sent, as of countedAt.
	tokens    float64
	countedAt clock.Millis
	// queued counts the requests that wait for their turn.
	queued int
	// heldBackAt is when it last held back a request, 0 if it didn't.
	heldBackAt clock.Millis
}

// turn is the place of a request in the queue for a limited backend server. The zero value is none.
type turn struct {
	server units.BackendServerID
	at     clock.Millis
	queued bool
}

// current returns the limit that holds now, 0 for none.
func (l *rateLimit) current(now clock.Millis) units.Rate {
	doublings := min(maxDoublings, (now-l.namedAt)/limitRenewal)
	return l.named * units.Rate(int64(1)<<max(0, doublings))
}

// SetMembers replaces the list of the other entry VMs that are known to run.
func (c *Core) SetMembers(members []peer.Member) {
	sameMember := func(a, b peer.Member) bool { return a.ID == b.ID && a.Region == b.Region }
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b peer.Member) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.EqualFunc(members, c.others, sameMember) {
		c.others = members
		c.othersVersion++
	}
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

// Limits returns the limits that backend servers named and, for those that ended, that they did.
func (c *Core) Limits(now clock.Millis) []peer.ServerLimit {
	c.now = max(c.now, now)
	var list []peer.ServerLimit
	for id, v := range c.servers {
		if v.limit.namedAt > 0 {
			list = append(list, peer.ServerLimit{Server: id, StartedAt: v.StartedAt, Limit: v.limit.named, Age: c.now - v.limit.namedAt})
		}
	}
	slices.SortFunc(list, func(a, b peer.ServerLimit) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// HeldBack returns the backend servers of a shard whose limits lately held back requests, as back-offs
// for its placer.
func (c *Core) HeldBack(now clock.Millis, shard string) []peer.ServerBackoff {
	c.now = max(c.now, now)
	var list []peer.ServerBackoff
	for id, v := range c.servers {
		if at := v.limit.heldBackAt; string(v.Region) == shard && v.limit.named > 0 && at > 0 && c.now < at+heldBackTime {
			list = append(list, peer.ServerBackoff{Server: id, StartedAt: v.StartedAt, Remaining: at + heldBackTime - c.now})
		}
	}
	return list
}

// admits reports whether r may be sent to v now, apart from its health.
func (c *Core) admits(r *Request, v *view) bool {
	return v.backoff.admits(c.now) && c.limitAdmits(r, v)
}

func (c *Core) limitAdmits(r *Request, v *view) bool {
	if v.limit.named == 0 {
		return true
	}
	c.countTokens(v)
	needed := float64(1 + v.limit.queued)
	if r.turn.server == v.ID && c.now >= r.turn.at {
		needed = 1
	}
	if v.limit.share > 0 && v.limit.tokens >= needed {
		return true
	}
	v.limit.heldBackAt = c.now
	return false
}

// countTokens updates the share and the tokens of a backend server with a limit.
func (c *Core) countTokens(v *view) {
	l := &v.limit
	if rate := l.current(c.now); rate != l.sharedRate || l.sharedFor != c.othersVersion {
		l.share, l.sharedRate, l.sharedFor = c.limitShare(v, rate), rate, c.othersVersion
	}
	if l.countedAt == 0 || l.share == 0 {
		l.tokens, l.countedAt = 0, c.now
		return
	}
	most := max(1, float64(l.share)*limitBurst.Duration().Seconds())
	l.tokens = min(most, l.tokens+float64(l.share)*(c.now-l.countedAt).Duration().Seconds())
	l.countedAt = c.now
}

// limitShare returns the share of this entry VM of a backend server's limit. It is 0 until about half
// of the entry VMs are known: one that has just started would take itself for the only holder.
func (c *Core) limitShare(v *view, limit units.Rate) units.Rate {
	known := 1 + len(c.others)
	if c.members == 0 || 2*known <= int(c.members) {
		return 0
	}
	holders := min(known, minHolders+int(limit))
	rank := func(id units.EntryVMID, region units.Region) (here bool, hash uint64) {
		return region == v.Region, chain(xxhash.Sum64String(string(v.ID)), xxhash.Sum64String(string(id)))
	}
	ownHere, own := rank(c.cfg.Self, c.cfg.Region)
	before := 0
	for _, m := range c.others {
		here, hash := rank(m.ID, m.Region)
		if here && !ownHere || here == ownHere && hash > own {
			before++
		}
	}
	if before >= holders {
		return 0
	}
	return limitFill * limit / units.Rate(holders)
}

// takeToken records a send to a backend server that may have a limit.
func (v *view) takeToken() {
	if v.limit.named > 0 {
		v.limit.tokens--
	}
}

// returnToken records that a request did not reach the backend server.
func (v *view) returnToken() {
	if v.limit.named > 0 {
		v.limit.tokens++
	}
}

// turnAt returns when r could be sent to v, which has a limit, after the requests that wait already.
// It reports false if this entry VM has no share of the limit.
func (c *Core) turnAt(v *view) (clock.Millis, bool) {
	c.countTokens(v)
	l := &v.limit
	if l.share == 0 {
		return 0, false
	}
	missing := float64(1+l.queued) - l.tokens
	return c.now + max(1, clock.Millis(missing/float64(l.share)*1000)+1), true
}

// enqueue gives r a turn at v.
func (c *Core) enqueue(r *Request, v *view, at clock.Millis) {
	c.dequeue(r)
	r.turn = turn{server: v.ID, at: at, queued: true}
	v.limit.queued++
}

// dequeue ends r's wait for its turn. It keeps the turn, which r may take now.
func (c *Core) dequeue(r *Request) {
	if !r.turn.queued {
		return
	}
	r.turn.queued = false
	if v := c.servers[r.turn.server]; v != nil {
		v.limit.queued = max(0, v.limit.queued-1)
	}
}

// maxTurnAt returns the latest turn that r waits for.
func (r *Request) maxTurnAt() clock.Millis { return min(r.waitsUntil(), r.Deadline-minRemaining) }
