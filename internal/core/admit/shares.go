// Package admit decides whether a request may run under the limits in force.
package admit

import (
	"slices"

	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Shares divides limits between the entry VMs of a failure domain by what each
// has lately asked for. Every entry VM divides by the same announced demands, so
// that the parts add up to no more than 1 once all have heard each other. Where
// views differ, no part is greater than 1. The zero value has heard nothing.
type Shares struct {
	// heard holds the demands that each entry VM last announced, by limit.
	heard map[units.EntryVMID]map[string]float64
}

// floorDemand is the part of the mean demand that each entry VM counts with at
// least, so that one that asked for nothing can begin.
const floorDemand = 0.25

// Heard takes the demands that an entry VM announces, itself included.
func (s *Shares) Heard(from units.EntryVMID, demands []peer.Demand) {
	if s.heard == nil {
		s.heard = map[units.EntryVMID]map[string]float64{}
	}
	own := s.heard[from]
	if own == nil {
		own = map[string]float64{}
		s.heard[from] = own
	}
	clear(own)
	for _, d := range demands {
		own[d.Key] = max(0, float64(d.Rate))
	}
}

// Part returns the part of the limit called key that self has among members.
// capacity is the demand that the limit meets in one heartbeat period: what the
// others leave of it may be used at once. Since announcements lag by a heartbeat
// period, n entry VMs that all had asked for nothing may together use n times
// the limit for that long, and no longer.
func (s *Shares) Part(key string, self units.EntryVMID, members []units.EntryVMID, capacity float64) float64 {
	if len(members) <= 1 {
		return 1
	}
	others := 0.0
	for _, id := range members {
		if id != self {
			others += s.heard[id][key]
		}
	}
	n := float64(len(members))
	own := s.heard[self][key]
	floor := floorDemand * (own + others) / n
	left := 1.0
	if others > 0 {
		left = 1 - others/capacity
	}
	if own+others == 0 {
		return left
	}
	return max((own+floor)/(own+others+n*floor), left)
}

// Keep forgets entry VMs that are not members any more.
func (s *Shares) Keep(members []units.EntryVMID) {
	for id := range s.heard {
		if !slices.Contains(members, id) {
			delete(s.heard, id)
		}
	}
}
