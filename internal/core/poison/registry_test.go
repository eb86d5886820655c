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
		var r Registry
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
				must.Eq(t, fresh && len(counts[f]) >= 2, r.Crashed(now, f, "e1", crash))
				must.Eq(t, f != 0, r.Suspected(now, f))
			case "served":
				r.Served(now, f)
				if quarantined[f] == 0 {
					delete(counts, f)
				}
			case "lift":
				r.Lift(f)
				delete(counts, f)
				delete(quarantined, f)
			case "tick":
				r.Tick(now)
			}
			must.Eq(t, now < quarantined[f], r.Quarantined(now, f))
		}
	})
}

func TestMarksEndAndAreBounded(t *testing.T) {
	var r Registry
	for i := range 2 * maxMarks {
		r.Suspect(clock.Millis(i), units.Fingerprint(i+1))
	}
	must.MapLen(t, maxMarks, r.marks)
	r.Quarantine(0, 7, "e1", clock.Hour)
	must.True(t, r.Quarantined(clock.Hour-1, 7))
	must.False(t, r.Quarantined(clock.Hour, 7))
	r.Tick(2 * clock.Hour)
	must.SliceEmpty(t, r.List(2*clock.Hour))
	must.MapEmpty(t, r.marks)
}
