package poison

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestQuarantineNeedsTwoCrashes records random crashes and compares the quarantines with
// a plain count of the crashes.
func TestQuarantineNeedsTwoCrashes(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var b Registry
		counts := map[units.Fingerprint]map[string]bool{}
		quarantined := map[units.Fingerprint]clock.Millis{}
		now := clock.Hour
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 1000).Draw(t, "wait"))
			f := units.Fingerprint(rapid.IntRange(0, 4).Draw(t, "fingerprint"))
			if counts[f] == nil {
				counts[f] = map[string]bool{}
			}
			switch rapid.SampledFrom([]string{"crash", "served", "lift", "tick"}).Draw(t, "what") {
			case "crash":
				crash := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "crash"))
				fresh := !counts[f][crash] && f != 0
				counts[f][crash] = true
				if fresh && len(counts[f]) >= 2 {
					quarantined[f] = now + QuarantineTerm
				}
				must.Eq(t, fresh && len(counts[f]) >= 2, b.Crashed(now, f, "e1", crash))
				must.Eq(t, f != 0, b.Suspected(now, f))
			case "served":
				b.Served(now, f)
				if quarantined[f] == 0 {
					delete(counts, f)
				}
			case "lift":
				b.Lift(f)
				delete(counts, f)
				delete(quarantined, f)
			case "tick":
				b.Tick(now)
			}
			must.Eq(t, now < quarantined[f], b.Quarantined(now, f))
		}
	})
}

func TestMarksEndAndAreBounded(t *testing.T) {
	var b Registry
	for i := range 2 * maxMarks {
		b.Suspect(clock.Millis(i), units.Fingerprint(i+1))
	}
	must.MapLen(t, maxMarks, b.marks)
	b.Quarantine(0, 7, "e1", clock.Hour)
	must.True(t, b.Quarantined(clock.Hour-1, 7))
	must.False(t, b.Quarantined(clock.Hour, 7))
	b.Tick(2 * clock.Hour)
	must.SliceEmpty(t, b.List(2*clock.Hour))
	must.MapEmpty(t, b.marks)
}
