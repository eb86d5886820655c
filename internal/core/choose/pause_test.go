package choose

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// pauseRoute has streams with an objective of 300 ms for pauses.
var pauseRoute = &topo.Route{
	Name: "notes", Kind: topo.KindStream, Target: 1000, GapTarget: 300, MaxAttempts: 2, Resumable: true,
	Shares: []topo.Share{{Service: "llm", Weight: 1}},
}

// newPauseCore returns a core with engines n1 to n4 in the same failure domain, which all hold m/a and
// have the loads given, in order. gap is the objective of the only route, 0 for none.
func newPauseCore(gap clock.Millis, loads ...peer.ServerPlacement) *Core {
	c := New(Config{Self: "vm", Region: "near", Domain: "d1"})
	route := *pauseRoute
	route.GapTarget = gap
	config := testConfig()
	config.Routes = []topo.Route{route}
	config.Services["llm"].Engine.EventTokens = 6
	c.SetConfig(config)
	var servers []*topo.Server
	for i := range loads {
		servers = append(servers, testServer(fmt.Sprint("n", i+1), "llm", "near", "d1"))
	}
	c.SetServers(0, servers)
	for i, load := range loads {
		load.Server = servers[i].ID
		load.Copies = []peer.PlacedCopy{placedCopy("m/a", 0)}
		applyPlacement(c, 1000, "near", uint64(i+1), load)
	}
	return c
}

func pauseRequest(id string, gap clock.Millis, prompt, output units.Tokens) *Request {
	r := testRequest(id, "m/a", 1000)
	route := *pauseRoute
	route.GapTarget = gap
	r.Route, r.PromptTokens, r.MaxTokens = &route, prompt, output
	return r
}

// A burst of long prompts arrives at engines some of which run streams with an objective of 300 ms.
func TestLongPromptsAvoidStreams(t *testing.T) {
	streams, prompt := peer.ServerPlacement{Active: 10}, peer.ServerPlacement{Active: 1, Prefill: 6000}
	tests := []struct {
		name string
		gap  clock.Millis
		want units.BackendServerID
	}{
		{name: "no objective: the engine that reads it first", want: "n1"},
		{name: "300 ms: the engine without streams", gap: 300, want: "n2"},
		{name: "10 s, which no prompt of that length can exceed: the engine that reads it first", gap: 10000, want: "n1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newPauseCore(tt.gap, streams, prompt)
			// Streams have paused for 400 ms while engines read prompts.
			c.means["llm"] = &streamMeans{prompt: 3000, event: 60, stall: 400}
			must.Eq(t, tt.want, sendTo(t, c.Choose(1000, pauseRequest("r", tt.gap, 9000, 60))))
		})
	}
}

// Long streams with an objective of 300 ms arrive while long prompts come to one of two engines again
// and again.
func TestStreamsAvoidEnginesThatRead(t *testing.T) {
	c := newPauseCore(300, peer.ServerPlacement{Active: 4}, peer.ServerPlacement{Active: 30})
	c.means["llm"] = &streamMeans{prompt: 9000, event: 60, stall: 400}
	r := pauseRequest("r", 300, 800, 300)
	must.Eq(t, "n1", sendTo(t, c.Choose(1000, r)))
	for now := clock.Millis(1100); now < 5000; now += 100 {
		load := peer.ServerPlacement{Server: "n1", LoadOnly: true, Active: 4, Prefill: units.Tokens(now/100%2) * 18000}
		c.ApplyUpdate(now, &peer.PlacementUpdate{Shard: "near", Fence: 1, Sequence: uint64(now), Servers: []peer.ServerPlacement{load}})
		c.observeLoad(c.servers["n1"])
	}
	// It reads none at the moment, but will before the stream has ended.
	c.ApplyUpdate(5000, &peer.PlacementUpdate{Shard: "near", Fence: 1, Sequence: 5000, Servers: []peer.ServerPlacement{{Server: "n1", LoadOnly: true, Active: 4}}})
	must.Eq(t, "n2", sendTo(t, c.Choose(5000, pauseRequest("s", 300, 800, 300))))
}

// A burst of long prompts arrives at 40 entry VMs at the same time, none of which knows yet what the
// others send. One of four engines, loaded alike in the last seconds, has just become a little less loaded
// than the others; it gets no more than half.
func TestBurstIsSpread(t *testing.T) {
	sent := map[units.BackendServerID]int{}
	for i := range 40 {
		c := newPauseCore(300, peer.ServerPlacement{}, peer.ServerPlacement{Prefill: 600}, peer.ServerPlacement{Prefill: 600}, peer.ServerPlacement{Prefill: 600})
		for _, v := range c.servers {
			v.pauses = pauses{streams: 4, waiting: 0.5, at: 1000}
		}
		sent[sendTo(t, c.Choose(1000, pauseRequest(fmt.Sprint("r", i), 300, 9000, 60)))]++
	}
	must.MapLen(t, 4, sent)
	for id, n := range sent {
		must.LessEq(t, 20, n, must.Sprint(id))
	}
}

// Streams crowd an engine, while the other one fails all requests.
func TestPausesDoNotOutweighFailures(t *testing.T) {
	c := newPauseCore(300, peer.ServerPlacement{Active: 60}, peer.ServerPlacement{})
	c.servers["n2"].health.failures = 1
	c.servers["n2"].health.avoidUntil = 2000
	must.Eq(t, "n1", sendTo(t, c.Choose(1000, pauseRequest("r", 300, 9000, 60))))
}

func TestGapTargets(t *testing.T) {
	stream := func(gap clock.Millis, services ...units.ServiceName) topo.Route {
		route := topo.Route{Kind: topo.KindStream, GapTarget: gap}
		for _, s := range services {
			route.Shares = append(route.Shares, topo.Share{Service: s, Weight: 1})
		}
		return route
	}
	config := &topo.Config{Routes: []topo.Route{
		stream(500, "a", "b"), stream(300, "b"), stream(0, "c"), {Kind: topo.KindOnce, GapTarget: 100, Shares: []topo.Share{{Service: "a"}}},
	}}
	must.Eq(t, map[units.ServiceName]clock.Millis{"a": 500, "b": 300}, gapTargets(config))
}

func TestStallRisk(t *testing.T) {
	tests := []struct {
		name   string
		stalls []clock.Millis
		want   float64
	}{
		{name: "unknown: as long as the objective", want: 0.75},
		{name: "short pauses", stalls: []clock.Millis{60, 60, 60}, want: 0},
		{name: "half of the objective", stalls: []clock.Millis{150, 150}, want: 0.25},
		{name: "long pauses", stalls: []clock.Millis{900, 900}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newPauseCore(300, peer.ServerPlacement{})
			for _, stall := range tt.stalls {
				c.NoteGaps(1000, "n1", SeenGaps{Longest: stall, Events: 40, Took: 3000})
			}
			must.InDelta(t, tt.want, c.stallRisk(c.servers["n1"], 300), 1e-9)
		})
	}
}
