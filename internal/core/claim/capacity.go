package claim

import "mangostile/internal/base/clock"

// Capacity is what an entry VM can carry as the holder of a shard's lease, in processor cores.
// A holder answers the reports of all entry VMs, so a slow one loses its lease again and again
// while nothing is loaded. 0 means unknown.
type Capacity float64

// mbpsPerCore is the bandwidth in Mbit/s that a holder needs for each processor core that it
// uses.
const mbpsPerCore = 250

// NewCapacity returns the capacity of an entry VM with a share of a processor, in cores, and a
// link, in Mbit/s. A share or link of 0 is unknown and does not limit the capacity.
func NewCapacity(cores, linkMbps float64) Capacity {
	byLink := linkMbps / mbpsPerCore
	switch {
	case cores <= 0:
		return Capacity(max(0, byLink))
	case linkMbps <= 0:
		return Capacity(cores)
	default:
		return Capacity(min(cores, byLink))
	}
}

const (
	// weakClaimDelay is by how much an entry VM without any capacity claims later than the
	// strongest one.
	weakClaimDelay = 2 * clock.Second
	// expectedStrongest is the capacity of the strongest entry VM as long as it is unknown.
	expectedStrongest = 0.5
	// yieldRatio is the factor by which another entry VM must be stronger for a holder to
	// hand the lease over, and yieldAfter the time for which that must have been so. It is
	// long against the time without loads that a handover takes: the stronger one may be cut
	// off from the store and not claim.
	yieldRatio = 2
	yieldAfter = 30 * clock.Second
	// yieldPause is the time after a handover in which the earlier holder does not claim.
	yieldPause = 10 * clock.Second
)

// WeakDelay returns by how much an entry VM should delay its claims since others can carry
// more. strongest is the highest capacity among the entry VMs of the shard, 0 if unknown.
func WeakDelay(own, strongest Capacity) clock.Millis {
	if own <= 0 {
		return 0
	}
	if strongest <= 0 {
		strongest = expectedStrongest
	}
	return clock.Millis((1 - min(1, float64(own/strongest))) * float64(weakClaimDelay))
}

// Yielding decides when a holder hands its lease over to a stronger entry VM. The zero value
// is ready to use.
type Yielding struct {
	// since is when a much stronger entry VM was first seen, 0 if there is none.
	since clock.Millis
}

// Due reports whether the holder should hand over at now. strongest is the highest capacity
// among the other entry VMs that report to it.
func (y *Yielding) Due(now clock.Millis, own, strongest Capacity) bool {
	if own <= 0 || strongest < yieldRatio*own {
		y.since = 0
		return false
	}
	if y.since == 0 {
		y.since = max(1, now)
	}
	return now >= y.since+yieldAfter
}
