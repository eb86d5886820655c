package fleet

import (
	"sync"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/peer"
	"mangostile/internal/node/links"
)

const (
	// peerTTL is how long an entry VM is told news after it was last heard of. It is long
	// because without a store there may be no placer to list the entry VMs.
	peerTTL = 5 * clock.Minute
	// livePeerTTL is how long an entry VM counts as running after it was last heard of. Placers
	// list those that run each memberListPeriod.
	livePeerTTL = 2*memberListPeriod + 2*clock.Second
)

// peerBook holds the other entry VMs heard of. The zero value is empty.
type peerBook struct {
	mu   sync.Mutex
	byID map[units.EntryVMID]knownPeer
	// heard is true once any was heard of.
	heard bool
}

type knownPeer struct {
	peer.Member
	heardAt clock.Millis
}

// heardOf records an entry VM at an address, in place of what was known of it. Only its region and
// failure domain stay if m lacks them.
func (b *peerBook) heardOf(now clock.Millis, m peer.Member) {
	if m.Address == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byID == nil {
		b.byID = map[units.EntryVMID]knownPeer{}
	}
	if m.Domain == "" {
		known := b.byID[m.ID]
		m.Region, m.Domain = known.Region, known.Domain
	}
	b.byID[m.ID] = knownPeer{Member: m, heardAt: now}
	b.heard = true
}

// knewAny reports whether any other entry VM was heard of, however long ago.
func (b *peerBook) knewAny() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heard
}

// some returns up to limit entry VMs, in the random order of a map.
func (b *peerBook) some(now clock.Millis, limit int) []links.Recipient {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []links.Recipient
	for id, p := range b.byID {
		if len(list) == limit {
			break
		}
		if now > p.heardAt+peerTTL {
			delete(b.byID, id)
			continue
		}
		list = append(list, links.Recipient{ID: id, Address: p.Address})
	}
	return list
}

// keepers returns the entry VMs that can keep starts of streams: those that run, or all that were
// heard of while none is known to run, as it is without a placer.
func (b *peerBook) keepers(now clock.Millis) []origin.Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ttl := range []clock.Millis{livePeerTTL, peerTTL} {
		list := make([]origin.Member, 0, len(b.byID))
		for _, p := range b.byID {
			if p.Domain != "" && now <= p.heardAt+ttl {
				list = append(list, origin.Member{ID: p.ID, Domain: p.Domain, Region: p.Region, Address: p.Address})
			}
		}
		if len(list) > 0 {
			return list
		}
	}
	return nil
}

// address returns the address of an entry VM, empty if it is not known.
func (b *peerBook) address(id units.EntryVMID) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byID[id].Address
}

// heardOf records what a message says of another entry VM.
func (n *Node) heardOf(m peer.Member) {
	if m.ID != n.settings.ID {
		n.peers.heardOf(n.clock.Now(), m)
	}
}

// isAlone reports whether there is no other entry VM: none was ever heard of, and one that runs would have
// been.
func (n *Node) isAlone() bool {
	return !n.peers.knewAny() && n.clock.BootNow() >= n.noteRunning()+livePeerTTL
}

// KnownEntryVMs returns the number of other entry VMs that can tell which version began a stream.
func (n *Node) KnownEntryVMs() int { return len(n.peers.keepers(n.clock.Now())) }
