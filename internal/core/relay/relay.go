// Package relay chooses the entry VM of another failure domain that a request is
// sent to when the own failure domain can't serve it.
package relay

import (
	"cmp"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/member"

	"github.com/cespare/xxhash/v2"
)

// DefaultBytesPerSecond is the part of a link between regions that one entry VM
// takes unless the settings say otherwise.
const DefaultBytesPerSecond = 64 << 10

// burst is the time for which unused link share is kept.
const burst = 4 * clock.Second

// AvoidPeriod is how long an entry VM is avoided that could not be reached.
const AvoidPeriod = 5 * clock.Second

// Relay knows which entry VMs of other failure domains can be reached and how
// much of the links between regions was used. The zero value has used nothing.
type Relay struct {
	// BytesPerSecond is the own share of links between regions; 0 is
	// DefaultBytesPerSecond, less than 0 sends nothing to other failure domains.
	BytesPerSecond float64
	avoidUntil     map[units.EntryVMID]clock.Millis
	// left is the unused share in bytes at the instant leftAt.
	left   float64
	leftAt clock.Millis
	// began is set once the share has begun to count.
	began bool
}

// Ask describes a request that is to be sent on.
type Ask struct {
	// Affinity is equal for requests that are better sent to the same failure
	// domain, such as those for one adapter.
	Affinity string
	Bytes    units.Bytes
	Request  units.RequestID
	// Tried lists entry VMs whose failure domains are left out.
	Tried []units.BackendServerID
}

// Choice is the entry VM that a request is sent to.
type Choice struct {
	// Peer is nil if there is none, for the reason in Reason.
	Peer   *member.Peer
	Reason string
}

// Choose chooses among peers, which may hold members of the own failure domain.
// The own region comes first. A choice in another region is taken off the share
// of its link.
func (r *Relay) Choose(now clock.Millis, own event.VM, peers []*member.Peer, ask Ask) Choice {
	if !r.SwitchedOn() {
		return Choice{Reason: "switched_off"}
	}
	triedDomains := domainsOf(peers, ask.Tried)
	var best *member.Peer
	for _, p := range peers {
		switch {
		case p.FailureDomain == own.FailureDomain || p.ServeAddress == "" || p.Leaving:
		case r.Avoided(now, p.ID) || triedDomains[p.FailureDomain]:
		case best == nil || compare(p, best, own.Region, ask) < 0:
			best = p
		}
	}
	switch {
	case best == nil:
		return Choice{Reason: "no_failure_domain_reachable"}
	case best.Region == own.Region:
		return Choice{Peer: best, Reason: "other_failure_domain"}
	case !r.take(now, ask.Bytes):
		return Choice{Reason: "link_share_used"}
	default:
		return Choice{Peer: best, Reason: "other_region"}
	}
}

// SwitchedOn reports whether requests may go to other entry VMs at all.
func (r *Relay) SwitchedOn() bool { return r.BytesPerSecond >= 0 }

// Avoided reports whether an entry VM could not be reached just now.
func (r *Relay) Avoided(now clock.Millis, id units.EntryVMID) bool { return now < r.avoidUntil[id] }

// Avoid keeps requests away from an entry VM that could not be reached.
func (r *Relay) Avoid(now clock.Millis, id units.EntryVMID) {
	if r.avoidUntil == nil {
		r.avoidUntil = map[units.EntryVMID]clock.Millis{}
	}
	for other, until := range r.avoidUntil {
		if now >= until {
			delete(r.avoidUntil, other)
		}
	}
	r.avoidUntil[id] = now + AvoidPeriod
}

// take takes bytes off the share. A request that is larger than the whole share
// passes when nothing of it was used.
func (r *Relay) take(now clock.Millis, bytes units.Bytes) bool {
	rate := r.BytesPerSecond
	if rate == 0 {
		rate = DefaultBytesPerSecond
	}
	most := rate * float64(burst) / float64(clock.Second)
	if !r.began {
		r.began, r.left, r.leftAt = true, most, now
	}
	r.left = min(most, r.left+rate*float64(now-r.leftAt)/float64(clock.Second))
	r.leftAt = now
	if r.left < min(float64(bytes), most) {
		return false
	}
	r.left -= float64(bytes)
	return true
}

// compare is less than 0 if a is the better choice. Failure domains are ordered
// by affinity, so that one adapter is asked for in one place, and entry VMs of
// one by request, so that they share the work.
func compare(a, b *member.Peer, region units.Region, ask Ask) int {
	if near, other := a.Region == region, b.Region == region; near != other {
		if near {
			return -1
		}
		return 1
	}
	if a.FailureDomain != b.FailureDomain {
		return cmp.Compare(rank(string(a.FailureDomain), ask.Affinity), rank(string(b.FailureDomain), ask.Affinity))
	}
	return cmp.Compare(rank(string(a.ID), string(ask.Request)), rank(string(b.ID), string(ask.Request)))
}

func rank(name, key string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }

func domainsOf(peers []*member.Peer, ids []units.BackendServerID) map[units.FailureDomain]bool {
	domains := map[units.FailureDomain]bool{}
	for _, id := range ids {
		for _, p := range peers {
			if string(p.ID) == string(id) {
				domains[p.FailureDomain] = true
			}
		}
	}
	return domains
}
