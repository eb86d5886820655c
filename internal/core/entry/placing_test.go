package entry

import (
	"fmt"
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// placingCore returns the core of the only entry VM of a failure domain with the given
// number of engines, which hold slots adapters each, and a table of rows. The first
// pinned rows have a minimum of two copies. Every row has versions.
func placingCore(t testing.TB, engines, slots, rows, pinned int, versions string) *Core {
	vms := []event.VM{{ID: "entry-1", FailureDomain: "a", Entry: true, State: event.VMLive}}
	for i := range engines {
		vms = append(vms, event.VM{
			ID: fmt.Sprintf("engine-%03d", i), FailureDomain: "a", Kind: event.KindEngine, Base: "base", State: event.VMLive, Slots: int32(slots), BatchMax: 16,
		})
	}
	c := New(Config{Self: vms[0], Incarnation: 1, VMs: vms})
	edit := event.Edit{ID: "table"}
	for i := range rows {
		adapter := units.AdapterName(fmt.Sprintf("a%05d", i))
		edit.Cells = append(edit.Cells,
			event.Cell{Adapter: adapter, Column: "base", Value: "base"},
			event.Cell{Adapter: adapter, Column: "versions", Value: versions},
			event.Cell{Adapter: adapter, Column: "callers", Value: "*"})
		if i < pinned {
			edit.Cells = append(edit.Cells, event.Cell{Adapter: adapter, Column: "min_copies", Value: "2"})
		}
	}
	body, err := msgpack.Marshal(edit)
	must.NoError(t, err)
	var out event.Effects
	c.Step(10_000, event.RecordsRead{Stream: event.ConfigStream, Records: []peer.Record{{ID: "table", Body: body}}, Next: 1, End: 1}, &out)
	for i := range engines {
		summary := peer.ServerSummary{Server: units.BackendServerID(vms[i+1].ID), Fence: 1, Slots: int32(slots), BatchMax: 16, Usable: true}
		for k := range slots {
			summary.Resident = append(summary.Resident, units.AdapterVersion{Adapter: units.AdapterName(fmt.Sprintf("a%05d", (i*slots+k)%rows)), Version: "v1"})
		}
		c.Router.ApplySummary(10_000, summary)
	}
	c.now = 20_000
	return c
}

// TestDesiredCopiesOfMinimumAndNewVersions checks the number of desired copies for rows
// with a minimum number of copies and for new versions of loaded adapters.
func TestDesiredCopiesOfMinimumAndNewVersions(t *testing.T) {
	for _, tc := range []struct {
		name     string
		pinned   int
		versions string
		want     int
	}{
		{"nothing", 0, "v1:1", 0},
		{"minimum of two copies", 3, "v1:1", 6},
		{"new version", 0, "v1:1,v2:1", 4},
		{"version without weight", 0, "v1:1,v2:0", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := placingCore(t, 4, 1, 4, tc.pinned, tc.versions)
			var out event.Effects
			c.placeCopies(&out)
			must.SliceLen(t, tc.want, c.placement.desired)
		})
	}
}

// BenchmarkPlacement measures one placement pass with up to 26,000 adapters, one in a
// hundred of which has a minimum of two copies. The entry VM owns all engines, more than
// it would beside other entry VMs.
func BenchmarkPlacement(b *testing.B) {
	for _, engines := range []int{23, 90, 357} {
		for _, rows := range []int{3000, 26000} {
			b.Run(fmt.Sprintf("replicas=%d/adapters=%d", engines, rows), func(b *testing.B) {
				c := placingCore(b, engines, 40, rows, rows/100, "v1:1")
				var out event.Effects
				for b.Loop() {
					c.placement.lastPassAt, c.placement.rowsAt, c.placement.rowsNext = 0, 0, 0
					c.placeCopies(&out)
					out.Reset()
				}
			})
		}
	}
}
