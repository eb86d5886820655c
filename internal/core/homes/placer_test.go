package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testModel = units.ModelName("m")

func testServices(slots int) map[units.ServiceName]*topo.Service {
	return map[units.ServiceName]*topo.Service{"llm": {Name: "llm", Engine: &topo.Engine{
		Slots: 64, KVTokens: 200000, AdapterSlots: slots, WeightMB: 35000, LoadsPerSecond: 4,
		Models: []topo.Model{{Name: testModel, WeightMB: 34000, AdapterMB: 40, Load: 600}},
	}}}
}

func testServer(id string) *topo.Server {
	return &topo.Server{ID: units.BackendServerID(id), Service: "llm", Address: id, Region: "r", Models: []units.ModelName{testModel}}
}

// fakeBackends are engines that execute orders. crashed counts loads beyond their slots.
type fakeBackends struct {
	slots   int
	engines map[units.BackendServerID]*fakeEngine
	crashed int
}

type fakeEngine struct {
	orders int64
	// start is when its process started.
	start  int64
	copies map[units.AdapterName]topo.AdapterRevision
}

func newFakeBackends(slots int, ids ...string) *fakeBackends {
	b := &fakeBackends{slots: slots, engines: map[units.BackendServerID]*fakeEngine{}}
	for _, id := range ids {
		b.engines[units.BackendServerID(id)] = &fakeEngine{copies: map[units.AdapterName]topo.AdapterRevision{}}
	}
	return b
}

func (b *fakeBackends) execute(o Order) Result {
	e := b.engines[o.Server]
	if e.orders != o.Expected {
		return Conflicts
	}
	if o.Adapter == "" {
		return Done
	}
	e.orders++
	if o.Kind == OrderUnload {
		delete(e.copies, o.Adapter)
		return Done
	}
	e.copies[o.Adapter] = o.Revision
	if len(e.copies) > b.slots {
		b.crashed++
	}
	return Taken
}

func (b *fakeBackends) report(id units.BackendServerID) *topo.Report {
	e := b.engines[id]
	r := &topo.Report{StartedAt: e.start, Orders: e.orders, Models: []units.ModelName{testModel}}
	for name, revision := range e.copies {
		r.Copies = append(r.Copies, topo.Copy{Adapter: name, Revision: revision})
	}
	return r
}

// testPlacer is a placer with fake backend servers.
type testPlacer struct {
	*Placer
	backends *fakeBackends
	orders   []Order
}

func newTestPlacer(slots int, ids ...string) *testPlacer {
	f := &testPlacer{Placer: New(Policy{}), backends: newFakeBackends(slots, ids...)}
	var list []*topo.Server
	for _, id := range ids {
		list = append(list, testServer(id))
	}
	f.SetServers(1000, list, testServices(slots))
	f.run(1000, 1100)
	return f
}

// run steps the placer every 10 ms and passes it all answers at once.
func (f *testPlacer) run(from, to clock.Millis) {
	for now := from; now <= to; now += 10 {
		plan := f.Step(now, true)
		for _, a := range plan.ReportRequests {
			f.HandleReport(now, a.Server, f.backends.report(a.Server))
		}
		for _, o := range plan.Orders {
			f.orders = append(f.orders, o)
			f.HandleOrderResult(now, o, f.backends.execute(o))
		}
	}
}

func (f *testPlacer) requestLoads(now clock.Millis, remaining clock.Millis, names ...string) {
	u := &peer.UsageReport{Shard: "r", Address: "a"}
	for _, name := range names {
		u.LoadRequests = append(u.LoadRequests, peer.LoadRequest{Adapter: adapterName(name), Count: 1, Arrived: 1, LoadDeadline: remaining})
	}
	f.HandleUsage(now, units.EntryVMID("vm-"+fmt.Sprint(remaining)), u)
}

func adapterName(name string) units.AdapterName { return units.AdapterName("m/" + name) }

func (f *testPlacer) loaded() []string {
	var names []string
	for _, o := range f.orders {
		if o.Kind == OrderLoad && o.Adapter != "" {
			names = append(names, string(o.Adapter[2:]))
		}
	}
	return names
}

func TestRequestedAdapterIsLoadedOnce(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1400)
	must.Eq(t, []string{"a1"}, f.loaded())
}

// TestLoadsThatMeetDeadlineGoFirst guards against loads that all end too late: under high load,
// when more adapters are requested than can be loaded at a time, those whose load deadline
// can still be met go before older ones.
func TestLoadsThatMeetDeadlineGoFirst(t *testing.T) {
	f := newTestPlacer(8, "s1")
	f.requestLoads(1200, -100, "late1", "late2", "late3", "late4", "late5")
	f.requestLoads(1250, 600, "fresh1", "fresh2")
	f.run(1250, 1270)
	must.SliceContainsAll(t, f.loaded()[:2], []string{"fresh1", "fresh2"})
}

// TestRareAdaptersDoNotEvictUsedOnes guards against the eviction of adapters in use when many
// more rare adapters are requested than there are adapter slots, and against orders to hold
// more adapters than an engine has slots for.
func TestRareAdaptersDoNotEvictUsedOnes(t *testing.T) {
	f := newTestPlacer(4, "s1", "s2")
	f.requestLoads(1200, 500, "hot1", "hot2")
	f.run(1200, 1600)
	for round := range 40 {
		now := clock.Millis(1600 + 100*round)
		f.reportHotUsage(now)
		f.requestLoads(now, 600, fmt.Sprint("rare", round), fmt.Sprint("rare", round+100))
		f.run(now, now+90)
	}
	must.Zero(t, f.backends.crashed)
	for _, o := range f.orders {
		must.False(t, o.Kind == OrderUnload && (o.Adapter == "m/hot1" || o.Adapter == "m/hot2"))
	}
	must.Greater(t, 20, len(f.loaded()))
}

// reportHotUsage reports requests in flight on the hot adapters.
func (f *testPlacer) reportHotUsage(now clock.Millis) {
	u := &peer.UsageReport{Shard: "r", Address: "a"}
	for id, s := range f.servers {
		usage := peer.ServerUsage{Server: id, Active: 1}
		for name := range s.copies {
			if name == "m/hot1" || name == "m/hot2" {
				usage.Adapters = append(usage.Adapters, peer.AdapterUsage{Adapter: name, Active: 1, Arrived: 1})
			}
		}
		u.Servers = append(u.Servers, usage)
	}
	f.HandleUsage(now, "vm-hot", u)
}

// TestEvictedAdapterIsReloadedOnItsServer loads an evicted adapter again: the engine that has
// its weights cached is preferred, since it loads them faster.
func TestEvictedAdapterIsReloadedOnItsServer(t *testing.T) {
	f := newTestPlacer(2, "s1", "s2", "s3")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1600)
	holder := f.orders[0].Server
	f.servers[holder].copies = map[units.AdapterName]*heldCopy{}
	f.backends.engines[holder].copies = map[units.AdapterName]topo.AdapterRevision{}
	f.servers[holder].addCached(1600, "m/a1")
	f.servers[holder].active = 5
	f.requestLoads(1700, 500, "a1")
	f.run(1700, 1750)
	must.Eq(t, holder, f.orders[len(f.orders)-1].Server)
}

// TestLateLoadIsNotSentTo guards against requests that are sent again and again to a copy
// whose load takes longer than expected, which used up the retry budget.
func TestLateLoadIsNotSentTo(t *testing.T) {
	f := newTestPlacer(8, "s1")
	expected := f.loadTimeNow()
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1200+expected+loadMargin+10)
	c := f.servers["s1"].copies["m/a1"]
	must.Eq(t, copyReady, c.state)
	must.LessEq(t, c.readyAt, 1200+expected+loadMargin)
	before := f.slowness
	f.HandleUsage(1510, "vm", &peer.UsageReport{Shard: "r", Address: "a", Missing: []peer.Missing{{Server: "s1", Adapter: "m/a1"}}})
	must.Eq(t, copyLoading, c.state)
	must.Greater(t, before, f.slowness)
	f.run(1510, 1510+lateLoadDelay+10)
	must.Eq(t, copyReady, c.state)
}

// TestLostCopiesDoNotSlowLoads guards against lost copies that count as slow loads. After
// crashes of servers in the first seconds, requests missed the copies lost with them, and
// each new copy was then held back for up to a second after it was ready.
func TestLostCopiesDoNotSlowLoads(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2")
	names := []string{"a1", "a2", "a3", "a4", "a5", "a6"}
	f.requestLoads(1200, 500, names...)
	f.run(1200, 2200)
	must.Eq(t, len(names), len(f.loaded()))
	var missing []peer.Missing
	for _, name := range names {
		missing = append(missing, peer.Missing{Server: "s1", Adapter: adapterName(name)})
	}
	const lostAt = 2200 + lateMissWindow
	f.Step(lostAt, true)
	before := f.slowness
	f.HandleUsage(lostAt, "vm", &peer.UsageReport{Shard: "r", Address: "a", Missing: missing})
	must.Eq(t, before, f.slowness)
	must.SliceContains(t, f.Step(lostAt, true).ReportRequests, ReportRequest{Server: "s1", Address: "s1"})
}

// TestLostCopyIsNotOfferedAgain reports a copy missing that was ready for long. Until a report
// shows the truth, the copy must not be published as ready: requests would be sent to the same
// backend server again and rejected.
func TestLostCopyIsNotOfferedAgain(t *testing.T) {
	for _, lost := range []bool{true, false} {
		f := newTestPlacer(8, "s1")
		f.requestLoads(1200, 500, "a1")
		f.run(1200, 5000)
		f.Update(f.now, SameRegion, "r", 1, 10)
		f.HandleUsage(5010, "vm", &peer.UsageReport{Shard: "r", Address: "a", Missing: []peer.Missing{{Server: "s1", Adapter: "m/a1"}}})
		offered := f.Update(5010, SameRegion, "r", 1, 10).Servers
		must.SliceLen(t, 1, offered)
		must.Positive(t, offered[0].Copies[0].Ready)
		if lost {
			delete(f.backends.engines["s1"].copies, "m/a1")
		}
		f.run(5020, 5020)
		after := f.Update(5020, SameRegion, "r", 1, 10).Servers
		must.SliceLen(t, 1, after)
		if lost {
			must.SliceEmpty(t, after[0].Copies)
		} else {
			must.Zero(t, after[0].Copies[0].Ready)
		}
	}
}

func TestIdleOldVersionIsReplaced(t *testing.T) {
	f := newTestPlacer(8, "s1")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1600)
	f.demand.add(1600, "m/a1", 5)
	f.Announce(1600, "m/a1", 2)
	f.run(1600, 2000)
	must.Eq(t, 2, f.backends.engines["s1"].copies["m/a1"])
}

func TestBusyOldVersionIsReplacedOnOtherServer(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1600)
	holder := f.orders[0].Server
	f.demand.add(1600, "m/a1", 5)
	f.HandleUsage(1600, "vm", &peer.UsageReport{Shard: "r", Address: "a", Servers: []peer.ServerUsage{{Server: holder, Active: 1, Adapters: []peer.AdapterUsage{{Adapter: "m/a1", Active: 1}}}}})
	f.Announce(1600, "m/a1", 2)
	f.run(1600, 1700)
	last := f.orders[len(f.orders)-1]
	must.NotEq(t, holder, last.Server)
	must.Eq(t, 2, last.Revision)
}

// TestFurtherVersionDoesNotSpareOldCopies guards against an old copy in use that is never replaced, since
// versions follow each other faster than the time that it is given.
func TestFurtherVersionDoesNotSpareOldCopies(t *testing.T) {
	f := newTestPlacer(8, "s1")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1600)
	f.demand.add(1600, "m/a1", 5)
	for i, at := range []clock.Millis{1600, 1600 + versionGrace - 100} {
		f.HandleUsage(at, "vm", &peer.UsageReport{Shard: "r", Address: "a", Servers: []peer.ServerUsage{{Server: "s1", Active: 1, Adapters: []peer.AdapterUsage{{Adapter: "m/a1", Active: 1}}}}})
		f.Announce(at, "m/a1", topo.AdapterRevision(2+i))
		f.run(at, at+90)
	}
	f.run(1600+versionGrace, 1600+versionGrace+unloadDelay+50)
	must.Eq(t, 3, f.backends.engines["s1"].copies["m/a1"])
}

func TestRestartClearsServerState(t *testing.T) {
	f := newTestPlacer(8, "s1")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1600)
	restarted := testServer("s1")
	restarted.StartedAt, restarted.Models = 99, nil
	f.SetServers(1700, []*topo.Server{restarted}, testServices(8))
	must.False(t, f.servers["s1"].synced)
	must.MapEmpty(t, f.servers["s1"].copies)
	must.True(t, f.Changed(SameRegion), must.Sprint("entry VMs must be notified of the restart"))
}

// TestAdapterOfServerThatIsDownIsLoadedElsewhere guards against requests that are sent to a
// crashed engine, because only it held their adapter, until its list entry expires.
func TestAdapterOfServerThatIsDownIsLoadedElsewhere(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2")
	f.requestLoads(1200, 500, "a1")
	f.run(1200, 1600)
	holder := f.orders[0].Server
	f.HandleUsage(1610, "vm", &peer.UsageReport{Shard: "r", Address: "a", Unreachable: []units.BackendServerID{holder}})
	must.SliceContains(t, f.Step(1610, true).ReportRequests, ReportRequest{Server: holder, Address: string(holder)})
	f.ReportFailed(1620, holder)
	f.requestLoads(1630, 500, "a1")
	orders := f.Step(1640, true).Orders
	must.SliceLen(t, 1, orders)
	must.NotEq(t, holder, orders[0].Server)
	f.HandleReport(2200, holder, f.backends.report(holder))
	must.False(t, f.servers[holder].down)
}

// TestModelLoadsAreSpaced adds two engines without a model: only one starts a load,
// since model loads from the weight store are spaced.
func TestModelLoadsAreSpaced(t *testing.T) {
	f := newTestPlacer(8)
	f.backends = newFakeBackends(8, "s1", "s2")
	for _, id := range []string{"s1", "s2"} {
		f.servers[units.BackendServerID(id)] = nil
		delete(f.servers, units.BackendServerID(id))
	}
	s1, s2 := testServer("s1"), testServer("s2")
	f.SetServers(1000, []*topo.Server{s1, s2}, testServices(8))
	for _, id := range []units.BackendServerID{"s1", "s2"} {
		f.HandleReport(1000, id, &topo.Report{})
	}
	plan := f.Step(1010, true)
	must.SliceLen(t, 1, plan.Orders)
	must.Eq(t, testModel, plan.Orders[0].Model)
	must.Eq(t, "", plan.Orders[0].Adapter)
}

// lossyBackends lose answers and execute orders late.
type lossyBackends struct {
	*fakeBackends
	delayed []Order
}

// TestEnginesNeverGetMoreThanTheyHold loses answers to orders, executes some orders seconds
// later, announces new versions and lets reports lag. No engine is ever ordered to hold
// more adapters than it has slots for.
func TestEnginesNeverGetMoreThanTheyHold(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		f := newTestPlacer(3, "s1", "s2")
		lossy := &lossyBackends{fakeBackends: f.backends}
		now := clock.Millis(2000)
		var lagging []map[units.BackendServerID]*topo.Report
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			now += clock.Millis(rapid.SampledFrom([]int{10, 30, 100, 400}).Draw(t, "elapsed"))
			if rapid.Bool().Draw(t, "requests a load") {
				f.requestLoads(now, 600, fmt.Sprint("a", rapid.IntRange(0, 12).Draw(t, "adapter")))
			}
			if rapid.IntRange(0, 9).Draw(t, "new version") == 0 {
				adapter := adapterName(fmt.Sprint("a", rapid.IntRange(0, 12).Draw(t, "of adapter")))
				f.Announce(now, adapter, f.newestRevision(adapter)+1)
			}
			reports := map[units.BackendServerID]*topo.Report{"s1": f.backends.report("s1"), "s2": f.backends.report("s2")}
			lagging = append(lagging, reports)
			plan := f.Step(now, true)
			for _, a := range plan.ReportRequests {
				at := max(0, len(lagging)-1-rapid.IntRange(0, 1).Draw(t, "lag"))
				f.HandleReport(now, a.Server, lagging[at][a.Server])
			}
			for _, o := range plan.Orders {
				f.HandleOrderResult(now, o, lossy.outcome(t, o))
			}
			if rapid.IntRange(0, 5).Draw(t, "late orders are executed") == 0 {
				for _, o := range lossy.delayed {
					lossy.execute(o)
				}
				lossy.delayed = nil
			}
		}
		must.Zero(t, f.backends.crashed)
	})
}

func (b *lossyBackends) outcome(t *rapid.T, o Order) Result {
	switch rapid.SampledFrom([]string{"executed", "executed", "executed", "lost", "late", "unsent"}).Draw(t, "outcome") {
	case "lost":
		b.execute(o)
		return Lost
	case "late":
		b.delayed = append(b.delayed, o)
		return Lost
	case "unsent":
		return NotSent
	default:
		return b.execute(o)
	}
}

func BenchmarkStep(b *testing.B) {
	p := New(Policy{})
	var list []*topo.Server
	for i := range 60 {
		list = append(list, testServer(fmt.Sprint("s", i)))
	}
	p.SetServers(1000, list, testServices(8))
	for i := range 60 {
		r := &topo.Report{Models: []units.ModelName{testModel}}
		for j := range 8 {
			r.Copies = append(r.Copies, topo.Copy{Adapter: adapterName(fmt.Sprint("a", i*8+j))})
		}
		p.HandleReport(1000, units.BackendServerID(fmt.Sprint("s", i)), r)
	}
	for i := range 10000 {
		p.demand.add(1000, adapterName(fmt.Sprint("a", i)), 1)
	}
	b.ReportAllocs()
	now := clock.Millis(1000)
	for b.Loop() {
		now++
		p.Step(now, true)
	}
}
