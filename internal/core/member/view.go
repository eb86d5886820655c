// Package member keeps the view of which entry VMs are alive and decides which
// of them owns each backend server.
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

// HeartbeatPeriod is the time between two heartbeats to a member.
const HeartbeatPeriod = clock.Second

// SuspectAfter is the time without a heartbeat after which a member counts as
// dead.
const SuspectAfter = 3 * clock.Second

// Peer is what the view holds of another entry VM.
type Peer struct {
	ID            units.EntryVMID
	Address       string
	ServeAddress  string
	FailureDomain units.FailureDomain
	Region        units.Region
	// Incarnation is the greatest heard of, or 0 if none was.
	Incarnation units.Incarnation
	// HeardAt is the instant of the last heartbeat of Incarnation.
	HeardAt clock.Millis
	// Leaving is set if the peer or the platform's list said so.
	Leaving bool
	// Joining is set while the peer listens and owns nothing.
	Joining      bool
	ConfigOffset units.Offset
	// listed is set while the last list of VMs names the peer.
	listed bool
	// LogUnreachable is set while the peer can't read the log service.
	LogUnreachable bool
}

// View is one entry VM's view of the others. Set Self before use.
type View struct {
	Self event.VM
	// peers does not hold Self.
	peers map[units.EntryVMID]*Peer
	// members is sorted and holds the ids of the own failure domain that take
	// part in ownership, Self included unless it is leaving.
	members []units.EntryVMID
	ring    *rendezvous.Rendezvous
	// revision counts the changes of members.
	revision uint64
	leaving  bool
	// joining is set while the own entry VM listens before it takes part in
	// ownership, at the longest until joinBy.
	joining bool
	joinBy  clock.Millis
	// listPending is set until the platform's list has come.
	listPending bool
}

// Join makes the own entry VM listen until it has heard all listed members of
// its failure domain, or for SuspectAfter. Otherwise it would take itself for the
// owner of everything and take it from those who serve. listPending tells that
// the list of VMs is still to come.
func (v *View) Join(now clock.Millis, listPending bool) {
	v.joining, v.joinBy, v.listPending = true, now+SuspectAfter, listPending
}

// Joining reports whether the own entry VM still listens.
func (v *View) Joining() bool { return v.joining }

// Listed notes that the platform's list has come.
func (v *View) Listed() { v.listPending = false }

// Revision returns a number that grows with each change of the members.
func (v *View) Revision() uint64 { return v.revision }

// heardAll reports whether every listed entry VM of the own failure domain was
// heard.
func (v *View) heardAll() bool {
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

// SelfID returns the id of the own entry VM.
func (v *View) SelfID() units.EntryVMID { return units.EntryVMID(v.Self.ID) }

// Learn takes over addresses from a list of VMs. The list lags, so that a VM
// missing from it is kept as long as it is heard.
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
			p = &Peer{ID: id, HeardAt: now - SuspectAfter}
			v.peers[id] = p
		}
		p.Address, p.ServeAddress = vm.Address, vm.ServeAddress
		p.FailureDomain, p.Region = vm.FailureDomain, vm.Region
	}
	for id, p := range v.peers {
		p.listed = listed[id]
	}
	v.forgetGone(now)
	v.refresh(now)
}

// forgetGone drops peers that are neither listed nor heard.
func (v *View) forgetGone(now clock.Millis) {
	for id, p := range v.peers {
		if !p.listed && now-p.HeardAt >= SuspectAfter {
			delete(v.peers, id)
		}
	}
}

// Heard notes a heartbeat. It reports false if the heartbeat is of an earlier
// incarnation than one heard of, and is to be ignored.
func (v *View) Heard(now clock.Millis, from units.EntryVMID, heartbeat *peer.Heartbeat) bool {
	p := v.peers[from]
	if p == nil || heartbeat.Incarnation < p.Incarnation {
		return false
	}
	p.Incarnation = heartbeat.Incarnation
	p.HeardAt = now
	p.Leaving, p.Joining = heartbeat.Leaving, heartbeat.Joining
	p.ConfigOffset = heartbeat.ConfigOffset
	p.LogUnreachable = heartbeat.LogUnreachable
	v.refresh(now)
	return true
}

// Tick drops members that have not been heard of. It reports whether the
// members changed.
func (v *View) Tick(now clock.Millis) bool {
	v.forgetGone(now)
	return v.refresh(now)
}

// Leave takes the own entry VM out of ownership.
func (v *View) Leave(now clock.Millis) {
	v.leaving = true
	v.refresh(now)
}

// Members returns the ids of the own failure domain that share ownership.
func (v *View) Members() []units.EntryVMID { return v.members }

// Peer returns what is known of another entry VM, or nil.
func (v *View) Peer(id units.EntryVMID) *Peer { return v.peers[id] }

// Peers returns all other entry VMs sorted by id.
func (v *View) Peers() []*Peer {
	peers := make([]*Peer, 0, len(v.peers))
	for _, p := range v.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *Peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return peers
}

// Alive reports whether id is the own entry VM or was heard of lately.
func (v *View) Alive(now clock.Millis, id units.EntryVMID) bool {
	if id == v.SelfID() {
		return true
	}
	p := v.peers[id]
	return p != nil && now-p.HeardAt < SuspectAfter
}

// OwnerOf returns the entry VM that owns server in this view, or "" if there is
// no member.
func (v *View) OwnerOf(server units.BackendServerID) units.EntryVMID {
	if v.ring == nil || len(v.members) == 0 {
		return ""
	}
	return units.EntryVMID(v.ring.Lookup(string(server)))
}

// FollowerOf returns the member that follows a stream on behalf of the failure
// domain, or "" if there is no member.
func (v *View) FollowerOf(stream units.StreamName) units.EntryVMID {
	return v.OwnerOf(units.BackendServerID(stream))
}

func (v *View) refresh(now clock.Millis) bool {
	var members []units.EntryVMID
	if v.joining && (now >= v.joinBy || v.heardAll()) {
		v.joining = false
	}
	if !v.leaving && !v.joining {
		members = append(members, v.SelfID())
	}
	for _, p := range v.peers {
		if p.FailureDomain == v.Self.FailureDomain && !p.Leaving && !p.Joining && now-p.HeardAt < SuspectAfter {
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
