package homes

import (
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestAdapterIsLoadedAtTheVersionOfStreams guards against broken streams that wait in vain: a copy
// at another version of the software counted as theirs. The load is an adapter that new requests
// and broken streams want at the same time, with a release half done.
func TestAdapterIsLoadedAtTheVersionOfStreams(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2", "s3")
	servers := []*topo.Server{testServer("s1"), testServer("s2"), testServer("s3")}
	for i, version := range []topo.Software{"v2", "v2", "v1"} {
		servers[i].Software = version
	}
	f.SetServers(1000, servers, testServices(8))
	request := func(software topo.Software) {
		f.HandleUsage(f.now, "vm0", &peer.UsageReport{Shard: "r", Address: "a", LoadRequests: []peer.LoadRequest{{Adapter: "m/a1", Software: software, Count: 1, Arrived: 1, LoadDeadline: 500}}})
	}
	request("")
	f.run(1200, 1800)
	must.SliceLen(t, 1, f.orders)
	must.Eq(t, "s1", f.orders[0].Server)
	request("v2")
	f.run(1800, 2400)
	must.SliceLen(t, 1, f.orders)
	request("v1")
	f.run(2400, 3000)
	must.SliceLen(t, 2, f.orders)
	must.Eq(t, "s3", f.orders[1].Server)
	request("v3")
	f.run(3000, 3600)
	must.SliceLen(t, 2, f.orders)
}

// TestAdapterIsLoadedAtTheServiceOfRequests guards against requests of a route that is split between two
// services with the same model and wait in vain: a copy at one service counted for the other.
func TestAdapterIsLoadedAtTheServiceOfRequests(t *testing.T) {
	for _, tc := range []struct {
		name     string
		requests []peer.LoadRequest
		want     []units.BackendServerID
	}{
		{"both services", []peer.LoadRequest{{Service: "llm"}, {Service: "next"}}, []units.BackendServerID{"s1", "s3"}},
		{"the second one alone", []peer.LoadRequest{{Service: "next"}}, []units.BackendServerID{"s3"}},
		{"streams of a version in each", []peer.LoadRequest{{Service: "llm", Software: "v1"}, {Service: "next", Software: "v1"}}, []units.BackendServerID{"s1", "s3"}},
		{"a version that the service lacks", []peer.LoadRequest{{Service: "llm", Software: "v1"}, {Service: "next", Software: "v2"}}, []units.BackendServerID{"s1"}},
		{"an entry VM of the release before", []peer.LoadRequest{{Service: "next"}, {}}, []units.BackendServerID{"s3"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestPlacer(8, "s1", "s2", "s3")
			servers := []*topo.Server{testServer("s1"), testServer("s2"), testServer("s3")}
			for _, s := range servers {
				s.Software = "v1"
			}
			servers[2].Service = "next"
			services := testServices(8)
			services["next"] = services["llm"]
			f.SetServers(1000, servers, services)
			for _, r := range tc.requests {
				r.Adapter, r.Count, r.Arrived, r.LoadDeadline = "m/a1", 1, 1, 500
				f.HandleUsage(f.now, "vm0", &peer.UsageReport{Shard: "r", Address: "a", LoadRequests: []peer.LoadRequest{r}})
				f.run(f.now, f.now+500)
			}
			var got []units.BackendServerID
			for _, o := range f.orders {
				got = append(got, o.Server)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestUnlistedProcessIsNamed guards against streams that go on at a backend server which was started again in
// place with other software while the list was not current: its placement must name the process until it is
// listed, loads for its former version must not count there, and an old list entry must not undo that.
func TestUnlistedProcessIsNamed(t *testing.T) {
	f := newTestPlacer(8, "s1")
	listed := testServer("s1")
	listed.StartedAt, listed.Software = 10, "v1"
	placement := func() peer.ServerPlacement {
		return f.FullUpdate(f.now, SameRegion, "r", 1).Servers[0]
	}
	f.SetServers(1200, []*topo.Server{listed}, testServices(8))
	f.HandleReport(1200, "s1", &topo.Report{StartedAt: 10, Models: []units.ModelName{testModel}})
	must.Zero(t, placement().StartedAt)
	f.HandleReport(3000, "s1", &topo.Report{StartedAt: 20, Models: []units.ModelName{testModel}, Copies: []topo.Copy{{Adapter: "m/a"}}})
	must.Eq(t, 20, placement().StartedAt)
	must.False(t, loadKey{adapter: "m/a", software: "v1"}.allows(f.servers["s1"]))
	f.SetServers(3100, []*topo.Server{listed}, testServices(8))
	must.Eq(t, 20, placement().StartedAt)
	must.SliceLen(t, 1, placement().Copies)
	next := *listed
	next.StartedAt, next.Software = 20, "v2"
	f.SetServers(3200, []*topo.Server{&next}, testServices(8))
	must.Zero(t, placement().StartedAt)
	must.SliceLen(t, 1, placement().Copies)
	must.True(t, loadKey{adapter: "m/a", software: "v2"}.allows(f.servers["s1"]))
}
