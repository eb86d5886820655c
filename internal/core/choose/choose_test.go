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

func testConfig() *topo.Config {
	return &topo.Config{Version: 1, Services: map[units.ServiceName]*topo.Service{
		"llm":   {Name: "llm", Engine: &topo.Engine{Slots: 64, KVTokens: 200000, AdapterSlots: 8, Models: []topo.Model{{Name: "m"}}}},
		"plain": {Name: "plain"},
	}}
}

func testServer(id string, service units.ServiceName, region units.Region, domain units.FailureDomain) *topo.Server {
	return &topo.Server{ID: units.BackendServerID(id), Service: service, Address: id, Region: region, Domain: domain, Slots: 6, Models: []units.ModelName{"m"}}
}

func newTestCore() *Core {
	c := New(Config{Self: "vm", Region: "near", Domain: "d1"})
	c.SetConfig(testConfig())
	c.SetServers(0, []*topo.Server{
		testServer("n1", "llm", "near", "d1"), testServer("n2", "llm", "near", "d2"), testServer("f1", "llm", "far", "d3"),
		testServer("p1", "plain", "near", "d1"), testServer("p2", "plain", "near", "d2"), testServer("p3", "plain", "far", "d3"),
	})
	return c
}

var streamRoute = &topo.Route{Kind: topo.KindStream, Target: 800, MaxAttempts: 2, Resumable: true}

func testRequest(id, adapter string, now clock.Millis) *Request {
	service := units.ServiceName("llm")
	if adapter == "" {
		service = "plain"
	}
	return &Request{
		ID: units.RequestID(id), Route: streamRoute, Service: service, Adapter: units.AdapterName(adapter),
		PromptTokens: 1000, MaxTokens: 100, Arrived: now, Deadline: now + 6000,
	}
}

// applyPlacement applies a placement update with one server.
func applyPlacement(c *Core, now clock.Millis, shard string, sequence uint64, h peer.ServerPlacement) {
	if h.Models == nil {
		h.Models = []units.ModelName{"m"}
	}
	c.ApplyUpdate(now, &peer.PlacementUpdate{Shard: shard, Fence: 1, Sequence: sequence, Servers: []peer.ServerPlacement{h}})
}

func placedCopy(adapter string, ready clock.Millis) peer.PlacedCopy {
	return peer.PlacedCopy{Adapter: units.AdapterName(adapter), Ready: ready}
}

func sendTo(t *testing.T, choice Choice) units.BackendServerID {
	t.Helper()
	send, ok := choice.(Send)
	must.True(t, ok, must.Sprintf("%#v", choice))
	return send.Server
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name  string
		setup func(c *Core)
		check func(t *testing.T, c *Core, choice Choice)
	}{
		{
			name: "a copy of the own region is used",
			setup: func(c *Core) {
				applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n2", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
			},
			check: func(t *testing.T, _ *Core, choice Choice) { must.Eq(t, "n2", sendTo(t, choice)) },
		},
		{
			name: "a copy of another region is used where the own has none",
			setup: func(c *Core) {
				applyPlacement(c, 1000, "far", 1, peer.ServerPlacement{Server: "f1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
			},
			check: func(t *testing.T, c *Core, choice Choice) {
				must.Eq(t, "f1", sendTo(t, choice))
				must.SliceLen(t, 1, c.UsageReport(1000, "near", "a").LoadRequests)
			},
		},
		{
			name: "a request waits for a copy that is loading",
			setup: func(c *Core) {
				applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 200)}})
			},
			check: func(t *testing.T, _ *Core, choice Choice) { must.Eq(t, 1200, choice.(Wait).Until) },
		},
		{
			name:  "a load is requested for an adapter without copies",
			setup: func(c *Core) { applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1"}) },
			check: func(t *testing.T, c *Core, choice Choice) {
				must.NotNil(t, choice.(Wait).Changed)
				must.True(t, c.HasNewLoadRequests("near"))
			},
		},
		{
			name:  "while the own placer is down another region's gets the load request",
			setup: func(c *Core) { applyPlacement(c, 1000, "far", 1, peer.ServerPlacement{Server: "f1"}) },
			check: func(t *testing.T, c *Core, choice Choice) {
				must.NotNil(t, choice.(Wait).Changed)
				must.True(t, c.HasNewLoadRequests("far"))
				must.SliceLen(t, 1, c.UsageReport(1000, "far", "a").LoadRequests)
				must.SliceEmpty(t, c.UsageReport(1000, "near", "a").LoadRequests)
			},
		},
		{
			name:  "without a placer a request for an adapter without copies is refused",
			setup: func(*Core) {},
			check: func(t *testing.T, _ *Core, choice Choice) { must.Positive(t, choice.(Refuse).RetryAfter) },
		},
		{
			name: "an old version is not used after the grace period",
			setup: func(c *Core) {
				c.Announce(1000-defaultVersionGrace, "m/a", 2)
				applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
			},
			check: func(t *testing.T, _ *Core, choice Choice) { _, waits := choice.(Wait); must.True(t, waits) },
		},
		{
			name: "a request on an old version must begin before its bound",
			setup: func(c *Core) {
				c.SetPolicy(Policy{VersionLimit: 5000})
				c.Announce(700, "m/a", 2)
				applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
			},
			check: func(t *testing.T, _ *Core, choice Choice) { must.Eq(t, 700+5000-cancelTime, choice.(Send).BeginBy) },
		},
		{
			name: "a further version does not bring an old one back into use",
			setup: func(c *Core) {
				c.Announce(1000-defaultVersionGrace, "m/a", 2)
				c.Announce(1000, "m/a", 3)
				applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
			},
			check: func(t *testing.T, _ *Core, choice Choice) { _, waits := choice.(Wait); must.True(t, waits) },
		},
		{
			name: "an earlier version that becomes known late counts from its own announcement",
			setup: func(c *Core) {
				c.Announce(1000, "m/a", 3)
				c.Announce(1000-defaultVersionGrace, "m/a", 2)
				applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
			},
			check: func(t *testing.T, _ *Core, choice Choice) { _, waits := choice.(Wait); must.True(t, waits) },
		},
		{
			name: "a request on an old version must begin before the bound of the first version after it",
			setup: func(c *Core) {
				c.SetPolicy(Policy{VersionLimit: 5000})
				c.Announce(700, "m/a", 2)
				c.Announce(900, "m/a", 3)
				applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
			},
			check: func(t *testing.T, _ *Core, choice Choice) { must.Eq(t, 700+5000-cancelTime, choice.(Send).BeginBy) },
		},
		{
			name: "a draining server receives no requests",
			setup: func(c *Core) {
				applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
				leaving := testServer("n1", "llm", "near", "d1")
				leaving.Draining = true
				c.SetServers(0, []*topo.Server{leaving})
			},
			check: func(t *testing.T, _ *Core, choice Choice) { _, sent := choice.(Send); must.False(t, sent) },
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestCore()
			tc.setup(c)
			tc.check(t, c, c.Choose(1000, testRequest("r", "m/a", 1000)))
		})
	}
}

// TestPromptsSpreadOverCopies sends many large prompts at once to an adapter with two
// copies: each server gets half of them, give or take one.
func TestPromptsSpreadOverCopies(t *testing.T) {
	c := newTestCore()
	for i, id := range []units.BackendServerID{"n1", "n2"} {
		applyPlacement(c, 1000, "near", uint64(i+1), peer.ServerPlacement{Server: id, Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	}
	got := map[units.BackendServerID]int{}
	for i := range 20 {
		got[sendTo(t, c.Choose(1000, testRequest(fmt.Sprint(i), "m/a", 1000)))]++
	}
	must.Between(t, 9, got["n1"], 11)
}

// TestCachedPromptTokensDoNotCountAsLoad guards against overestimating a server's load with one
// large shared prompt. A server that has it cached reads little for each further request
// and must not be avoided as if it read the whole prompt each time.
func TestCachedPromptTokensDoNotCountAsLoad(t *testing.T) {
	c := newTestCore()
	applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	send := func(id string, shared uint64) Send {
		r := testRequest(id, "m/a", 1000)
		r.PromptTokens = 9000
		r.Parts = []Part{{ID: shared, Tokens: 8000}}
		choice := c.Choose(1000, r)
		sendTo(t, choice)
		return choice.(Send)
	}
	must.Eq(t, 0, send("1", 7).Prefill)
	must.Eq(t, 9000, send("2", 7).Prefill)
	must.Eq(t, 10000, send("3", 7).Prefill)
	must.Eq(t, 11000, send("4", 8).Prefill)
	must.Eq(t, 20000, send("5", 8).Prefill)
}

func TestBrokenServerIsAvoidedForATime(t *testing.T) {
	c := newTestCore()
	r := testRequest("r", "", 1000)
	r.Route = &topo.Route{Kind: topo.KindIdempotent, MaxAttempts: 2, Target: 300}
	first := sendTo(t, c.Choose(1000, r))
	c.Ended(1010, r, first, false, EndBroken)
	for i := range 10 {
		must.NotEq(t, first, sendTo(t, c.Choose(1020, testRequest(fmt.Sprint(i), "", 1020))))
	}
}

// TestCrashedServersAdapterIsWanted guards against sending to a crashed engine, the only
// one that holds an adapter, in place of a wait for a load and a report to the placer.
func TestCrashedServersAdapterIsWanted(t *testing.T) {
	c := newTestCore()
	applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	r := testRequest("r", "m/a", 1000)
	c.Ended(1000, r, sendTo(t, c.Choose(1000, r)), false, EndUnsent)
	_, waits := c.Choose(1001, r).(Wait)
	must.True(t, waits)
	must.Eq(t, []units.BackendServerID{"n1"}, c.UsageReport(1001, "near", "a").Unreachable)
}

func TestUnsentRequestUsesNoRetry(t *testing.T) {
	c := newTestCore()
	r := testRequest("r", "", 1000)
	for range 3 {
		server := sendTo(t, c.Choose(1000, r))
		c.Ended(1000, r, server, false, EndUnsent)
	}
	must.Zero(t, r.Sends)
}

// TestRetriesStayWithinTheSharedBudget guards against retries beyond the budget that eight
// entry VMs share. Every send of one of them fails; its retries must stay within the ratio
// of its own requests plus an eighth of the reserve.
func TestRetriesStayWithinTheSharedBudget(t *testing.T) {
	const requests, ratio, reserve, vms = 300, 0.2, 54, 8
	c := New(Config{Self: "vm", Region: "near", Domain: "d1", Policy: Policy{RetryRatio: ratio, RetryReserve: reserve}})
	c.SetConfig(testConfig())
	c.SetServers(0, []*topo.Server{testServer("p1", "plain", "near", "d1"), testServer("p2", "plain", "near", "d2")})
	retries := 0
	for i := range requests {
		now := clock.Millis(10000 + 30*i)
		r := testRequest(fmt.Sprint(i), "", now)
		c.Arrived(now, "plain")
		c.Ended(now, r, sendTo(t, c.Choose(now, r)), false, EndFailed)
		if second, ok := c.Choose(now, r).(Send); ok {
			retries++
			c.Ended(now, r, second.Server, false, EndFailed)
		}
	}
	must.LessEq(t, int(ratio*requests+reserve/vms), retries)
	must.Positive(t, retries)
}

// TestReserveIsLeftForBrokenStreams guards against broken-off streams for lack of a
// retry: when all connections were reset at once, other requests had used up the retries.
func TestReserveIsLeftForBrokenStreams(t *testing.T) {
	c := New(Config{Self: "vm", Region: "near", Domain: "d1", Policy: Policy{RetryRatio: 0.2, RetryReserve: 54}})
	c.SetConfig(testConfig())
	c.SetServers(0, []*topo.Server{testServer("p1", "plain", "near", "d1")})
	for range 100 {
		c.Arrived(10000, "plain")
	}
	plain, started := testRequest("r", "", 10000), testRequest("s", "", 10000)
	started.Started = true
	for c.takeRetry(plain) {
	}
	must.True(t, c.takeRetry(started))
}

func TestRequestIsRefusedIfServersAreTooBusy(t *testing.T) {
	c := newTestCore()
	applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}, Prefill: 400000, Active: 50})
	refuse, ok := c.Choose(1000, testRequest("r", "m/a", 1000)).(Refuse)
	must.True(t, ok)
	must.Positive(t, refuse.RetryAfter)
}

func TestCountsReturnToZero(t *testing.T) {
	c := newTestCore()
	applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	r := testRequest("r", "m/a", 1000)
	server := sendTo(t, c.Choose(1000, r))
	must.Eq(t, load{active: 1, prefill: 1000, tokens: 1100}, c.servers[server].own)
	c.Started(r, server)
	c.Ended(1100, r, server, true, EndServed)
	must.Eq(t, load{}, c.servers[server].own)
}

// TestPlacementBeforeListing guards against the loss of a placement that is received before
// the list entry of its backend server, and of its copies by a later update of only the load.
func TestPlacementBeforeListing(t *testing.T) {
	c := New(Config{Self: "vm", Region: "near", Domain: "d1"})
	c.SetConfig(testConfig())
	applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	c.SetServers(0, []*topo.Server{testServer("n1", "llm", "near", "d1")})
	c.ApplyUpdate(1010, &peer.PlacementUpdate{Shard: "near", Fence: 1, Sequence: 2, Servers: []peer.ServerPlacement{{Server: "n1", LoadOnly: true, Active: 4, Prefill: 900}}})
	choice := c.Choose(1020, testRequest("r", "m/a", 1020))
	must.Eq(t, "n1", sendTo(t, choice))
	must.Eq(t, 4, choice.(Send).Active)
	must.Eq(t, 900, choice.(Send).Prefill)
}

// TestRestartDropsPlacement guards against sending to a copy that a backend server
// lost when it restarted under the same ID.
func TestRestartDropsPlacement(t *testing.T) {
	c := newTestCore()
	applyPlacement(c, 1000, "near", 1, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	restarted := testServer("n1", "llm", "near", "d1")
	restarted.StartedAt = 7
	c.SetServers(0, []*topo.Server{restarted})
	_, sent := c.Choose(1010, testRequest("r", "m/a", 1010)).(Send)
	must.False(t, sent)
}

func TestMissedUpdateRequestsFullState(t *testing.T) {
	c := newTestCore()
	applyPlacement(c, 1000, "near", 5, peer.ServerPlacement{Server: "n1"})
	must.True(t, c.UsageReport(1000, "near", "a").NeedsFull)
	must.False(t, c.UsageReport(1000, "near", "a").NeedsFull)
	applyPlacement(c, 1000, "near", 7, peer.ServerPlacement{Server: "n1"})
	must.True(t, c.UsageReport(1000, "near", "a").NeedsFull)
}

func TestEarlierPlacersUpdateIsIgnored(t *testing.T) {
	c := newTestCore()
	c.ApplyUpdate(1000, &peer.PlacementUpdate{Shard: "near", Fence: 9, Sequence: 1})
	applyPlacement(c, 1000, "near", 2, peer.ServerPlacement{Server: "n1", Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	must.MapEmpty(t, c.servers["n1"].copies)
}

func TestConfigurationThatIsNotNewerIsIgnored(t *testing.T) {
	c := newTestCore()
	must.False(t, c.SetConfig(testConfig()))
	newer := testConfig()
	newer.Version = 7
	must.True(t, c.SetConfig(newer))
}

// BenchmarkChoose measures a choice among 60 engines with 8 copies each.
func BenchmarkChoose(b *testing.B) {
	c := New(Config{Self: "vm", Region: "near", Domain: "d1"})
	c.SetConfig(testConfig())
	var list []*topo.Server
	for i := range 60 {
		list = append(list, testServer(fmt.Sprint("s", i), "llm", "near", "d1"))
	}
	c.SetServers(0, list)
	for i := range 60 {
		h := peer.ServerPlacement{Server: units.BackendServerID(fmt.Sprint("s", i))}
		for j := range 8 {
			h.Copies = append(h.Copies, placedCopy(fmt.Sprint("m/a", i*8+j), 0))
		}
		applyPlacement(c, 1000, "near", uint64(i+1), h)
	}
	r := testRequest("r", "m/a77", 1000)
	b.ReportAllocs()
	for b.Loop() {
		r.Tried, r.Sends = r.Tried[:0], 0
		send := c.Choose(1000, r).(Send)
		c.Ended(1000, r, send.Server, false, EndServed)
	}
}
