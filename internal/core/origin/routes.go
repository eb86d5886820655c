package origin

import (
	"maps"
	"slices"
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
	// inForce holds the routes of config for streams that can be taken up.
	inForce map[RouteKey]*topo.Route
	// usedUntil is until when each route used a service under former configurations.
	usedUntil map[RouteKey]map[units.ServiceName]clock.Millis
	// since is the begin of the time in which no configuration was in force unseen, 0 before the first.
	since clock.Millis
}

// Set records that a configuration comes into force, after others that the entry VM may have missed if missed is
// true.
func (r *Routes) Set(now clock.Millis, cfg *topo.Config, missed bool) {
	if r.since == 0 || missed {
		r.since = now
	}
	old, before := r.config, r.inForce
	if old != nil && cfg.Version <= old.Version {
		return
	}
	r.forget(now)
	r.config, r.inForce = cfg, map[RouteKey]*topo.Route{}
	for i := range cfg.Routes {
		if route := &cfg.Routes[i]; route.Kind == topo.KindStream && route.Resumable {
			r.inForce[RouteKeyOf(route)] = route
		}
	}
	for key, route := range before {
		for _, share := range route.Shares {
			r.use(key, share.Service, now)
		}
		if r.inForce[key] == nil {
			r.inherit(key, cfg.Match(route.Host, route.PathPrefix))
		}
	}
	for key, route := range r.inForce {
		if old != nil && before[key] == nil {
			if former := old.Match(route.Host, route.PathPrefix); former != nil {
				r.inherit(RouteKeyOf(former), route)
			}
		}
	}
}

// inherit records the former services of a route as those of another one, which has its paths now; nil for
// none.
func (r *Routes) inherit(from RouteKey, to *topo.Route) {
	if to == nil || RouteKeyOf(to) == from {
		return
	}
	for service, until := range r.usedUntil[from] {
		r.use(RouteKeyOf(to), service, until)
	}
}

func (r *Routes) use(route RouteKey, service units.ServiceName, until clock.Millis) {
	if r.usedUntil == nil {
		r.usedUntil = map[RouteKey]map[units.ServiceName]clock.Millis{}
	}
	if r.usedUntil[route] == nil {
		r.usedUntil[route] = map[units.ServiceName]clock.Millis{}
	}
	r.usedUntil[route][service] = max(r.usedUntil[route][service], until)
}

// forget drops what no stream that can still be taken up has used.
func (r *Routes) forget(now clock.Millis) {
	for route, services := range r.usedUntil {
		maps.DeleteFunc(services, func(_ units.ServiceName, until clock.Millis) bool { return now > until+MaxLifetime })
		if len(services) == 0 {
			delete(r.usedUntil, route)
		}
	}
}

// Add records services that routes used until now.
func (r *Routes) Add(now clock.Millis, list []RouteService) {
	for _, used := range list {
		r.use(used.Route, used.Service, now)
	}
}

// Since returns the begin of the time in which no configuration was in force unseen, 0 before the first.
func (r *Routes) Since() clock.Millis { return r.since }

// Used returns what routes have used since a time.
func (r *Routes) Used(since clock.Millis) []RouteService {
	keys := map[RouteKey]bool{}
	for key := range r.inForce {
		keys[key] = true
	}
	for key := range r.usedUntil {
		keys[key] = true
	}
	var list []RouteService
	for key := range keys {
		for _, service := range r.Services(key, since) {
			list = append(list, RouteService{key, service})
		}
	}
	return list
}

// Services returns the services that a route has used since a time.
func (r *Routes) Services(route RouteKey, since clock.Millis) []units.ServiceName {
	var list []units.ServiceName
	if current := r.inForce[route]; current != nil {
		for _, share := range current.Shares {
			list = append(list, share.Service)
		}
	}
	for service, until := range r.usedUntil[route] {
		if until >= since && !slices.Contains(list, service) {
			list = append(list, service)
		}
	}
	return list
}
