package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// TestPacingBoundsBytes plays placers whose backend servers all change all the time. Small fleets
// get every change; in a large one, or from a weak placer, the bytes a second stay bounded, and
// so does the longest time without an update, after which the placer would count as down.
func TestPacingBoundsBytes(t *testing.T) {
	for _, tc := range []struct {
		name                string
		scope               Scope
		servers, recipients int
		capacity            float64
		bytesPerSecond      int
	}{
		{"6 entry VMs", SameRegion, 9, 6, 0.4, 4_000_000},
		{"100 entry VMs", SameRegion, 80, 100, 0.8, 4_000_000},
		{"100 entry VMs of another region", OtherRegions, 80, 100, 0.8, 1_000_000},
		{"1,500 servers, 150 entry VMs", SameRegion, 1500, 150, 0.8, 4_000_000},
		{"the same of another region", OtherRegions, 1500, 150, 0.8, 1_000_000},
		{"on a weak entry VM", SameRegion, 80, 100, 0.08, 800_000},
		{"capacity unknown", SameRegion, 1500, 150, 0, 4_000_000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const length = 60 * clock.Second
			var p Pacing
			var last, longest clock.Millis
			bytes := 0
			for now := clock.Millis(0); now < length; now += 20 {
				if !p.Due(now) {
					continue
				}
				entries := min(tc.servers, MaxEntries(tc.scope, tc.capacity, tc.recipients))
				bytes += entries * entryBytes * tc.recipients
				longest, last = max(longest, now-last), now
				p.Sent(now, tc.scope, tc.capacity, entries, 0, tc.recipients)
			}
			must.LessEq(t, tc.bytesPerSecond*int(length/clock.Second)*11/10, bytes)
			must.LessEq(t, clock.Second, longest)
		})
	}
}

// TestLimitedUpdatesCoverAllServers has more backend servers change than an update may list.
// Consecutive updates must list each of them once, also if some change again meanwhile.
func TestLimitedUpdatesCoverAllServers(t *testing.T) {
	var ids []string
	for i := range 50 {
		ids = append(ids, fmt.Sprint("s", i))
	}
	f := newTestPlacer(8, ids...)
	listed := map[string]int{}
	sequence := uint64(0)
	for range 5 {
		must.True(t, f.Changed(SameRegion))
		update := f.Update(f.now, SameRegion, "r", 1, 10)
		must.Eq(t, sequence+1, update.Sequence)
		sequence = update.Sequence
		for _, s := range update.Servers {
			listed[string(s.Server)]++
		}
		// The first servers change again; the others must have their turn all the same.
		f.HandleUsage(f.now, "vm", &peer.UsageReport{Shard: "r", Address: "a", Missing: []peer.Missing{{Server: "s0", Adapter: "m/a"}}})
	}
	must.MapLen(t, len(ids), listed)
	must.Eq(t, 10, len(f.FullUpdate(f.now, SameRegion, "r", 1).Servers)/5)
}
