package route

import (
	"slices"

	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// copyState is the state of one adapter on one server.
type copyState uint8

// States of a copy.
const (
	copyAbsent copyState = iota
	copyLoading
	copyResident
)

// String returns the name of c for log lines.
func (c copyState) String() string {
	switch c {
	case copyLoading:
		return "loading"
	case copyResident:
		return "resident"
	default:
		return "absent"
	}
}

// placement is one copy of an adapter.
type placement struct {
	server *Server
	state  copyState
}

// copies indexes the servers that have or load an adapter. The zero value is empty.
type copies struct {
	placements map[units.AdapterVersion][]placement
}

func (c *copies) set(av units.AdapterVersion, s *Server, state copyState) {
	if c.placements == nil {
		c.placements = map[units.AdapterVersion][]placement{}
	}
	placements := c.placements[av]
	at := slices.IndexFunc(placements, func(p placement) bool { return p.server == s })
	switch {
	case state == copyAbsent && at < 0:
	case state == copyAbsent:
		c.remove(av, placements, at)
	case at < 0:
		c.placements[av] = append(placements, placement{s, state})
	default:
		placements[at].state = state
	}
}

func (c *copies) remove(av units.AdapterVersion, placements []placement, at int) {
	if len(placements) == 1 {
		delete(c.placements, av)
		return
	}
	placements[at] = placements[len(placements)-1]
	c.placements[av] = placements[:len(placements)-1]
}

// replace updates the copies of one server from its summary before to its summary after.
func (c *copies) replace(s *Server, before, after *peer.ServerSummary) {
	if slices.Equal(before.Resident, after.Resident) && slices.Equal(before.Loading, after.Loading) {
		return
	}
	c.setAll(before.Resident, s, copyAbsent)
	c.setAll(before.Loading, s, copyAbsent)
	c.setAll(after.Loading, s, copyLoading)
	c.setAll(after.Resident, s, copyResident)
}

func (c *copies) setAll(versions []units.AdapterVersion, s *Server, state copyState) {
	for _, av := range versions {
		c.set(av, s, state)
	}
}
