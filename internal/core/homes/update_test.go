package homes

import (
	"fmt"
	"math"
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestUpdateHasOnlyChanges guards against updates with unchanged loads and copies. In
// a deployment of 3,000 backend servers with little traffic, the placers sent all of them
// to 300 entry VMs four times a second, 16 MB/s each.
func TestUpdateHasOnlyChanges(t *testing.T) {
	var ids []string
	for i := range 200 {
		ids = append(ids, fmt.Sprint("s", i))
	}
	f := newTestPlacer(8, ids...)
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1600)
	update := func() []peer.ServerPlacement {
		f.IncludeLoads(SameRegion)
		return f.Update(f.now, SameRegion, "r", 1, math.MaxInt).Servers
	}
	must.Eq(t, len(ids), len(update()))
	must.SliceEmpty(t, update())
	holder := f.orders[0].Server
	reportActive := func(active int32) {
		f.HandleUsage(f.now+10, "vm", &peer.UsageReport{Shard: "r", Address: "a", Servers: []peer.ServerUsage{{Server: holder, Active: active, Prefill: 700}}})
		f.Step(f.now, true)
	}
	reportActive(1)
	must.Eq(t, []peer.ServerPlacement{{Server: holder, LoadOnly: true, Active: 1, Prefill: 700}}, update())
	must.SliceEmpty(t, update())
	f.HandleUsage(f.now+10, "vm", &peer.UsageReport{Shard: "r", Address: "a", Missing: []peer.Missing{{Server: holder, Adapter: "m/a1"}}})
	f.Step(f.now, true)
	changed := update()
	must.SliceLen(t, 1, changed)
	must.False(t, changed[0].LoadOnly)
	must.Eq(t, holder, changed[0].Server)
}

// TestConfirmingReportsAreNotPublished guards against updates for reports that change nothing.
// With 1,500 backend servers, each reporting every 2 s, the placer sent the full state of all
// of them to 150 entry VMs every 2 s.
func TestConfirmingReportsAreNotPublished(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1600)
	f.Update(f.now, SameRegion, "r", 1, math.MaxInt)
	must.False(t, f.Changed(SameRegion))
	now := f.now
	for range 10 {
		now += reportPeriod
		for _, id := range []units.BackendServerID{"s1", "s2"} {
			f.HandleReport(now, id, f.backends.report(id))
		}
		f.Step(now, true)
		must.False(t, f.Changed(SameRegion))
	}
	lost := f.backends.report(f.orders[0].Server)
	lost.Copies = nil
	f.HandleReport(now+reportPeriod, f.orders[0].Server, lost)
	must.True(t, f.Changed(SameRegion))
	must.SliceLen(t, 1, f.Update(f.now, SameRegion, "r", 1, math.MaxInt).Servers)
}

// TestPlacementsWaitForReports guards against a new placer that publishes backend servers whose reports
// have not arrived as if they held nothing: requests were refused with "no backend server holds the model".
func TestPlacementsWaitForReports(t *testing.T) {
	for _, tc := range []struct {
		name string
		// begin makes f the placer of the two listed backend servers.
		begin func(f *testPlacer)
	}{
		{"the first placer", func(*testPlacer) {}},
		{"a later placer", func(f *testPlacer) { f.Resync(1000) }},
		{"a placer for the second time", func(f *testPlacer) {
			f.run(1000, 1100)
			f.Update(1100, SameRegion, "r", 1, math.MaxInt)
			f.Resync(9000)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := &testPlacer{Placer: New(Policy{}), backends: newFakeBackends(8, "s1", "s2")}
			f.SetServers(1000, []*topo.Server{testServer("s1"), testServer("s2")}, testServices(8))
			tc.begin(f)
			f.HandleUsage(f.now, "vm", &peer.UsageReport{Shard: "r", Address: "a", Servers: []peer.ServerUsage{{Server: "s1", Active: 1}}})
			f.Step(f.now, true)
			f.IncludeLoads(SameRegion)
			must.False(t, f.Changed(SameRegion))
			for _, list := range [][]peer.ServerPlacement{f.Update(f.now, SameRegion, "r", 1, math.MaxInt).Servers, f.FullUpdate(f.now, SameRegion, "r", 1).Servers} {
				for _, placed := range list {
					must.True(t, placed.LoadOnly, must.Sprint(placed))
				}
			}
			f.HandleReport(f.now+5, "s1", f.backends.report("s1"))
			f.ReportFailed(f.now, "s2")
			must.True(t, f.Changed(SameRegion))
			placed := f.Update(f.now, SameRegion, "r", 1, math.MaxInt).Servers
			must.SliceLen(t, 2, placed)
			must.SliceNotEmpty(t, placed[0].Models)
			must.SliceEmpty(t, placed[1].Models)
			must.False(t, f.Changed(SameRegion))
		})
	}
}

// TestExpiredUsageIsIgnored lets the usage report of an entry VM expire.
func TestExpiredUsageIsIgnored(t *testing.T) {
	f := newTestPlacer(8, "s1")
	f.HandleUsage(1200, "vm", &peer.UsageReport{Shard: "r", Address: "a", Servers: []peer.ServerUsage{{Server: "s1", Active: 3}}})
	f.Step(1210, true)
	must.Eq(t, 3, f.servers["s1"].active)
	f.Step(1200+2*usageTTL, true)
	must.Zero(t, f.servers["s1"].active)
}

// TestLoadedModelIsPublished guards against a backend server that loaded its model again after a restart and
// got no request for it: it was published without the model while that was loading, and not again after.
func TestLoadedModelIsPublished(t *testing.T) {
	for _, tc := range []struct {
		name string
		// publish returns the models that are published for s1, nil if it is not listed.
		publish func(f *testPlacer) *peer.PlacementUpdate
	}{
		{"to subscribers", func(f *testPlacer) *peer.PlacementUpdate { return f.Update(f.now, OtherRegions, "r", 1, math.MaxInt) }},
		{"to a new subscriber", func(f *testPlacer) *peer.PlacementUpdate { return f.FullUpdate(f.now, OtherRegions, "r", 1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestPlacer(8, "s1")
			restarted := testServer("s1")
			restarted.StartedAt, restarted.Models = 99, nil
			f.SetServers(1200, []*topo.Server{restarted}, testServices(8))
			f.HandleReport(1200, "s1", &topo.Report{StartedAt: 99})
			orders := f.Step(1210, true).Orders
			must.SliceLen(t, 1, orders)
			f.HandleOrderResult(1220, orders[0], Taken)
			f.Update(f.now, OtherRegions, "r", 1, math.MaxInt)
			m := tc.publish(f)
			for _, s := range m.Servers {
				must.SliceEmpty(t, s.Models)
			}
			// The report confirms what the placer expects, so that nothing else changes.
			f.Step(1820, true)
			f.HandleReport(2600, "s1", &topo.Report{StartedAt: 99, Orders: 1, Models: []units.ModelName{testModel}})
			f.Step(2610, true)
			must.True(t, f.Changed(OtherRegions))
			servers := f.Update(f.now, OtherRegions, "r", 1, math.MaxInt).Servers
			must.SliceLen(t, 1, servers)
			must.Eq(t, []units.ModelName{testModel}, servers[0].Models)
			f.Step(2700, true)
			must.False(t, f.Changed(OtherRegions))
		})
	}
}
