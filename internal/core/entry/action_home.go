package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"
	"mangostile/internal/core/once"
)

// homeMembers is the number of members of a failure domain from which on each action
// stream is followed by only one of them. With fewer members, the extra hop costs more
// than it saves.
const homeMembers = 8

// idleStreamTimeout is how long an action stream is followed after an action here last
// needed it.
const idleStreamTimeout = 10 * clock.Minute

// sendToFollower forwards an action to the member that follows its stream. It reports
// false if the action is handled here. An action is forwarded at most once, before its
// intent is appended.
func (c *Core) sendToFollower(r *request, out *event.Effects) bool {
	if r.Idempotent || r.Forwarded || c.leaving || r.attempt > 0 || r.intent.appends > 0 {
		return false
	}
	if len(c.Members.Members()) < homeMembers || !c.relay.Enabled() {
		return false
	}
	id := c.Members.FollowerOf(once.StreamOf(actionKey(r)))
	p := c.Members.Peer(id)
	if p == nil || p.ServeAddress == "" || c.relay.Avoided(c.now, id) {
		return false
	}
	c.dispatchToPeer(r, p, "follows_action_stream", out)
	return true
}

// dropIdleStreams stops following action streams that are no longer needed here.
func (c *Core) dropIdleStreams(out *event.Effects) {
	if c.now-c.streamsDroppedAt < clock.Minute {
		return
	}
	c.streamsDroppedAt = c.now
	c.Ledger.DropIdle(c.now-idleStreamTimeout, out)
}
