package origin

import (
	"strings"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// RouteKey identifies a route in all versions of the configuration.
type RouteKey string

// RouteKeyOf returns the key of a route.
func RouteKeyOf(r *topo.Route) RouteKey { return RouteKey(strings.ToLower(r.Host) + r.PathPrefix) }

// RouteService is a service to which a route sends requests.
type RouteService struct {
	Route   RouteKey
	Service units.ServiceName
}

// Routes is to which services the streams of each route went of late. The zero value has seen no configuration.
type Routes struct {
	config *topo.Config
	// seenAt is until when each route used a service, apart from those that config has.
	seenAt map[RouteService]clock.Millis
	// since is the begin of the time in which no configuration was in force unseen, 0 before the first.
	since clock.Millis
}

// Set records that a configuration comes into force, after others that the entry VM may have missed if missed is
// true.
func (r *Routes) Set(now clock.Millis, cfg *topo.Config, missed bool) {
	if r.since == 0 || missed {
		r.since = now
	}
	old := r.config
	if old != nil && cfg.Version <= old.Version {
		return
	}
	r.observe(now)
	r.config = cfg
	r.observe(now)
	if old == nil {
		return
	}
	// The streams of a path stay what they are if another route matches it from now on.
	for _, list := range [][]topo.Route{old.Routes, cfg.Routes} {
		for i := range list {
			before, after := old.Match(list[i].Host, list[i].PathPrefix), cfg.Match(list[i].Host, list[i].PathPrefix)
			if before != nil && after != nil && RouteKeyOf(before) != RouteKeyOf(after) {
				r.inherit(RouteKeyOf(before), RouteKeyOf(after))
			}
		}
	}
}

// inherit records the services of a route as those of another one.
func (r *Routes) inherit(from, to RouteKey) {
	for key, at := range r.seenAt {
		if key.Route == from {
			key.Route = to
			r.seenAt[key] = max(r.seenAt[key], at)
		}
	}
}

// observe records that the configuration is in force until now.
func (r *Routes) observe(now clock.Millis) {
	if r.seenAt == nil {
		r.seenAt = map[RouteService]clock.Millis{}
	}
	for key, at := range r.seenAt {
		if now > at+MaxLifetime {
			delete(r.seenAt, key)
		}
	}
	if r.config == nil {
		return
	}
	for i := range r.config.Routes {
		route := &r.config.Routes[i]
		if route.Kind != topo.KindStream || !route.Resumable {
			continue
		}
		for _, share := range route.Shares {
			r.seenAt[RouteService{RouteKeyOf(route), share.Service}] = now
		}
	}
}

// Add records services that routes used until now.
func (r *Routes) Add(now clock.Millis, list []RouteService) {
	r.observe(now)
	for _, key := range list {
		r.seenAt[key] = now
	}
}

// Since returns the begin of the time in which no configuration was in force unseen, 0 before the first.
func (r *Routes) Since() clock.Millis { return r.since }

// Used returns what routes have used since a time.
func (r *Routes) Used(now, since clock.Millis) []RouteService {
	r.observe(now)
	var list []RouteService
	for key, at := range r.seenAt {
		if at >= since {
			list = append(list, key)
		}
	}
	return list
}

// Services returns the services that a route has used since a time.
func (r *Routes) Services(now clock.Millis, route RouteKey, since clock.Millis) []units.ServiceName {
	r.observe(now)
	var list []units.ServiceName
	for key, at := range r.seenAt {
		if key.Route == route && at >= since {
			list = append(list, key.Service)
		}
	}
	return list
}
