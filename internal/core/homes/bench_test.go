package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// crowdedPlacer returns a placer of 80 backend servers with 6 slots, all in use, and the load
// requests of 100 entry VMs for 300 adapters that have no place.
func crowdedPlacer() *testPlacer {
	const servers, slots, vms = 80, 6, 100
	var ids []string
	for i := range servers {
		ids = append(ids, fmt.Sprint("s", i))
	}
	f := newTestPlacer(slots, ids...)
	now := clock.Millis(1200)
	for round := range slots {
		for i, id := range ids {
			adapter := units.AdapterName(fmt.Sprintf("m/held-%d-%d", i, round))
			f.servers[units.BackendServerID(id)].copies[adapter] = &heldCopy{state: copyReady, active: 1, usedAt: now}
		}
	}
	f.requestCrowd(now, vms, 300)
	return f
}

// requestCrowd has each of vms entry VMs use its backend servers and request loads.
func (f *testPlacer) requestCrowd(now clock.Millis, vms, adapters int) {
	for vm := range vms {
		report := &peer.UsageReport{Shard: "r", Address: "a"}
		for i, id := range f.order {
			if i%10 != vm%10 {
				continue
			}
			usage := peer.ServerUsage{Server: id, Active: 6}
			for name := range f.servers[id].copies {
				usage.Adapters = append(usage.Adapters, peer.AdapterUsage{Adapter: name, Active: 1})
			}
			report.Servers = append(report.Servers, usage)
		}
		for i := range 8 {
			name := units.AdapterName(fmt.Sprintf("m/wanted-%d", (vm*8+i)%adapters))
			report.LoadRequests = append(report.LoadRequests, peer.LoadRequest{Adapter: name, Count: 1, Arrived: 1, LoadDeadline: 900})
		}
		f.HandleUsage(now, units.EntryVMID(fmt.Sprint("vm", vm)), report)
	}
}

// BenchmarkStepInACrowd measures a step while many adapters are requested and none has a place.
// A placer makes some 80 steps a second; each one that takes longer delays the answers that
// the lease depends on.
func BenchmarkStepInACrowd(b *testing.B) {
	f := crowdedPlacer()
	now := clock.Millis(1210)
	for b.Loop() {
		f.usageChanged = true
		must.SliceEmpty(b, f.Step(now, true).Orders)
	}
}

// TestCrowdIsServedOnceSlotsAreIdle has the same crowd wait until the copies of one server are
// idle: loads begin there and nowhere else.
func TestCrowdIsServedOnceSlotsAreIdle(t *testing.T) {
	f := crowdedPlacer()
	must.SliceEmpty(t, f.Step(1210, true).Orders)
	f.HandleUsage(1220, "vm0", &peer.UsageReport{Shard: "r", Address: "a"})
	for vm := 10; vm < 100; vm += 10 {
		f.HandleUsage(1220, units.EntryVMID(fmt.Sprint("vm", vm)), &peer.UsageReport{Shard: "r", Address: "a"})
	}
	f.run(1230, 1750)
	must.Positive(t, len(f.orders))
	for _, o := range f.orders {
		index := 0
		for i, id := range f.order {
			if id == o.Server {
				index = i
			}
		}
		must.Zero(t, index%10, must.Sprint(o))
	}
}
