package choose

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestBrokenStreamAsksForALoadAtItsVersion guards against streams that can't go on because their
// adapter is loaded at another version, or because the time to wait for a load counts from their
// arrival: the one copy at their version is lost long after they began.
func TestBrokenStreamAsksForALoadAtItsVersion(t *testing.T) {
	c := New(Config{Self: "vm", Region: "near", Domain: "d1"})
	c.SetConfig(testConfig())
	var list []*topo.Server
	for i, version := range []topo.Software{"v1", "v1", "v2"} {
		s := testServer(fmt.Sprint("n", i), "llm", "near", "d1")
		s.Software = version
		list = append(list, s)
	}
	c.SetServers(0, list)
	applyPlacement(c, 4900, "near", 1, peer.ServerPlacement{Server: "n2", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	r := testRequest("r", "m/a", 1000)
	r.Started, r.Software, r.BrokeAt = true, "v1", 4900
	wait, ok := c.Choose(5000, r).(Wait)
	must.True(t, ok)
	must.Greater(t, 5000+300, wait.Until)
	other := testRequest("s", "m/b", 5000)
	_, ok = c.Choose(5000, other).(Wait)
	must.True(t, ok)
	u := c.UsageReport(5000, "near", "address")
	must.SliceLen(t, 2, u.LoadRequests)
	must.Eq(t, "v1", u.LoadRequests[0].Software)
	must.Eq(t, "", u.LoadRequests[1].Software)
	must.Positive(t, u.LoadRequests[0].LoadDeadline)

	applyPlacement(c, 5200, "near", 2, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	select {
	case <-wait.Changed:
	default:
		t.Fatal("the wait goes on")
	}
	must.Eq(t, "n1", sendTo(t, c.Choose(5200, r)))
	must.MapLen(t, 1, c.loadRequests)
}

// TestStreamsStayAtTheirVersion draws lists of backend servers with versions, in any order with
// sends of a stream that has begun and of new ones. The stream may only go on at its version, and
// must not be refused for good while a backend server has it.
func TestStreamsStayAtTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := plainCore()
		now := clock.Hour
		versions := []topo.Software{"", "v1", "v2"}
		var listed []topo.Software
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 200).Draw(t, "pause"))
			if i == 0 || rapid.Bool().Draw(t, "release") {
				var list []*topo.Server
				listed = rapid.SliceOfN(rapid.SampledFrom(versions), 1, 4).Draw(t, "listed")
				for n, version := range listed {
					list = append(list, &topo.Server{ID: units.BackendServerID(fmt.Sprint("s", n)), Service: "plain", Domain: "z", Region: "r", Slots: 4, StartedAt: int64(i), Software: version})
				}
				c.SetServers(now, list)
				continue
			}
			r := plainRequest(i, now, clock.Second)
			r.Started = rapid.Bool().Draw(t, "started")
			r.Software = rapid.SampledFrom(versions).Draw(t, "software")
			has := !r.Started
			for _, version := range listed {
				has = has || version == r.Software
			}
			sent, ok := c.Choose(now, r).(Send)
			must.Eq(t, has, ok)
			if ok && r.Started {
				must.Eq(t, r.Software, sent.Software)
			}
			if ok {
				c.Ended(now, r, sent.Server, true, EndServed)
			}
		}
	})
}

// TestStreamsStayOutOfUnlistedProcesses guards against a stream with events of two software versions: a
// backend server was started again in place with other software while the store was away, so that the
// list still showed the version before.
func TestStreamsStayOutOfUnlistedProcesses(t *testing.T) {
	c := New(Config{Self: "vm", Region: "near", Domain: "d1"})
	c.SetConfig(testConfig())
	s := testServer("n1", "llm", "near", "d1")
	s.Software, s.StartedAt = "v1", 10
	c.SetServers(0, []*topo.Server{s})
	placed := peer.ServerPlacement{Server: "n1", StartedAt: 20, Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}}
	applyPlacement(c, 900, "near", 1, placed)
	begun := testRequest("r", "m/a", 1000)
	begun.Started, begun.Software = true, "v1"
	_, sent := c.Choose(1000, begun).(Send)
	must.False(t, sent)
	_, only, _ := onlySoftware(c, 1000, "llm", 900)
	must.False(t, only)
	fresh, sent := c.Choose(1000, testRequest("s", "m/a", 1000)).(Send)
	must.True(t, sent)
	must.NotEq(t, "v1", fresh.Software)

	next := *s
	next.Software, next.StartedAt = "v2", 20
	c.SetServers(1100, []*topo.Server{&next})
	listed, sent := c.Choose(1100, testRequest("t", "m/a", 1100)).(Send)
	must.True(t, sent)
	must.Eq(t, "v2", listed.Software)
	// What began there before it was listed goes on at its version, whose name is known now.
	early := testRequest("u", "m/a", 1100)
	early.Started, early.Software = true, fresh.Software
	_, sent = c.Choose(1100, early).(Send)
	must.True(t, sent)
	must.Eq(t, "v2", early.Software)
	software, only, _ := onlySoftware(c, 60000, "llm", 30000)
	must.True(t, only)
	must.Eq(t, "v2", software)
	_, only, _ = onlySoftware(c, 1200, "llm", 850)
	must.False(t, only, must.Sprint("v1 was there until the report"))
}

// TestOnlySoftware checks when a version counts as the only one that may have begun a stream.
func TestOnlySoftware(t *testing.T) {
	const start = clock.Hour
	server := func(id string, version topo.Software) *topo.Server {
		return &topo.Server{ID: units.BackendServerID(id), Service: "plain", Software: version, StartedAt: 1}
	}
	for _, tc := range []struct {
		name string
		// lists are applied one second after the other from start on.
		lists          [][]*topo.Server
		now, since     clock.Millis
		only, observed bool
	}{
		{"one version all the time", [][]*topo.Server{{server("a", "v1")}}, start + 20000, start + 10000, true, true},
		{"started only then", [][]*topo.Server{{server("a", "v1")}}, start + 5000, start - 5000, true, false},
		{"two versions", [][]*topo.Server{{server("a", "v1"), server("b", "v2")}}, start + 20000, start + 10000, false, true},
		{"the other one is gone for long", [][]*topo.Server{{server("a", "v1"), server("b", "v2")}, {server("a", "v1")}}, start + 20000, start + 10000, true, true},
		{"the other one has just gone", [][]*topo.Server{{server("a", "v1"), server("b", "v2")}, {server("a", "v1")}}, start + 5000, start + 500, false, true},
		{"all replaced, gone for long", [][]*topo.Server{{server("a", "v1")}, {server("b", "v2")}}, start + 20000, start + 10000, true, true},
		{"no version known", [][]*topo.Server{{server("a", "")}}, start + 20000, start + 10000, true, true},
		{"nothing known", nil, start + 20000, start + 10000, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := plainCore()
			for i, list := range tc.lists {
				c.SetServers(start+clock.Millis(i)*clock.Second, list)
			}
			_, only, observed := onlySoftware(c, tc.now, "plain", tc.since)
			must.Eq(t, tc.only, only)
			must.Eq(t, tc.observed, observed)
		})
	}
}

// onlySoftware returns a version of a service's backend servers, and reports whether no other one was
// seen since a time, and whether none was listed unseen in all that time.
func onlySoftware(c *Core, now clock.Millis, service units.ServiceName, since clock.Millis) (software topo.Software, only, observed bool) {
	seenAt, observedSince := c.SoftwareSeen(now)
	count := 0
	for key, at := range seenAt {
		if key.Service == service && at >= since {
			software = key.Software
			count++
		}
	}
	return software, count == 1, observedSince > 0 && observedSince <= since
}

// TestLoadRequestsNameTheService guards against requests of a split route that wait for an adapter at one of its
// services while the placer counts the copy at the other.
func TestLoadRequestsNameTheService(t *testing.T) {
	for _, tc := range []struct {
		name string
		// shared reports that two services hold the model.
		shared bool
		want   []peer.LoadRequest
	}{
		{"the model of one service", false, []peer.LoadRequest{{Adapter: "m/a", Count: 2, Arrived: 2}}},
		{"a model of two services", true, []peer.LoadRequest{{Adapter: "m/a", Service: "llm", Count: 1, Arrived: 1}, {Adapter: "m/a", Service: "next", Count: 1, Arrived: 1}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestCore()
			cfg := testConfig()
			cfg.Version = 2
			services := []units.ServiceName{"llm", "llm"}
			if tc.shared {
				cfg.Services["next"] = &topo.Service{Name: "next", Engine: cfg.Services["llm"].Engine}
				services[1] = "next"
			}
			c.SetConfig(cfg)
			c.SetServers(0, []*topo.Server{testServer("n1", "llm", "near", "d1"), testServer("n2", "next", "near", "d1")})
			applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1"})
			var waits []Wait
			var requests []*Request
			for i, service := range services {
				r := testRequest(fmt.Sprint("r", i), "m/a", 1000)
				r.Service = service
				wait, ok := c.Choose(1000, r).(Wait)
				must.True(t, ok)
				waits, requests = append(waits, wait), append(requests, r)
			}
			got := c.UsageReport(1000, "near", "a").LoadRequests
			for i := range got {
				got[i].Waited, got[i].LoadDeadline = 0, 0
			}
			must.Eq(t, tc.want, got)
			// A copy at the first service wakes only those that it serves.
			applyPlacement(c, 1010, "near", 2, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
			for i, wait := range waits {
				select {
				case <-wait.Changed:
					must.Eq(t, "llm", services[i])
				default:
					must.Eq(t, "next", services[i])
				}
			}
			for _, r := range requests {
				c.Abandoned(r)
			}
			must.MapEmpty(t, c.loadRequests)
		})
	}
}
