// Package admit enforces rate and concurrency limits on requests.
package admit

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Shares divides limits between the entry VMs of a failure domain in proportion to their
// recent demand. Every entry VM divides by the same announced demands, so the shares add
// up to 1 where all have received the same announcements. No share is greater than 1.
// The zero value has no demands.
type Shares struct {
	// announced holds the last demands announced by each entry VM, by limit key.
	announced map[units.EntryVMID]map[string]announcement
}

// announcement is a demand and the time it was received.
type announcement struct {
	rate       float64
	receivedAt clock.Millis
}

const (
	// floorDemand is the fraction of the mean demand that is added to every entry VM's
	// own, so that an entry VM without demand still gets a share.
	floorDemand = 0.25
	// demandTTL is how long a received demand is valid.
	demandTTL = 15 * clock.Second
)

// Receive stores the demands announced by an entry VM, the local one included.
func (s *Shares) Receive(now clock.Millis, from units.EntryVMID, demands []peer.Demand) {
	if s.announced == nil {
		s.announced = map[units.EntryVMID]map[string]announcement{}
	}
	own := s.announced[from]
	if own == nil {
		own = map[string]announcement{}
		s.announced[from] = own
	}
	for _, d := range demands {
		own[d.Key] = announcement{max(0, float64(d.Rate)), now}
	}
}

// Prune removes expired demands and those of entry VMs that are not members.
func (s *Shares) Prune(now clock.Millis, members []units.EntryVMID) {
	for id, demands := range s.announced {
		if !slices.Contains(members, id) {
			delete(s.announced, id)
			continue
		}
		for key, d := range demands {
			if now-d.receivedAt >= demandTTL {
				delete(demands, key)
			}
		}
	}
}

// Share returns self's share of the limit key among members, up to 1. A sole member gets
// the whole limit.
func (s *Shares) Share(key string, self units.EntryVMID, members []units.EntryVMID) float64 {
	own, others := s.demands(key, self, members)
	n := float64(max(1, len(members)))
	if own+others == 0 {
		return 1 / n
	}
	floor := floorDemand * (own + others) / n
	return (own + floor) / (own + others + n*floor)
}

// Available returns the greater of Share and the part of the limit, up to 1, that the
// others leave unused, so that capacity isn't wasted. capacity is the demand that uses the
// whole limit, in the unit of the announced demands; it must be at least 0. Until new
// demands are announced, n entry VMs that all had none may together use n times the limit.
func (s *Shares) Available(key string, self units.EntryVMID, members []units.EntryVMID, capacity float64) float64 {
	_, others := s.demands(key, self, members)
	unused := 1.0
	if others > 0 {
		unused = 1 - others/capacity
	}
	return max(unused, s.Share(key, self, members))
}

func (s *Shares) demands(key string, self units.EntryVMID, members []units.EntryVMID) (own, others float64) {
	for _, id := range members {
		if id != self {
			others += s.announced[id][key].rate
		}
	}
	return s.announced[self][key].rate, others
}
