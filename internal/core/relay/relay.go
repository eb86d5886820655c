// Package relay chooses the entry VM of another failure domain to which a request is
// forwarded when the own failure domain can't serve it.
package relay

import (
	"cmp"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/member"

	"github.com/cespare/xxhash/v2"
)

// DefaultBytesPerSecond is one entry VM's default share of a link between regions.
const DefaultBytesPerSecond = 64 << 10

// burst is the time in ms for which unused link share accumulates.
const burst = 4 * clock.Second

// AvoidPeriod is how long, in ms, an unreachable entry VM is avoided.
const AvoidPeriod = 5 * clock.Second

// Relay tracks which entry VMs of other failure domains are unreachable and how much of
// the own share of links between regions is used. The zero value is ready to use.
type Relay struct {
	// BytesPerSecond is the own share of links between regions. 0 selects
	// DefaultBytesPerSecond; less than 0 turns forwarding off.
	BytesPerSecond float64
	avoidUntil     map[units.EntryVMID]clock.Millis
	// unused is the unused share in bytes at the instant unusedAt.
	unused   float64
	unusedAt clock.Millis
	// started is set once unused and unusedAt have been initialized.
	started bool
}

// Forward describes a request to be forwarded.
type Forward struct {
	// Affinity is the same for requests that should go to the same failure domain, such
	// as those for one adapter.
	Affinity string
	Bytes    units.Bytes
	Request  units.RequestID
	// Tried lists the targets of earlier attempts, backend servers and entry VMs alike.
	// The failure domains of those that are entry VMs are excluded.
	Tried []units.BackendServerID
}

// Choice is the entry VM to which a request is forwarded.
type Choice struct {
	// Peer is nil if no entry VM was chosen. Reason gives the reason in either case.
	Peer   *member.Peer
	Reason string
}

// Choose chooses among peers, which may include members of the own failure domain. It
// prefers the own region. A choice in another region is charged to the own share of the
// link.
func (r *Relay) Choose(now clock.Millis, own event.VM, peers []*member.Peer, fwd Forward) Choice {
	if !r.Enabled() {
		return Choice{Reason: "switched_off"}
	}
	triedDomains := domainsOf(peers, fwd.Tried)
	var best *member.Peer
	for _, p := range peers {
		switch {
		case p.FailureDomain == own.FailureDomain || p.ServeAddress == "" || p.Leaving:
		case r.Avoided(now, p.ID) || triedDomains[p.FailureDomain]:
		case best == nil || compare(p, best, own.Region, fwd) < 0:
			best = p
		}
	}
	switch {
	case best == nil:
		return Choice{Reason: "no_failure_domain_reachable"}
	case best.Region == own.Region:
		return Choice{Peer: best, Reason: "other_failure_domain"}
	case !r.reserve(now, fwd.Bytes):
		return Choice{Reason: "link_share_used"}
	default:
		return Choice{Peer: best, Reason: "other_region"}
	}
}

// Enabled reports whether requests may be forwarded to other entry VMs at all.
func (r *Relay) Enabled() bool { return r.BytesPerSecond >= 0 }

// Avoided reports whether an entry VM was unreachable within the last AvoidPeriod.
func (r *Relay) Avoided(now clock.Millis, id units.EntryVMID) bool { return now < r.avoidUntil[id] }

// Avoid excludes an unreachable entry VM for AvoidPeriod.
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

// reserve charges bytes to the share and reports whether the share was sufficient. A
// request larger than the maximum share passes if the whole share is unused.
func (r *Relay) reserve(now clock.Millis, bytes units.Bytes) bool {
	rate := r.BytesPerSecond
	if rate == 0 {
		rate = DefaultBytesPerSecond
	}
	maxUnused := rate * float64(burst) / float64(clock.Second)
	if !r.started {
		r.started, r.unused, r.unusedAt = true, maxUnused, now
	}
	r.unused = min(maxUnused, r.unused+rate*float64(now-r.unusedAt)/float64(clock.Second))
	r.unusedAt = now
	if r.unused < min(float64(bytes), maxUnused) {
		return false
	}
	r.unused -= float64(bytes)
	return true
}

// compare returns less than 0 if a is the better choice. Failure domains are ordered by
// affinity, so that requests for one adapter go to the same one, and entry VMs of one
// domain by request, so that the load is distributed.
func compare(a, b *member.Peer, region units.Region, fwd Forward) int {
	if aInRegion, bInRegion := a.Region == region, b.Region == region; aInRegion != bInRegion {
		if aInRegion {
			return -1
		}
		return 1
	}
	if a.FailureDomain != b.FailureDomain {
		return cmp.Compare(hashScore(string(a.FailureDomain), fwd.Affinity), hashScore(string(b.FailureDomain), fwd.Affinity))
	}
	return cmp.Compare(hashScore(string(a.ID), string(fwd.Request)), hashScore(string(b.ID), string(fwd.Request)))
}

// hashScore returns the score of name for key in rendezvous hashing. All entry VMs
// compute the same.
func hashScore(name, key string) uint64 { return xxhash.Sum64String(name + "\x00" + key) }

// domainsOf returns the failure domains of the peers whose ids are in ids.
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
