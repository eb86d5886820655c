package fleet

import (
	"context"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/peer"
	"mangostile/internal/node/links"
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
	// gossipPeerTTL is how long an entry VM is told news after it was last heard of. It is long
	// because without a store there may be no placer to list the entry VMs.
	gossipPeerTTL = 5 * clock.Minute
)

// gossipPeer is an entry VM that news are sent to.
type gossipPeer struct {
	address string
	heardAt clock.Millis
}

// heardOf records the address of another entry VM.
func (n *Node) heardOf(id units.EntryVMID, address string) {
	if id == n.settings.ID || address == "" {
		return
	}
	q := &n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.peers == nil {
		q.peers = map[units.EntryVMID]gossipPeer{}
	}
	q.peers[id] = gossipPeer{address: address, heardAt: n.clock.Now()}
}

// gossipPeers returns up to limit other entry VMs, in the random order of a map.
func (n *Node) gossipPeers(limit int) []links.Recipient {
	q := &n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []links.Recipient
	for id, p := range q.peers {
		if len(list) == limit {
			break
		}
		if n.clock.Now() > p.heardAt+gossipPeerTTL {
			delete(q.peers, id)
			continue
		}
		list = append(list, links.Recipient{ID: id, Address: p.address})
	}
	return list
}

// gossipAddress returns the address of an entry VM, empty if it is not known.
func (n *Node) gossipAddress(id units.EntryVMID) string {
	n.quarantine.mu.Lock()
	defer n.quarantine.mu.Unlock()
	return n.quarantine.peers[id].address
}

// gossip tells other entry VMs news, and the one that they are from what it has wrong: the keys
// on which answers began, and verdicts.
func (n *Node) gossip(news blame.News, from units.EntryVMID) {
	if from != "" && from != fromStore && len(news.Begun)+len(news.Verdicts) > 0 {
		back := blame.News{Begun: news.Begun, Verdicts: news.Verdicts}
		n.links.Send(from, n.gossipAddress(from), &peer.CrashNews{News: back, Address: n.settings.PeerAddress})
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
	n.links.Broadcast(n.gossipPeers(gossipFanout), &peer.CrashNews{News: news, Address: n.settings.PeerAddress})
}

// handleCrashNews applies the news of another entry VM.
func (n *Node) handleCrashNews(from units.EntryVMID, m *peer.CrashNews) {
	n.heardOf(from, m.Address)
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
		n.guard("crash state", n.sendCrashState)
	}
}

func (n *Node) sendCrashState() {
	news, whole := n.crashState()
	n.quarantine.mu.Lock()
	synced := n.quarantine.synced
	n.quarantine.mu.Unlock()
	m := &peer.CrashNews{News: news, Whole: whole, NeedsState: !synced, Address: n.settings.PeerAddress}
	if synced && m.Empty() {
		return
	}
	n.links.Broadcast(n.gossipPeers(1), m)
}
