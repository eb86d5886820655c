package vetter

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"mangostile/internal/core/topo"
)

// Verbs of changes.
const (
	removed = "removed"
	changed = "changed"
	added   = "added"
)

// Diff returns what differs in next from old: what was removed first, then what was changed and added.
func Diff(old, next *topo.Config) []Change {
	var list []Change
	list = append(list, compare(KindRoute, routesOf(old), routesOf(next), describeRoute, "requests in flight go on; new ones get 404 unless another route matches")...)
	list = append(list, compare(KindService, servicesOf(old), servicesOf(next), describeService, "requests in flight go on; no new ones are sent to it")...)
	list = append(list, compare(KindCustomer, customersOf(old), customersOf(next), func(c customerKeys) []field { return c.fields() }, "requests in flight go on; its keys get 401")...)
	list = append(list, compare(KindLimits, map[string]topo.Limits{KindLimits: old.Limits}, map[string]topo.Limits{KindLimits: next.Limits}, describeLimits, "")...)
	order := map[string]int{removed: 0, changed: 1, added: 2}
	slices.SortStableFunc(list, func(a, b Change) int { return cmp.Compare(order[a.Verb], order[b.Verb]) })
	return list
}

// field is a part of an entry as it is shown. effect is what a change does beyond applying to new requests.
type field struct{ name, value, effect string }

// compare returns the changes of one kind of entry, sorted by name.
func compare[T any](kind string, old, next map[string]T, fields func(T) []field, removal string) []Change {
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range next {
		names[name] = true
	}
	var list []Change
	for name := range names {
		was, hadOld := old[name]
		is, hasNext := next[name]
		switch {
		case !hasNext:
			list = append(list, Change{Verb: removed, Kind: kind, Entry: name, Text: removal})
		case !hadOld:
			list = append(list, Change{Verb: added, Kind: kind, Entry: name, Text: joinFields(fields(is))})
		default:
			if text := differences(fields(was), fields(is)); text != "" {
				list = append(list, Change{Verb: changed, Kind: kind, Entry: name, Text: text})
			}
		}
	}
	slices.SortFunc(list, func(a, b Change) int { return cmp.Compare(a.Entry, b.Entry) })
	return list
}

func joinFields(fields []field) string {
	var parts []string
	for _, f := range fields {
		parts = append(parts, f.name+" "+f.value)
	}
	return strings.Join(parts, ", ")
}

func differences(old, next []field) string {
	var parts []string
	for i, f := range next {
		if old[i].value == f.value {
			continue
		}
		text := fmt.Sprintf("%s %s -> %s", f.name, old[i].value, f.value)
		if f.effect != "" {
			text += " (" + f.effect + ")"
		}
		parts = append(parts, text)
	}
	return strings.Join(parts, ", ")
}

func routesOf(cfg *topo.Config) map[string]topo.Route {
	routes := map[string]topo.Route{}
	for _, r := range cfg.Routes {
		routes[r.Name] = r
	}
	return routes
}

func describeRoute(r topo.Route) []field {
	const newOnly = "requests in flight keep the old one"
	var shares []string
	for _, s := range r.Shares {
		shares = append(shares, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	return []field{
		{"match", r.Host + r.PathPrefix, "requests in flight go on"},
		{"kind", r.Kind.String(), newOnly},
		{"services", strings.Join(shares, "+"), "requests in flight go on where they are"},
		{"timeout", fmt.Sprint(r.Timeout), newOnly},
		{"target", fmt.Sprint(r.Target), ""},
		{"gap", fmt.Sprint(r.GapTarget), ""},
		{"rank", fmt.Sprint(r.Rank), newOnly},
		{"attempts", fmt.Sprint(r.MaxAttempts), newOnly},
		{"resumable", fmt.Sprint(r.Resumable), newOnly},
		{"open", fmt.Sprint(r.Open), newOnly},
	}
}

func servicesOf(cfg *topo.Config) map[string]*topo.Service {
	services := map[string]*topo.Service{}
	for name, s := range cfg.Services {
		services[string(name)] = s
	}
	return services
}

func describeService(s *topo.Service) []field {
	engine := s.Engine
	kind := "engine"
	if engine == nil {
		engine, kind = &topo.Engine{}, "plain"
	}
	var models []string
	for _, m := range engine.Models {
		models = append(models, fmt.Sprintf("%s:%.0fMB+%dx%.0fMB", m.Name, m.WeightMB, m.Adapters, m.AdapterMB))
	}
	return []field{
		{"kind", kind, ""},
		{"connections", fmt.Sprint(s.MaxConns), ""},
		{"slots", fmt.Sprint(engine.Slots), ""},
		{"kv_tokens", fmt.Sprint(engine.KVTokens), ""},
		{"adapter_slots", fmt.Sprint(engine.AdapterSlots), "adapters beyond them are unloaded once unused"},
		{"weights_mb", fmt.Sprintf("%.0f", engine.WeightMB), ""},
		{"loads_per_s", fmt.Sprint(engine.LoadsPerSecond), ""},
		{"models", strings.Join(models, "+"), ""},
	}
}

// customerKeys is a customer with the short hashes of its keys.
type customerKeys struct {
	*topo.Customer
	keys []string
}

func customersOf(cfg *topo.Config) map[string]customerKeys {
	customers := map[string]customerKeys{}
	for _, c := range cfg.Customers.All() {
		entry := customerKeys{Customer: c}
		for _, key := range cfg.Customers.KeysOf(c) {
			entry.keys = append(entry.keys, shortHash(key))
		}
		slices.Sort(entry.keys)
		customers[string(c.Name)] = entry
	}
	return customers
}

func (c customerKeys) fields() []field {
	rank := "of the route"
	if c.HasRank {
		rank = fmt.Sprint(c.Rank)
	}
	unit := "requests"
	if c.Quota.ByTokens {
		unit = "tokens"
	}
	return []field{
		{"keys", strings.Join(c.keys, "+"), "requests in flight go on; keys that are gone get 401"},
		{"rank", rank, ""},
		{"rate", fmt.Sprintf("%.0f %s a second", c.Quota.Rate, unit), ""},
		{"burst", fmt.Sprintf("%.0f", c.Quota.Burst), ""},
		{"plain_tokens", fmt.Sprint(c.Quota.PlainTokens), ""},
	}
}

func describeLimits(l topo.Limits) []field {
	return []field{
		{"header_bytes", fmt.Sprint(l.HeaderBytes), ""},
		{"body_bytes", fmt.Sprint(l.BodyBytes), ""},
		{"header_timeout", fmt.Sprint(l.HeaderTimeout), ""},
		{"idle_timeout", fmt.Sprint(l.IdleTimeout), ""},
	}
}
