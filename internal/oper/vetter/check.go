package vetter

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// Check returns the findings in a configuration, in the order of its entries.
func Check(cfg *topo.Config, o Options) []Finding {
	var list []Finding
	add := func(name Name, kind, entry, format string, args ...any) {
		list = append(list, Finding{Name: name, Kind: kind, Entry: entry, Text: fmt.Sprintf(format, args...)})
	}
	checkRoutes(cfg, add)
	checkServices(cfg, add)
	checkCustomers(cfg, add)
	// A body may take no more of the memory than is then left for all others, see quota.Pool.
	if o.Memory > 0 && units.Bytes(cfg.Limits.BodyBytes) > o.Memory {
		add(BodyOverMemory, KindLimits, KindLimits, "bodies of up to %d bytes are allowed, but the smallest entry VM holds only %d: lower the limit, or it refuses them", cfg.Limits.BodyBytes, o.Memory)
	}
	return list
}

type adder func(name Name, kind, entry, format string, args ...any)

func checkRoutes(cfg *topo.Config, add adder) {
	// first holds the first route of each host and prefix: later ones never match.
	first := map[string]string{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		key := strings.ToLower(r.Host) + " " + r.PathPrefix
		if other, ok := first[key]; ok {
			add(RouteShadowed, KindRoute, r.Name, "it never matches: route %s has the same host and prefix, and comes first", other)
		} else {
			first[key] = r.Name
		}
		if r.Timeout > 0 && r.Target > r.Timeout {
			add(TargetOverTimeout, KindRoute, r.Name, "no answer within %d ms counts as late, but requests end after %d ms: lower the target or raise the time-out", r.Target, r.Timeout)
		}
		if r.Timeout > 0 && r.GapTarget > r.Timeout {
			add(GapOverTimeout, KindRoute, r.Name, "pauses of up to %d ms are allowed, but requests end after %d ms", r.GapTarget, r.Timeout)
		}
	}
}

func checkServices(cfg *topo.Config, add adder) {
	used := map[units.ServiceName]bool{}
	for i := range cfg.Routes {
		for _, s := range cfg.Routes[i].Shares {
			used[s.Service] = true
		}
	}
	for _, s := range sortedServices(cfg) {
		if !used[s.Name] {
			add(ServiceUnused, KindService, string(s.Name), "no route leads to it")
		}
		if s.Engine != nil {
			checkEngine(s, add)
		}
	}
}

func checkEngine(s *topo.Service, add adder) {
	e, name := s.Engine, string(s.Name)
	for _, m := range e.Models {
		left := e.WeightMB - m.WeightMB
		switch {
		case e.WeightMB == 0:
		case left < 0:
			add(ModelTooLarge, KindService, name, "model %s has %.0f MB, a backend server %.0f", m.Name, m.WeightMB, e.WeightMB)
		case m.Adapters > 0 && left < m.AdapterMB:
			add(NoRoomForAdapters, KindService, name, "model %s leaves %.0f MB, an adapter has %.0f", m.Name, left, m.AdapterMB)
		case m.Adapters > 0 && left < m.AdapterMB*float64(e.AdapterSlots):
			add(SlotsWithoutMemory, KindService, name, "model %s leaves %.0f MB, which is room for %d adapters of %.0f MB and not for %d", m.Name, left, int(left/m.AdapterMB), m.AdapterMB, e.AdapterSlots)
		}
	}
}

func checkCustomers(cfg *topo.Config, add adder) {
	if cfg.Customers == nil {
		return
	}
	open := true
	for i := range cfg.Routes {
		open = open && cfg.Routes[i].Open
	}
	if open && len(cfg.Customers.All()) > 0 {
		add(CustomersUnused, KindCustomer, string(cfg.Customers.All()[0].Name), "every route is open, so that keys and quotas of all customers have no effect")
	}
	for _, c := range cfg.Customers.All() {
		keys := cfg.Customers.KeysOf(c)
		if len(keys) == 0 {
			add(CustomerWithoutKeys, KindCustomer, string(c.Name), "it can send no request: give it a key")
		}
		for _, key := range keys {
			if holder := cfg.Customers.ByKey(key); holder != c {
				add(KeyHeldTwice, KindCustomer, string(c.Name), "key %s is that of customer %s too, to whom requests with it count", shortHash(key), holder.Name)
			}
		}
		if q := c.Quota; q.Limited() && q.Rate+q.Burst < q.Cost(0, 0) {
			add(QuotaBelowRequest, KindCustomer, string(c.Name), "its quota of %.0f a second and %.0f at once is less than one request without token counts, which counts as %.0f", q.Rate, q.Burst, q.Cost(0, 0))
		}
	}
}

// shortHash returns as much of a key's hash as tells keys apart, so that no output holds a key.
func shortHash(key topo.KeyHash) string { return fmt.Sprintf("%x", key[:4]) }

func sortedServices(cfg *topo.Config) []*topo.Service {
	var list []*topo.Service
	for _, s := range cfg.Services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *topo.Service) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
