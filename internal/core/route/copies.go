package route

import (
	"slices"

	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// copyState is what the router knows of one adapter on one server.
type copyState uint8

// States of a copy.
const (
	copyAbsent copyState = iota
	copyLoading
	copyResident
)

// String returns the name of c in log lines.
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

// place is one copy of an adapter.
type place struct {
	server *Server
	state  copyState
}

// copies finds the servers that have an adapter. The zero value has none.
type copies struct {
	places map[units.AdapterVersion][]place
}

func (c *copies) set(av units.AdapterVersion, s *Server, state copyState) {
	if c.places == nil {
		c.places = map[units.AdapterVersion][]place{}
	}
	places := c.places[av]
	at := slices.IndexFunc(places, func(p place) bool { return p.server == s })
	switch {
	case state == copyAbsent && at < 0:
	case state == copyAbsent:
		c.remove(av, places, at)
	case at < 0:
		c.places[av] = append(places, place{s, state})
	default:
		places[at].state = state
	}
}

func (c *copies) remove(av units.AdapterVersion, places []place, at int) {
	if len(places) == 1 {
		delete(c.places, av)
		return
	}
	places[at] = places[len(places)-1]
	c.places[av] = places[:len(places)-1]
}

// replace takes the new summary of one server in place of the old one.
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
