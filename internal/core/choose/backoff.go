package choose

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

const (
	// maxBackoff bounds the time for which a backend server may ask for no requests.
	maxBackoff = 60 * clock.Second
	// trialPeriod is the time after which a request that waits for a returning backend
	// server is considered again.
	trialPeriod = 50 * clock.Millis(1)
	// backoffLoadTime is the rest of a back-off from which on an adapter is loaded elsewhere
	// rather than waited for.
	backoffLoadTime = 500 * clock.Millis(1)
	// minOpenTrials is the least number of trials at which a returned backend server gets
	// requests without a limit again.
	minOpenTrials = 8
)

// backoff tracks a backend server that asked for no requests for a time. When that is over, requests
// come back by and by: one at first, twice as many after each that is answered. The zero value has
// no limit.
type backoff struct {
	// until is the end of the back-off.
	until clock.Millis
	// limit is the number of requests that may be without an answer after that, 0 for any.
	limit int32
	// trials counts the requests sent under a limit that have no answer yet.
	trials int32
}

func (b *backoff) admits(now clock.Millis) bool {
	return now >= b.until && (b.limit == 0 || b.trials < b.limit)
}

// returnsAt returns when a request that is not admitted is to be considered again.
func (b *backoff) returnsAt(now clock.Millis) clock.Millis {
	if now < b.until {
		return b.until
	}
	return now + trialPeriod
}

// began records a send to the backend server.
func (b *backoff) began(r *Request) {
	if b.limit > 0 {
		b.trials++
		r.trial = true
	}
}

// answered records that r is no trial any more. open says that its answer lets more requests in.
func (b *backoff) answered(r *Request, open bool, slots int32) {
	if !r.trial {
		return
	}
	r.trial = false
	b.trials = max(0, b.trials-1)
	if open && b.limit > 0 {
		if b.limit *= 2; b.limit >= max(minOpenTrials, slots) {
			b.limit = 0
		}
	}
}

// NoteBackoff records that a process of a backend server wants no requests for a time, of which at most
// maxBackoff counts. It returns the time that remains, and reports whether that is longer than before.
func (c *Core) NoteBackoff(now clock.Millis, server units.BackendServerID, startedAt int64, time clock.Millis) (clock.Millis, bool) {
	c.now = max(c.now, now)
	v := c.servers[server]
	if v == nil || v.StartedAt != startedAt || time <= 0 {
		return 0, false
	}
	until := c.now + min(time, maxBackoff)
	if until <= v.backoff.until {
		return v.backoff.until - c.now, false
	}
	v.backoff.until, v.backoff.limit = until, 1
	c.backoffNews[server] = true
	return until - c.now, true
}

// takeBackoffs returns the back-offs of a shard's backend servers of which its placer has not been
// told, in order.
func (c *Core) takeBackoffs(shard string) []peer.ServerBackoff {
	var list []peer.ServerBackoff
	for id := range c.backoffNews {
		v := c.servers[id]
		if v != nil && string(v.Region) != shard {
			continue
		}
		delete(c.backoffNews, id)
		if v == nil {
			continue
		}
		if left := v.backoff.until - c.now; left > 0 {
			list = append(list, peer.ServerBackoff{Server: id, StartedAt: v.StartedAt, Remaining: left})
		}
	}
	slices.SortFunc(list, func(a, b peer.ServerBackoff) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// awaitReturn decides about a request for which every suitable backend server asks for a back-off or
// returns from it, or has a limit that is used up: it waits for the first to take it if its deadline
// allows that, and is else refused with that time. It returns nil if there is no such backend server.
// A nil usable allows all.
func (c *Core) awaitReturn(r *Request, usable func(*view) bool) Choice {
	var first clock.Millis
	var limited *view
	held := false
	for _, v := range c.byService[r.Service] {
		if v.isLeaving() || r.startedElsewhere(v) || usable != nil && !usable(v) || c.admits(r, v) {
			continue
		}
		at, ok := v.backoff.returnsAt(c.now), true
		byLimit := v.backoff.admits(c.now)
		if byLimit {
			at, ok = c.turnAt(v)
			held = held || !ok
		}
		if ok && (first == 0 || at < first) {
			first, limited = at, nil
			if byLimit {
				limited = v
			}
		}
	}
	switch {
	case first == 0 && held:
		return c.refuse(r, limitedReason, limitRetryDelay)
	case first == 0:
		return nil
	case limited != nil && first <= r.maxTurnAt():
		c.enqueue(r, limited, first)
		return Wait{Until: first, Reason: limitedReason}
	case limited != nil:
		return c.refuse(r, limitedReason, first-c.now)
	case first+minRemaining < r.Deadline:
		return Wait{Until: first, Reason: "backend servers ask for a back-off"}
	default:
		return c.refuse(r, "backend servers ask for a back-off", first-c.now)
	}
}
