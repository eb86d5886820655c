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

// shelf is a fleet of engines that carry orders out.
type shelf struct {
	slots   int
	engines map[units.BackendServerID]*engine
	crashed int
}

type engine struct {
	orders int64
	held   map[units.AdapterName]topo.AdapterRevision
}

func newShelf(slots int, ids ...string) *shelf {
	sh := &shelf{slots: slots, engines: map[units.BackendServerID]*engine{}}
	for _, id := range ids {
		sh.engines[units.BackendServerID(id)] = &engine{held: map[units.AdapterName]topo.AdapterRevision{}}
	}
	return sh
}

func (sh *shelf) carry(o Order) Result {
	e := sh.engines[o.Server]
	if e.orders != o.Expected {
		return Conflicts
	}
	if o.Adapter == "" {
		return Done
	}
	e.orders++
	if o.Kind == OrderUnload {
		delete(e.held, o.Adapter)
		return Done
	}
	e.held[o.Adapter] = o.Revision
	if len(e.held) > sh.slots {
		sh.crashed++
	}
	return Taken
}

func (sh *shelf) report(id units.BackendServerID) *topo.Report {
	e := sh.engines[id]
	r := &topo.Report{Orders: e.orders, Models: []units.ModelName{testModel}}
	for name, revision := range e.held {
		r.Copies = append(r.Copies, topo.Copy{Adapter: name, Revision: revision})
	}
	return r
}

// fleet is a placer before a shelf.
type fleet struct {
	*Placer
	shelf  *shelf
	orders []Order
}

func newFleet(slots int, ids ...string) *fleet {
	f := &fleet{Placer: New(Policy{}), shelf: newShelf(slots, ids...)}
	var list []*topo.Server
	for _, id := range ids {
		list = append(list, testServer(id))
	}
	f.SetServers(1000, list, testServices(slots))
	f.run(1000, 1100)
	return f
}

// run steps the placer every 10 ms; all answers come at once.
func (f *fleet) run(from, to clock.Millis) {
	for now := from; now <= to; now += 10 {
		plan := f.Step(now, true)
		for _, a := range plan.Asks {
			f.Reported(now, a.Server, f.shelf.report(a.Server))
		}
		for _, o := range plan.Orders {
			f.orders = append(f.orders, o)
			f.Ordered(now, o, f.shelf.carry(o))
		}
	}
}

func (f *fleet) wants(now clock.Millis, inTime clock.Millis, names ...string) {
	u := &peer.Usage{Shard: "r", Address: "a"}
	for _, name := range names {
		u.Wants = append(u.Wants, peer.Want{Adapter: adapterName(name), Count: 1, Arrived: 1, InTime: inTime})
	}
	f.Used(now, units.EntryVMID("vm-"+fmt.Sprint(inTime)), u)
}

func adapterName(name string) units.AdapterName { return units.AdapterName("m/" + name) }

func (f *fleet) loaded() []string {
	var names []string
	for _, o := range f.orders {
		if o.Kind == OrderLoad {
			names = append(names, string(o.Adapter[2:]))
		}
	}
	return names
}

func TestWantedAdapterIsLoadedOnce(t *testing.T) {
	f := newFleet(8, "s1", "s2")
	f.wants(1200, 500, "a1")
	f.run(1200, 1400)
	must.Eq(t, []string{"a1"}, f.loaded())
}

// TestMoreWantedThanLoadable has more adapters wanted than can be loaded at a time,
// as on days of high load: those that can still be in time go before older ones.
func TestMoreWantedThanLoadable(t *testing.T) {
	f := newFleet(8, "s1")
	f.wants(1200, -100, "late1", "late2", "late3", "late4", "late5")
	f.wants(1250, 600, "fresh1", "fresh2")
	f.run(1250, 1270)
	must.SliceContainsAll(t, f.loaded()[:2], []string{"fresh1", "fresh2"})
}

// TestRareAdaptersAllAtOnce asks for many more rare adapters than there are places;
// those in use stay and no engine gets more than it has places for.
func TestRareAdaptersAllAtOnce(t *testing.T) {
	f := newFleet(4, "s1", "s2")
	f.wants(1200, 500, "hot1", "hot2")
	f.run(1200, 1600)
	for round := range 40 {
		now := clock.Millis(1600 + 100*round)
		f.useHot(now)
		f.wants(now, 600, fmt.Sprint("rare", round), fmt.Sprint("rare", round+100))
		f.run(now, now+90)
	}
	must.Zero(t, f.shelf.crashed)
	for _, o := range f.orders {
		must.False(t, o.Kind == OrderUnload && (o.Adapter == "m/hot1" || o.Adapter == "m/hot2"))
	}
	must.Greater(t, 20, len(f.loaded()))
}

// useHot reports requests that run on the hot adapters.
func (f *fleet) useHot(now clock.Millis) {
	u := &peer.Usage{Shard: "r", Address: "a"}
	for id, s := range f.servers {
		use := peer.ServerUse{Server: id, Active: 1}
		for name := range s.copies {
			if name == "m/hot1" || name == "m/hot2" {
				use.Adapters = append(use.Adapters, peer.AdapterUse{Adapter: name, Active: 1, Arrived: 1})
			}
		}
		u.Servers = append(u.Servers, use)
	}
	f.Used(now, "vm-hot", u)
}

// TestEvictedAdapterGoesBackToItsServer loads an adapter again that was evicted: the
// engine that held it loads it faster.
func TestEvictedAdapterGoesBackToItsServer(t *testing.T) {
	f := newFleet(2, "s1", "s2", "s3")
	f.wants(1200, 500, "a1")
	f.run(1200, 1600)
	home := f.orders[0].Server
	f.servers[home].copies = map[units.AdapterName]*heldCopy{}
	f.shelf.engines[home].held = map[units.AdapterName]topo.AdapterRevision{}
	f.servers[home].keep(1600, "m/a1")
	f.servers[home].active = 5
	f.wants(1700, 500, "a1")
	f.run(1700, 1750)
	must.Eq(t, home, f.orders[len(f.orders)-1].Server)
}

// TestLateLoadIsNotSentTo answers loads that take longer than expected: requests
// were sent to the same copy again and used up the retry budget.
func TestLateLoadIsNotSentTo(t *testing.T) {
	f := newFleet(8, "s1")
	f.wants(1200, 500, "a1")
	f.run(1200, 1500)
	c := f.servers["s1"].copies["m/a1"]
	must.Eq(t, copyReady, c.state)
	must.LessEq(t, c.readyAt, 1200+defaultAdapterLoad+loadMargin)
	f.Used(1510, "vm", &peer.Usage{Shard: "r", Address: "a", Missing: []peer.Missing{{Server: "s1", Adapter: "m/a1"}}})
	must.Eq(t, copyLoading, c.state)
	must.Greater(t, 1, f.slowness)
	f.run(1510, 1510+loadAgain+10)
	must.Eq(t, copyReady, c.state)
}

// TestLostCopiesDoNotSlowLoads answers crashes of servers in the first seconds: the
// misses of what they had held were taken for loads that last longer, and every new
// copy was kept back for up to a second after it was there.
func TestLostCopiesDoNotSlowLoads(t *testing.T) {
	f := newFleet(8, "s1", "s2")
	names := []string{"a1", "a2", "a3", "a4", "a5", "a6"}
	f.wants(1200, 500, names...)
	f.run(1200, 2200)
	must.Eq(t, len(names), len(f.loaded()))
	var missing []peer.Missing
	for _, name := range names {
		missing = append(missing, peer.Missing{Server: "s1", Adapter: adapterName(name)})
	}
	const lostAt = 2200 + lateGap
	f.Step(lostAt, true)
	f.Used(lostAt, "vm", &peer.Usage{Shard: "r", Address: "a", Missing: missing})
	must.Eq(t, 1, f.slowness)
	must.SliceContains(t, f.Step(lostAt, true).Asks, Ask{Server: "s1", Address: "s1"})
}

func TestIdleOldVersionIsReplaced(t *testing.T) {
	f := newFleet(8, "s1")
	f.wants(1200, 500, "a1")
	f.run(1200, 1600)
	f.demand.add(1600, "m/a1", 5)
	f.Announce(1600, "m/a1", 2)
	f.run(1600, 2000)
	must.Eq(t, 2, f.shelf.engines["s1"].held["m/a1"])
}

func TestBusyOldVersionIsReplacedBesideItself(t *testing.T) {
	f := newFleet(8, "s1", "s2")
	f.wants(1200, 500, "a1")
	f.run(1200, 1600)
	home := f.orders[0].Server
	f.demand.add(1600, "m/a1", 5)
	f.Used(1600, "vm", &peer.Usage{Shard: "r", Address: "a", Servers: []peer.ServerUse{{Server: home, Active: 1, Adapters: []peer.AdapterUse{{Adapter: "m/a1", Active: 1}}}}})
	f.Announce(1600, "m/a1", 2)
	f.run(1600, 1700)
	last := f.orders[len(f.orders)-1]
	must.NotEq(t, home, last.Server)
	must.Eq(t, 2, last.Revision)
}

func TestRestartedServerIsForgotten(t *testing.T) {
	f := newFleet(8, "s1")
	f.wants(1200, 500, "a1")
	f.run(1200, 1600)
	again := testServer("s1")
	again.Born, again.Models = 99, nil
	f.SetServers(1700, []*topo.Server{again}, testServices(8))
	must.False(t, f.servers["s1"].synced)
	must.MapEmpty(t, f.servers["s1"].copies)
	must.True(t, f.Changed(Near), must.Sprint("entry VMs are told at once"))
}

// TestAdapterOfServerThatIsDownIsLoadedElsewhere answers a crashed engine: requests for
// the adapters that only it held went there in vain until its entry lapsed.
func TestAdapterOfServerThatIsDownIsLoadedElsewhere(t *testing.T) {
	f := newFleet(8, "s1", "s2")
	f.wants(1200, 500, "a1")
	f.run(1200, 1600)
	home := f.orders[0].Server
	f.Used(1610, "vm", &peer.Usage{Shard: "r", Address: "a", Unreached: []units.BackendServerID{home}})
	must.SliceContains(t, f.Step(1610, true).Asks, Ask{Server: home, Address: string(home)})
	f.ReportFailed(1620, home)
	f.wants(1630, 500, "a1")
	orders := f.Step(1640, true).Orders
	must.SliceLen(t, 1, orders)
	must.NotEq(t, home, orders[0].Server)
	f.Reported(2200, home, f.shelf.report(home))
	must.False(t, f.servers[home].down)
}

// TestEngineWithoutModelGetsOne gives a new engine its model, with loads from the
// weight store kept apart.
func TestEngineWithoutModelGetsOne(t *testing.T) {
	f := newFleet(8)
	f.shelf = newShelf(8, "s1", "s2")
	for _, id := range []string{"s1", "s2"} {
		f.servers[units.BackendServerID(id)] = nil
		delete(f.servers, units.BackendServerID(id))
	}
	s1, s2 := testServer("s1"), testServer("s2")
	f.SetServers(1000, []*topo.Server{s1, s2}, testServices(8))
	for _, id := range []units.BackendServerID{"s1", "s2"} {
		f.Reported(1000, id, &topo.Report{})
	}
	plan := f.Step(1010, true)
	must.SliceLen(t, 1, plan.Orders)
	must.Eq(t, testModel, plan.Orders[0].Model)
	must.Eq(t, "", plan.Orders[0].Adapter)
}

// lossyShelf loses answers and carries orders out late.
type lossyShelf struct {
	*shelf
	late []Order
}

// TestEnginesNeverGetMoreThanTheyHold loses answers to orders, carries some out
// seconds later, names new versions, and lets reports lag. No engine is ever ordered to hold more
// adapters than it has places for.
func TestEnginesNeverGetMoreThanTheyHold(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		f := newFleet(3, "s1", "s2")
		lossy := &lossyShelf{shelf: f.shelf}
		now := clock.Millis(2000)
		var lagging []map[units.BackendServerID]*topo.Report
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			now += clock.Millis(rapid.SampledFrom([]int{10, 30, 100, 400}).Draw(t, "passes"))
			if rapid.Bool().Draw(t, "wants") {
				f.wants(now, 600, fmt.Sprint("a", rapid.IntRange(0, 12).Draw(t, "adapter")))
			}
			if rapid.IntRange(0, 9).Draw(t, "new version") == 0 {
				adapter := adapterName(fmt.Sprint("a", rapid.IntRange(0, 12).Draw(t, "of adapter")))
				f.Announce(now, adapter, f.revision[adapter].revision+1)
			}
			reports := map[units.BackendServerID]*topo.Report{"s1": f.shelf.report("s1"), "s2": f.shelf.report("s2")}
			lagging = append(lagging, reports)
			plan := f.Step(now, true)
			for _, a := range plan.Asks {
				at := max(0, len(lagging)-1-rapid.IntRange(0, 1).Draw(t, "lag"))
				f.Reported(now, a.Server, lagging[at][a.Server])
			}
			for _, o := range plan.Orders {
				f.Ordered(now, o, lossy.fate(t, o))
			}
			if rapid.IntRange(0, 5).Draw(t, "late orders come") == 0 {
				for _, o := range lossy.late {
					lossy.carry(o)
				}
				lossy.late = nil
			}
		}
		must.Zero(t, f.shelf.crashed)
	})
}

func (sh *lossyShelf) fate(t *rapid.T, o Order) Result {
	switch rapid.SampledFrom([]string{"carried", "carried", "carried", "lost", "late", "unsent"}).Draw(t, "fate") {
	case "lost":
		sh.carry(o)
		return Lost
	case "late":
		sh.late = append(sh.late, o)
		return Lost
	case "unsent":
		return NotSent
	default:
		return sh.carry(o)
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
		p.Reported(1000, units.BackendServerID(fmt.Sprint("s", i)), r)
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
