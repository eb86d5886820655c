// Package member tracks which entry VMs are alive and determines which of them owns
// each backend server.
package member

import (
	"slices"
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// HeartbeatPeriod is the interval between heartbeats sent to a member.
const HeartbeatPeriod = clock.Second

// SuspectTimeout is the time without a heartbeat after which a member is treated as
// dead.
const SuspectTimeout = 3 * clock.Second

// Peer is the view's record of another entry VM.
type Peer struct {
	ID            units.EntryVMID
	Address       string
	ServeAddress  string
	FailureDomain units.FailureDomain
	Region        units.Region
	// Incarnation is the greatest one received in a heartbeat, or 0 before the first.
	Incarnation units.Incarnation
	// LastHeartbeatAt is when the last heartbeat of Incarnation was received. Before the
	// first it is set so that the peer is treated as dead.
	LastHeartbeatAt clock.Millis
	// Leaving is the flag in the peer's last heartbeat: it is shutting down.
	Leaving bool
	// Joining is set while the peer collects heartbeats and owns nothing yet.
	Joining bool
	// ConfigOffset is the first offset of the config stream that the peer has not applied,
	// as of its last heartbeat, or 0 before the first.
	ConfigOffset units.Offset
	// listed is set while the latest list of VMs contains the peer.
	listed bool
	// LogUnreachable is set while the peer cannot read the log service.
	LogUnreachable bool
}

// View is one entry VM's view of the others. Set Self before use.
type View struct {
	Self event.VM
	// peers excludes Self.
	peers map[units.EntryVMID]*Peer
	// members holds the sorted IDs of the entry VMs in the local failure domain that
	// share ownership. It includes Self unless Self is joining or leaving.
	members []units.EntryVMID
	ring    *rendezvous.Rendezvous
	// revision counts the changes of members.
	revision uint64
	leaving  bool
	// joining is set while the local entry VM collects heartbeats before it takes part
	// in ownership, until joinBy at the latest.
	joining bool
	joinBy  clock.Millis
	// listPending is set until the platform's list of VMs has been received.
	listPending bool
}

// Join keeps the local entry VM out of ownership until it has received a heartbeat from
// every listed entry VM of its failure domain, for at most SuspectTimeout. Without this
// phase it would treat itself as the owner of every backend server and claim them from
// the owners that serve them. listPending reports that the list of VMs has not been
// received yet.
func (v *View) Join(now clock.Millis, listPending bool) {
	v.joining, v.joinBy, v.listPending = true, now+SuspectTimeout, listPending
}

// Joining reports whether the local entry VM is still kept out of ownership by Join.
func (v *View) Joining() bool { return v.joining }

// ListReceived records that the platform's list of VMs has been received.
func (v *View) ListReceived() { v.listPending = false }

// Revision returns a number that increases with each change of the members.
func (v *View) Revision() uint64 { return v.revision }

// allHeartbeatsReceived reports whether the list of VMs and a heartbeat from every listed
// entry VM of the local failure domain have been received.
func (v *View) allHeartbeatsReceived() bool {
	if v.listPending {
		return false
	}
	for _, p := range v.peers {
		if p.listed && p.FailureDomain == v.Self.FailureDomain && p.Incarnation == 0 {
			return false
		}
	}
	return true
}

// SelfID returns the ID of the local entry VM.
func (v *View) SelfID() units.EntryVMID { return units.EntryVMID(v.Self.ID) }

// Learn updates the peers from a list of VMs. The list lags, so an entry VM that is
// missing from it is kept while its heartbeats arrive.
func (v *View) Learn(now clock.Millis, vms []event.VM) {
	if v.peers == nil {
		v.peers = map[units.EntryVMID]*Peer{}
	}
	listed := map[units.EntryVMID]bool{}
	for i := range vms {
		vm := &vms[i]
		id := units.EntryVMID(vm.ID)
		if !vm.Entry || id == v.SelfID() {
			continue
		}
		listed[id] = true
		p := v.peers[id]
		if p == nil {
			p = &Peer{ID: id, LastHeartbeatAt: now - SuspectTimeout}
			v.peers[id] = p
		}
		p.Address, p.ServeAddress = vm.Address, vm.ServeAddress
		p.FailureDomain, p.Region = vm.FailureDomain, vm.Region
	}
	for id, p := range v.peers {
		p.listed = listed[id]
	}
	v.removeTimedOut(now)
	v.refresh(now)
}

// removeTimedOut removes peers that are not listed and whose last heartbeat is at least
// SuspectTimeout old.
func (v *View) removeTimedOut(now clock.Millis) {
	for id, p := range v.peers {
		if !p.listed && now-p.LastHeartbeatAt >= SuspectTimeout {
			delete(v.peers, id)
		}
	}
}

// Receive applies a heartbeat. It reports false if the sender is unknown or the
// heartbeat is from an earlier incarnation; the caller must then ignore it.
func (v *View) Receive(now clock.Millis, from units.EntryVMID, heartbeat *peer.Heartbeat) bool {
	p := v.peers[from]
	if p == nil || heartbeat.Incarnation < p.Incarnation {
		return false
	}
	p.Incarnation = heartbeat.Incarnation
	p.LastHeartbeatAt = now
	p.Leaving, p.Joining = heartbeat.Leaving, heartbeat.Joining
	p.ConfigOffset = heartbeat.ConfigOffset
	p.LogUnreachable = heartbeat.LogUnreachable
	v.refresh(now)
	return true
}

// Tick removes members whose heartbeats have timed out. It reports whether the members
// changed.
func (v *View) Tick(now clock.Millis) bool {
	v.removeTimedOut(now)
	return v.refresh(now)
}

// Leave removes the local entry VM from ownership.
func (v *View) Leave(now clock.Millis) {
	v.leaving = true
	v.refresh(now)
}

// Members returns the sorted IDs of the entry VMs in the local failure domain that share
// ownership.
func (v *View) Members() []units.EntryVMID { return v.members }

// Peer returns the record of another entry VM, or nil if there is none.
func (v *View) Peer(id units.EntryVMID) *Peer { return v.peers[id] }

// Peers returns all other entry VMs, sorted by ID.
func (v *View) Peers() []*Peer {
	peers := make([]*Peer, 0, len(v.peers))
	for _, p := range v.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return peers
}

// Alive reports whether id is the local entry VM or its last heartbeat is less than
// SuspectTimeout old.
func (v *View) Alive(now clock.Millis, id units.EntryVMID) bool {
	if id == v.SelfID() {
		return true
	}
	p := v.peers[id]
	return p != nil && now-p.LastHeartbeatAt < SuspectTimeout
}

// OwnerOf returns the entry VM that owns server in this view, or "" if there are no
// members.
func (v *View) OwnerOf(server units.BackendServerID) units.EntryVMID {
	if v.ring == nil || len(v.members) == 0 {
		return ""
	}
	return units.EntryVMID(v.ring.Lookup(string(server)))
}

// FollowerOf returns the member that follows stream for the failure domain, or "" if
// there are no members.
func (v *View) FollowerOf(stream units.StreamName) units.EntryVMID {
	return v.OwnerOf(units.BackendServerID(stream))
}

// refresh ends the joining phase when it is due and recomputes the members. It reports
// whether they changed.
func (v *View) refresh(now clock.Millis) bool {
	var members []units.EntryVMID
	if v.joining && (now >= v.joinBy || v.allHeartbeatsReceived()) {
		v.joining = false
	}
	if !v.leaving && !v.joining {
		members = append(members, v.SelfID())
	}
	for _, p := range v.peers {
		if p.FailureDomain == v.Self.FailureDomain && !p.Leaving && !p.Joining && now-p.LastHeartbeatAt < SuspectTimeout {
			members = append(members, p.ID)
		}
	}
	slices.Sort(members)
	if slices.Equal(members, v.members) && v.ring != nil {
		return false
	}
	v.members = members
	v.revision++
	names := make([]string, len(members))
	for i, id := range members {
		names[i] = string(id)
	}
	v.ring = rendezvous.New(names, xxhash.Sum64String)
	return true
}
