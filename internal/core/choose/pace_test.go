package choose

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/pace"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// play sends plain requests for a time, one each period, and returns how many each server got. answer
// returns how long a server takes and whether it fails.
func play(t *testing.T, c *Core, from, time, period clock.Millis, answer func(id units.BackendServerID, n int) (took clock.Millis, ok bool)) map[units.BackendServerID]int {
	t.Helper()
	type running struct {
		r   *Request
		to  units.BackendServerID
		end clock.Millis
		ok  bool
	}
	var list []running
	got := map[units.BackendServerID]int{}
	for now := from; now < from+time; now += 5 {
		kept := list[:0]
		for _, s := range list {
			if now < s.end {
				kept = append(kept, s)
				continue
			}
			c.Answered(now, s.r, s.to, s.ok)
			c.Started(s.r, s.to)
			end := EndServed
			if !s.ok {
				end = EndFailed
			}
			c.Ended(now, s.r, s.to, true, end)
		}
		list = kept
		if (now-from)%period != 0 {
			continue
		}
		r := plainRequest(int(now), now, 2*clock.Second)
		c.Arrived(now, r.Service)
		to := sendTo(t, c.Choose(now, r))
		took, ok := answer(to, got[to])
		got[to]++
		list = append(list, running{r, to, now + took, ok})
	}
	return got
}

// TestUnevenServers answers the load of plain servers that differ: the cost of each follows its answers.
func TestUnevenServers(t *testing.T) {
	tests := []struct {
		name   string
		answer func(id units.BackendServerID, n int) (clock.Millis, bool)
		// most is the largest share of the server "a" among the three.
		most float64
	}{
		{"a server at a third of the pace", func(id units.BackendServerID, _ int) (clock.Millis, bool) {
			if id == "a" {
				return 180, true
			}
			return 60, true
		}, 0.12},
		{"a server that fails half at once", func(id units.BackendServerID, n int) (clock.Millis, bool) {
			if id == "a" && n%2 == 0 {
				return 5, false
			}
			return 60, true
		}, 0.12},
		{"servers alike", func(units.BackendServerID, int) (clock.Millis, bool) { return 60, true }, 0.45},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := plainCore("a", "b", "c")
			play(t, c, clock.Hour, 3*clock.Second, 10, tc.answer)
			got := play(t, c, clock.Hour+3*clock.Second, 10*clock.Second, 10, tc.answer)
			must.Less(t, tc.most, float64(got["a"])/float64(got["a"]+got["b"]+got["c"]), must.Sprintf("%v", got))
			// It is tried from time to time.
			must.Positive(t, got["a"])
		})
	}
}

// TestPlacerPace guards against own views of an engine of which its placer knows more: one entry VM of
// many gets few answers.
func TestPlacerPace(t *testing.T) {
	c := newTestCore()
	for i, id := range []units.BackendServerID{"n1", "n2"} {
		applyPlacement(c, 1000, "near", uint64(i+1), peer.ServerPlacement{Server: id, Pace: pace.Step(8 * i), Copies: []peer.PlacedCopy{placedCopy("m/a", 0)}})
	}
	for _, id := range []string{"r1", "r2", "r3"} {
		must.Eq(t, "n1", sendTo(t, c.Choose(1000, testRequest(id, "m/a", 1000))))
	}
	must.Eq(t, c.prefillRate(c.servers["n1"])/4, c.prefillRate(c.servers["n2"]))
	// The placer is down: the pace returns to that of own answers, of which there are none.
	c.Arrived(10*clock.Second, "llm")
	must.Eq(t, c.prefillRate(c.servers["n1"]), c.prefillRate(c.servers["n2"]))
}

// TestReturnedEngine answers a fifth of the engines that return empty while demand is at its peak: 78 entry
// VMs see the same engine, each of them has one request every 10 ms that could run there, and all other
// engines are busy. What is sent before the load is known again must stay near the window, and the
// engine must not be left idle.
func TestReturnedEngine(t *testing.T) {
	const vms = 78
	c := New(Config{Self: "vm", Region: "near", Domain: "d1", Policy: Policy{PrefillPerMS: 30}})
	c.SetConfig(testConfig())
	old, busy := testServer("e1", "llm", "near", "d1"), testServer("e2", "llm", "near", "d2")
	old.Slots, busy.Slots = 96, 96
	c.SetServers(0, []*topo.Server{old, busy})
	returned := *old
	returned.StartedAt = 1
	c.SetServers(10*clock.Second, []*topo.Server{&returned, busy})
	now := 20 * clock.Second
	update := &peer.PlacementUpdate{Shard: "near", Fence: 1, Sequence: 1, Full: true, EntryVMs: vms, Servers: []peer.ServerPlacement{
		{Server: "e1", StartedAt: 1, Models: []units.ModelName{"m"}, Window: 12},
		{Server: "e2", Models: []units.ModelName{"m"}, Active: 4, Prefill: 3000},
	}}
	c.ApplyUpdate(now, update)
	sent := 0
	for i := range 100 {
		if i%35 == 0 {
			// Until the next report, the others have sent as much.
			sent = 0
		}
		r := testRequest(string(rune('a'+i%26))+string(rune('a'+i/26)), "m", now)
		to := sendTo(t, c.Choose(now, r))
		if to == "e1" {
			sent++
		}
		c.Ended(now, r, to, false, EndCanceled)
		now += 10
	}
	must.Between(t, 0, sent*vms, 3*12)

	// Its window is full: it still takes what nobody else can.
	update.Servers[0].Active = 12
	update.Servers[1].Removed = true
	update.Sequence++
	c.ApplyUpdate(now, update)
	c.SetServers(now, []*topo.Server{&returned})
	must.Eq(t, "e1", sendTo(t, c.Choose(now, testRequest("last", "m", now))))
}

// TestColdServer guards against requests for a server that says that it is slow after its start, while
// others are idle.
func TestColdServer(t *testing.T) {
	c := plainCore("b", "c")
	cold := &topo.Server{ID: "a", Service: "plain", Domain: "z", Region: "r", Slots: 16, StartedAt: 2, ColdRemaining: 5 * clock.Second}
	c.SetServers(clock.Second, append([]*topo.Server{cold}, c.servers["b"].Server, c.servers["c"].Server))
	idle := func(units.BackendServerID, int) (clock.Millis, bool) { return 40, true }
	got := play(t, c, 2*clock.Second, 2*clock.Second, 50, idle)
	must.Zero(t, got["a"])
	got = play(t, c, 10*clock.Second, 2*clock.Second, 50, idle)
	must.Positive(t, got["a"])
}
