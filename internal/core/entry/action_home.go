package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"
	"mangostile/internal/core/once"
)

// homeMembers is the number of members of a failure domain from which on each
// action stream is followed by one of them. With fewer, the hop costs more than
// it saves.
const homeMembers = 8

// idleStreamPeriod is the time after which an action stream that no action here
// needed is no longer followed.
const idleStreamPeriod = 10 * clock.Minute

// sendToFollower sends an action to the member that follows its stream. It
// reports false if the action stays. An action goes on at most once, before its
// intent is placed.
func (c *Core) sendToFollower(r *request, out *event.Effects) bool {
	if r.Idempotent || r.Forwarded || c.leaving || r.attempt > 0 || r.intent.appends > 0 {
		return false
	}
	if len(c.Members.Members()) < homeMembers || !c.relay.SwitchedOn() {
		return false
	}
	id := c.Members.FollowerOf(once.StreamOf(actionKey(r)))
	p := c.Members.Peer(id)
	if p == nil || p.ServeAddress == "" || c.relay.Avoided(c.now, id) {
		return false
	}
	c.sendOn(r, p, "follows_action_stream", out)
	return true
}

// dropIdleStreams stops following action streams that are no longer needed here.
func (c *Core) dropIdleStreams(out *event.Effects) {
	if c.now-c.streamsDroppedAt < clock.Minute {
		return
	}
	c.streamsDroppedAt = c.now
	c.Ledger.DropIdle(c.now-idleStreamPeriod, out)
}
