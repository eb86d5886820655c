package fleet

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/topo"
)

// seen is what an entry VM has seen of the versions and services that may have begun streams.
type seen struct {
	now clock.Millis
	// software is when each version was last listed.
	software map[topo.ServiceSoftware]clock.Millis
	// softwareSince is the begin of the time in which no version was missed, routesSince that in which
	// no configuration was; 0 before the first.
	softwareSince, routesSince clock.Millis
	origins                    *origins
}

func (n *Node) seen() *seen {
	s := &seen{now: n.clock.Now(), origins: &n.origins}
	n.withCore(func(core *choose.Core) { s.software, s.softwareSince = core.SoftwareSeen(s.now) })
	n.origins.mu.Lock()
	defer n.origins.mu.Unlock()
	s.routesSince = n.origins.routes.Since()
	return s
}

// observed reports whether nothing was missed since a time.
func (s *seen) observed(since clock.Millis) bool {
	begin := max(s.softwareSince, s.routesSince)
	return s.softwareSince > 0 && s.routesSince > 0 && begin <= since
}

// services returns the services that a route has used since a time.
func (s *seen) services(route origin.RouteKey, since clock.Millis) []units.ServiceName {
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	return s.origins.routes.Services(route, since)
}

// versions returns the versions at which streams of a route may have begun since a time.
func (s *seen) versions(route origin.RouteKey, since clock.Millis) []topo.Software {
	services := s.services(route, since)
	var list []topo.Software
	for key, at := range s.software {
		if at >= since && slices.Contains(services, key.Service) && !slices.Contains(list, key.Software) {
			list = append(list, key.Software)
		}
	}
	return list
}

// onlyVersion returns a version at which streams of a route may have begun since a time, and reports whether
// there is no other one.
func (s *seen) onlyVersion(route origin.RouteKey, since clock.Millis) (topo.Software, bool) {
	list := s.versions(route, since)
	if len(list) != 1 {
		return "", false
	}
	return list[0], true
}

// several reports whether streams of a route may have begun at more than one version in the last window.
func (s *seen) several(route origin.RouteKey, window clock.Millis) bool {
	return len(s.versions(route, s.now-window)) > 1
}

// all returns what streams may have begun at since a time, for the ledger.
func (s *seen) all(since clock.Millis) origin.Observed {
	o := origin.Observed{Whole: s.observed(since)}
	for key, at := range s.software {
		if at >= since {
			o.Add(origin.VersionsOf(key.Service), origin.Name(key.Software))
		}
	}
	s.origins.mu.Lock()
	defer s.origins.mu.Unlock()
	for _, key := range s.origins.routes.Used(since) {
		o.Add(origin.ServicesOf(key.Route), origin.Name(key.Service))
	}
	return o
}
