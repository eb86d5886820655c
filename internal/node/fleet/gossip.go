package fleet

import (
	"context"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/peer"
)

// Timing and limits of what entry VMs tell each other about crashes. They tell it directly, so
// that it also spreads while there is no placer or no store.
const (
	// gossipFanout is the number of entry VMs that news are sent to; these pass on what they
	// did not know.
	gossipFanout = 8
	// gossipDelay is how long news wait for others to be told along with them.
	gossipDelay = 20 * time.Millisecond
	// gossipPeriod is the time between two messages that make up for lost ones: the whole
	// state, to one entry VM, or a request for it after the start.
	gossipPeriod = time.Second
)

// gossip tells other entry VMs news, and the one that they are from what it has wrong: the keys
// on which answers began, and verdicts.
func (n *Node) gossip(news blame.News, from units.EntryVMID) {
	if from != "" && from != fromStore && len(news.Begun)+len(news.Verdicts) > 0 {
		back := blame.News{Begun: news.Begun, Verdicts: news.Verdicts}
		n.links.Send(from, n.peers.address(from), &peer.CrashNews{News: back, Address: n.settings.PeerAddress})
	}
	q := &n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending.Empty() {
		time.AfterFunc(gossipDelay, func() { n.guard("crash news", n.sendPending) })
	}
	q.pending.Add(news)
}

// sendPending tells other entry VMs the pending news.
func (n *Node) sendPending() {
	q := &n.quarantine
	q.mu.Lock()
	news := q.pending
	q.pending = blame.News{}
	q.mu.Unlock()
	n.links.Broadcast(n.peers.some(n.clock.Now(), gossipFanout), &peer.CrashNews{News: news, Address: n.settings.PeerAddress})
}

// handleCrashNews applies the news of another entry VM.
func (n *Node) handleCrashNews(from units.EntryVMID, m *peer.CrashNews) {
	n.heardOf(peer.Member{ID: from, Address: m.Address})
	if m.NeedsState {
		news, synced := n.crashState()
		n.links.Send(from, m.Address, &peer.CrashNews{News: news, Whole: synced, Address: n.settings.PeerAddress})
	}
	if m.Whole {
		n.quarantine.mu.Lock()
		n.quarantine.synced = true
		n.quarantine.mu.Unlock()
	}
	n.merge(&m.News, from)
	n.mergeLimits(m.Limits, from)
}

// crashState returns what is known of crashes, and whether it includes the state of another entry
// VM or of the store.
func (n *Node) crashState() (news blame.News, synced bool) {
	q := &n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.registry.State(n.clock.BootNow()), q.synced || q.known.Load()
}

// syncCrashState asks other entry VMs for their state until one has answered, and then sends
// its own to one of them each gossipPeriod if there is any.
func (n *Node) syncCrashState(ctx context.Context) error {
	ticker := time.NewTicker(gossipPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		n.guard("members", n.updateMembers)
		n.guard("crash state", n.sendCrashState)
	}
}

func (n *Node) sendCrashState() {
	news, whole := n.crashState()
	n.quarantine.mu.Lock()
	synced := n.quarantine.synced
	n.quarantine.mu.Unlock()
	m := &peer.CrashNews{News: news, Whole: whole, NeedsState: !synced, Address: n.settings.PeerAddress}
	n.withCore(func(core *choose.Core) { m.Limits = core.Limits(n.clock.Now()) })
	if synced && m.Empty() && len(m.Limits) == 0 {
		return
	}
	n.links.Broadcast(n.peers.some(n.clock.Now(), 1), m)
}
