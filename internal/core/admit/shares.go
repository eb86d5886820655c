// Package admit decides whether a request may run under the limits in force.
package admit

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Shares divides limits between the entry VMs of a failure domain by what each
// has lately asked for. Every entry VM divides by the same announced demands, so
// that the parts add up to 1 where all have heard the same. No part is greater
// than 1. The zero value has heard nothing.
type Shares struct {
	// heard holds the demands that each entry VM last announced, by limit.
	heard map[units.EntryVMID]map[string]announced
}

// announced is a demand and when it was heard.
type announced struct {
	rate float64
	at   clock.Millis
}

const (
	// floorDemand is the part of the mean demand that each entry VM counts with
	// at least, so that one that asked for nothing can begin.
	floorDemand = 0.25
	// demandTerm is how long a demand is believed.
	demandTerm = 15 * clock.Second
)

// Heard takes the demands that an entry VM announces, itself included.
func (s *Shares) Heard(now clock.Millis, from units.EntryVMID, demands []peer.Demand) {
	if s.heard == nil {
		s.heard = map[units.EntryVMID]map[string]announced{}
	}
	own := s.heard[from]
	if own == nil {
		own = map[string]announced{}
		s.heard[from] = own
	}
	for _, d := range demands {
		own[d.Key] = announced{max(0, float64(d.Rate)), now}
	}
}

// Prune forgets old demands and those of entry VMs that are no members.
func (s *Shares) Prune(now clock.Millis, members []units.EntryVMID) {
	for id, demands := range s.heard {
		if !slices.Contains(members, id) {
			delete(s.heard, id)
			continue
		}
		for key, d := range demands {
			if now-d.at >= demandTerm {
				delete(demands, key)
			}
		}
	}
}

// Part returns the part of the limit called key that self has among members. An
// entry VM that nobody else is a member with has all.
func (s *Shares) Part(key string, self units.EntryVMID, members []units.EntryVMID) float64 {
	own, others := s.demands(key, self, members)
	n := float64(max(1, len(members)))
	if own+others == 0 {
		return 1 / n
	}
	floor := floorDemand * (own + others) / n
	return (own + floor) / (own + others + n*floor)
}

// Left is Part, or what the others leave of the limit if that is more; capacity
// is the demand that the limit meets in one heartbeat period. Since
// announcements lag by that period, n entry VMs that had all asked for nothing
// may together use n times the limit for that long.
func (s *Shares) Left(key string, self units.EntryVMID, members []units.EntryVMID, capacity float64) float64 {
	_, others := s.demands(key, self, members)
	left := 1.0
	if others > 0 {
		left = 1 - others/capacity
	}
	return max(left, s.Part(key, self, members))
}

func (s *Shares) demands(key string, self units.EntryVMID, members []units.EntryVMID) (own, others float64) {
	for _, id := range members {
		if id != self {
			others += s.heard[id][key].rate
		}
	}
	return s.heard[self][key].rate, others
}
