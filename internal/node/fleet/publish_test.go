package fleet

import (
	"math"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/homes"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestLoadsArePublishedBesideChanges has the copies of one server change all the time while the
// load of another one changes. The load must be published all the same: without it entry VMs
// send all their requests to the servers that they believe to be idle. In a region of 78
// engines, with loads and evictions all the time, one engine got ten times its share.
func TestLoadsArePublishedBesideChanges(t *testing.T) {
	n := New(Options{Settings: Settings{ID: "vm0", Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}}})
	p := n.ownPlacer()
	services := map[units.ServiceName]*topo.Service{"llm": {Name: "llm", Engine: &topo.Engine{Slots: 8, AdapterSlots: 2}}}
	p.placer.SetServers(1000, []*topo.Server{{ID: "s1", Service: "llm", Region: "r"}, {ID: "s2", Service: "llm", Region: "r"}}, services)
	for now := clock.Millis(1000); now < 3000; now += 30 {
		p.placer.HandleUsage(now, "vm1", &peer.UsageReport{
			Shard: "r", Address: "a", Missing: []peer.Missing{{Server: "s1", Adapter: "m/a"}},
			Servers: []peer.ServerUsage{{Server: "s2", Active: int32(now / 500)}},
		})
		p.placer.Step(now, false)
		p.publish(now)
	}
	p.placer.IncludeLoads(homes.SameRegion)
	for _, s := range p.placer.Update(3000, homes.SameRegion, "r", 1, math.MaxInt).Servers {
		must.NotEq(t, "s2", s.Server, must.Sprint("the load of s2 was not published yet"))
	}
}
