package homes

import (
	"testing"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
)

// TestPacingBoundsBytes plays a placer whose servers all change their load all the time. Small
// fleets get loads each period; a large one gets them more rarely, so that the bytes a second
// stay bounded.
func TestPacingBoundsBytes(t *testing.T) {
	for _, tc := range []struct {
		name                string
		servers, recipients int
		capacity            float64
		wantEvery           clock.Millis
		wantBytesPerSecond  int
	}{
		{"small", 9, 6, 0.4, 250, 10_000},
		{"80 servers, 100 entry VMs", 80, 100, 0.8, 250, 1_000_000},
		{"1,500 servers, 150 entry VMs", 1500, 150, 0.8, 6750, 1_000_000},
		{"on a weak entry VM", 80, 100, 0.08, 1200, 200_000},
		{"capacity unknown", 1500, 150, 0, 6750, 1_000_000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p Pacing
			updates := 0
			var longest, last clock.Millis
			for now := clock.Millis(0); now < 60000; now += 10 {
				if !p.Due(now) {
					continue
				}
				updates++
				longest, last = max(longest, now-last), now
				p.Sent(now, tc.servers, tc.recipients, tc.capacity, 250)
			}
			must.Eq(t, tc.wantEvery, longest)
			must.LessEq(t, tc.wantBytesPerSecond*12/10, updates*tc.servers*tc.recipients*loadEntryBytes/60)
		})
	}
}
