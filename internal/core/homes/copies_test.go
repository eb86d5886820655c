package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// crowdAt reports requests for an adapter at a backend server with their waiting prompts.
func (f *testPlacer) crowdAt(now clock.Millis, server, adapter string, requests int32, prompts units.Tokens, wanted ...string) {
	u := &peer.UsageReport{Shard: "r", Address: "a", Servers: []peer.ServerUsage{{
		Server: units.BackendServerID(server), Active: requests, Prefill: prompts,
		Adapters: []peer.AdapterUsage{{Adapter: adapterName(adapter), Active: requests, Arrived: 1}},
	}}}
	for _, name := range wanted {
		u.LoadRequests = append(u.LoadRequests, peer.LoadRequest{Adapter: adapterName(name), Count: 1, Arrived: 1, LoadDeadline: 900})
	}
	f.HandleUsage(now, "vm", u)
}

func (f *testPlacer) copiesOf(adapter string) int {
	n := 0
	for _, s := range f.servers {
		if s.copies[adapterName(adapter)] != nil {
			n++
		}
	}
	return n
}

// TestDemandThatMovesToOneAdapterGetsCopies plays demand that moves to one adapter, beside a crowd of
// rare ones that always wait for loads: the adapter must have as many copies as its waiting prompts
// need within the time of two loads, and the rare ones must be loaded meanwhile.
func TestDemandThatMovesToOneAdapterGetsCopies(t *testing.T) {
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprint("s", i))
	}
	f := newTestPlacer(8, ids...)
	f.requestLoads(1200, 900, "hot")
	f.run(1200, 1600)
	holder := string(f.orders[0].Server)
	rare := 0
	for now := clock.Millis(1600); now < 2200; now += 50 {
		var wanted []string
		for range 4 {
			wanted = append(wanted, fmt.Sprint("rare", rare))
			rare++
		}
		f.crowdAt(now, holder, "hot", 12, 6*queuedOverload*overloadedPrefill, wanted...)
		f.run(now, now+40)
	}
	must.Eq(t, 6, f.copiesOf("hot"))
	must.GreaterEq(t, 10, len(f.loaded())-6)
}

// TestCopiesGiveWayWhenDemandFalls plays a crowd that leaves and new adapters that ask for places: the
// idle copies of the adapter give way before single copies that are asked for as often as each of them.
func TestCopiesGiveWayWhenDemandFalls(t *testing.T) {
	f := newTestPlacer(2, "s1", "s2", "s3", "s4")
	now := clock.Millis(10000)
	for i, id := range f.order {
		f.servers[id].copies = map[units.AdapterName]*heldCopy{
			"m/hot": {state: copyReady, usedAt: 5000}, adapterName(fmt.Sprint("single", i)): {state: copyReady, usedAt: 5000},
		}
		f.backends.engines[id].copies["m/hot"], f.backends.engines[id].copies[adapterName(fmt.Sprint("single", i))] = 0, 0
		f.demand.add(now, adapterName(fmt.Sprint("single", i)), 2)
	}
	f.demand.add(now, "m/hot", 4)
	f.requestLoads(now, 900, "new1", "new2")
	f.run(now, now+600)
	must.SliceContainsAll(t, f.loaded(), []string{"new1", "new2"})
	for i := range f.order {
		must.Eq(t, 1, f.copiesOf(fmt.Sprint("single", i)))
	}
}

// TestNoCopyWithoutACrowd plays servers that read all prompts in time: nothing is loaded twice.
func TestNoCopyWithoutACrowd(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2")
	f.requestLoads(1200, 900, "hot")
	f.run(1200, 1600)
	for now := clock.Millis(1600); now < 4000; now += 100 {
		f.crowdAt(now, string(f.orders[0].Server), "hot", 8, overloadedPrefill-1)
		f.run(now, now+90)
	}
	must.Eq(t, []string{"hot"}, f.loaded())
}
