package topo

import (
	"sort"

	"mangostile/internal/base/units"
)

// Servers is a list of backend servers. The zero value is empty.
type Servers struct {
	byID map[units.BackendServerID]*Server
}

// Put adds or replaces an entry. It reports whether the entry is new or its Address,
// Draining, StartedAt, Software, Service, Remaining or number of Models changed. Other fields, such
// as Copies and Orders, are not compared.
func (l *Servers) Put(s *Server) bool {
	if l.byID == nil {
		l.byID = map[units.BackendServerID]*Server{}
	}
	old := l.byID[s.ID]
	l.byID[s.ID] = s
	return old == nil || old.Address != s.Address || old.Draining != s.Draining || old.StartedAt != s.StartedAt || old.Software != s.Software || old.Service != s.Service ||
		len(old.Models) != len(s.Models) || old.Remaining != s.Remaining
}

// Drop removes an entry and reports whether there was one.
func (l *Servers) Drop(id units.BackendServerID) bool {
	_, ok := l.byID[id]
	delete(l.byID, id)
	return ok
}

// Get returns the entry of a backend server, or nil.
func (l *Servers) Get(id units.BackendServerID) *Server { return l.byID[id] }

// Len returns the number of entries.
func (l *Servers) Len() int { return len(l.byID) }

// All returns the entries sorted by ID.
func (l *Servers) All() []*Server {
	all := make([]*Server, 0, len(l.byID))
	for _, s := range l.byID {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}
