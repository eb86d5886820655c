package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
)

// TestLoadPaceFindsTheTimeOfLoads plays a demand that never ends for loads that take longer than the
// settings say although the weight store is idle. Few requests may find a load late, once 200 are over none may
// be expected much later than it ends, and the limit of loads in flight must not shrink: with the limit
// lowered for each late load, half of the weight store's capacity lay idle while callers were refused.
func TestLoadPaceFindsTheTimeOfLoads(t *testing.T) {
	for _, took := range []clock.Millis{200, 250, 290, 300} {
		t.Run(fmt.Sprint(took), func(t *testing.T) {
			pace := loadPace{slowness: initialSlowness}
			late, early := 0, 0
			for load := range 2000 {
				expected := pace.expected(defaultAdapterLoad)
				congested := false
				if took > expected+loadMargin {
					late++
					congested = pace.late(took, defaultAdapterLoad)
				} else if load >= 200 && expected > took*11/10 && expected > defaultAdapterLoad {
					early++
				}
				pace.finished()
				must.False(t, congested, must.Sprint("load", load))
			}
			must.LessEq(t, 2000/10, late)
			must.Zero(t, early)
		})
	}
}

// TestLoadsOfOneBurstTeachOnce plays a first crowd: 20 loads that begin together and are all found late
// together. They say the same thing, and must not look like a congestion.
func TestLoadsOfOneBurstTeachOnce(t *testing.T) {
	pace := loadPace{slowness: initialSlowness}
	for range 20 {
		must.False(t, pace.late(290, defaultAdapterLoad))
	}
	must.Less(t, 305, pace.expected(defaultAdapterLoad))
}

// TestLoadPaceSeesCongestion plays loads that take twice as long while more of them are in flight than
// the weight store carries: that must be seen as a congestion within a few loads, and be over soon after.
func TestLoadPaceSeesCongestion(t *testing.T) {
	pace := loadPace{slowness: initialSlowness}
	play := func(took clock.Millis, loads int) (congestions int) {
		for range loads {
			for took > pace.expected(defaultAdapterLoad)+loadMargin {
				if pace.late(took, defaultAdapterLoad) {
					congestions++
				}
			}
			pace.finished()
		}
		return congestions
	}
	must.Zero(t, play(290, 100))
	must.Positive(t, play(2*290, 10))
	play(290, 30)
	must.Less(t, 290*13/10, pace.expected(defaultAdapterLoad))
}
