package route

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

func adapter(n int) units.AdapterVersion {
	return units.AdapterVersion{Adapter: units.AdapterName(fmt.Sprintf("adapter-%05d", n)), Version: "v1"}
}

// filled returns a router of engines that each have slots adapters loaded.
func filled(engines, slots int) *Router {
	var specs []event.VM
	for i := range engines {
		specs = append(specs, event.VM{ID: fmt.Sprintf("engine-%03d", i), Kind: event.KindEngine, Base: "base", State: event.VMLive})
	}
	r := &Router{}
	r.SetServers(specs)
	for i, spec := range specs {
		summary := peer.ServerSummary{
			Server: units.BackendServerID(spec.ID), Fence: 1, Running: 4, BatchMax: 16, Slots: int32(slots), Spare: 9, Usable: true,
		}
		for k := range slots {
			summary.Resident = append(summary.Resident, adapter(i*slots+k))
		}
		r.ApplySummary(1, summary)
	}
	return r
}

func choose(r *Router, now clock.Millis, n int) Choice {
	return r.Engine(now, "base", adapter(n), nil)
}

func TestEngineChoice(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(r *Router)
		want   string
		reason string
	}{
		{"resident copy", func(*Router) {}, "engine-001", "resident"},
		{"resident copy that is avoided", func(r *Router) { r.Avoid("engine-001", 100) }, "engine-000", "absent"},
		{"copy that loads", func(r *Router) {
			r.ApplySummary(2, peer.ServerSummary{Server: "engine-001", Fence: 1, BatchMax: 16, Slots: 4, Usable: true, Loading: []units.AdapterVersion{adapter(5)}})
		}, "engine-001", "loading"},
		{"summary of an earlier owner", func(r *Router) {
			r.ApplySummary(2, peer.ServerSummary{Server: "engine-001", Fence: 0, Usable: true})
		}, "engine-001", "resident"},
		{"second copy with a shorter queue", func(r *Router) {
			r.ApplySummary(2, peer.ServerSummary{Server: "engine-000", Fence: 1, BatchMax: 16, Slots: 4, Usable: true, Resident: []units.AdapterVersion{adapter(5)}})
			for range 30 {
				r.Sent(3, "engine-001", false)
			}
		}, "engine-000", "resident"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := filled(2, 4)
			tc.change(r)
			choice := choose(r, 3, 5)
			must.Eq(t, tc.want, choice.Server.Spec.ID)
			must.Eq(t, tc.reason, choice.Reason)
		})
	}
}

// TestSummaryKeepsRecentlySentRequests checks that requests sent less than summaryLag
// before a summary still count after it. The owner may not have counted them yet, and the
// server would appear less loaded than it is.
func TestSummaryKeepsRecentlySentRequests(t *testing.T) {
	r := filled(1, 1)
	r.Sent(1000, "engine-000", false)
	r.Sent(1990, "engine-000", false)
	r.ApplySummary(2000, peer.ServerSummary{Server: "engine-000", Fence: 1, Usable: true})
	must.Eq(t, 1, r.Server("engine-000").SentSince)
	r.Ended("engine-000", 0)
	must.Eq(t, 0, r.Server("engine-000").SentSince)
}

// TestEngineDoesNotAllocate checks that a choice among 357 engines allocates no memory: it
// is made for every request.
func TestEngineDoesNotAllocate(t *testing.T) {
	r := filled(357, 40)
	names := make([]units.AdapterVersion, 26000)
	for i := range names {
		names[i] = adapter(i)
	}
	n := 0
	allocated := testing.AllocsPerRun(200, func() {
		r.Engine(2, "base", names[n*97%len(names)], nil)
		n++
	})
	must.Eq(t, 0, allocated)
}

// BenchmarkEngine measures one routing decision with up to 26,000 adapters, of which as
// many as fit are resident.
func BenchmarkEngine(b *testing.B) {
	for _, engines := range []int{23, 90, 357} {
		for _, adapters := range []int{3000, 26000} {
			b.Run(fmt.Sprintf("replicas=%d/adapters=%d", engines, adapters), func(b *testing.B) {
				r := filled(engines, 40)
				names := make([]units.AdapterVersion, adapters)
				for i := range names {
					names[i] = adapter(i)
				}
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					r.Engine(2, "base", names[n*97%adapters], nil)
					n++
				}
			})
		}
	}
}
