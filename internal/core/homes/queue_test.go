package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// crowdOf has requests of a rank wait for count adapters, each for waited ms.
func (f *testPlacer) crowdOf(now clock.Millis, rank int8, count int, waited clock.Millis) {
	u := &peer.UsageReport{Shard: "r", Address: "a"}
	for i := range count {
		u.LoadRequests = append(u.LoadRequests, peer.LoadRequest{
			Adapter: adapterName(fmt.Sprintf("rank%d-%d", rank, i)), Count: 1, Arrived: 1, Rank: peer.LoadRank(int(rank), 0), Waited: waited, LoadDeadline: 900 - waited,
		})
	}
	f.HandleUsage(now, units.EntryVMID(fmt.Sprint("vm-", rank)), u)
}

// TestUrgentLoadsGoFirst plays a crowd in which more adapters of little rank are asked for than can be
// loaded, and a few urgent ones that arrive last.
func TestUrgentLoadsGoFirst(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2", "s3", "s4")
	f.crowdOf(1200, 2, 40, 500)
	f.crowdOf(1200, 0, 3, 0)
	f.run(1200, 1220)
	must.SliceContainsAll(t, f.loaded()[:3], []string{"rank0-0", "rank0-1", "rank0-2"})
}

// TestShortObjectivesGoFirst plays a crowd of one rank of which some must be answered sooner.
func TestShortObjectivesGoFirst(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2", "s3", "s4")
	f.requestLoads(1200, 1900, "a1", "a2", "a3", "a4", "a5", "a6")
	f.requestLoads(1200, 700, "soon1", "soon2")
	f.run(1200, 1210)
	must.SliceContainsAll(t, f.loaded()[:2], []string{"soon1", "soon2"})
}

// TestLowRankDoesNotStarve plays urgent requests for ever new adapters that take all loads: one of
// little rank is loaded after a wait of a few seconds nonetheless.
func TestLowRankDoesNotStarve(t *testing.T) {
	f := newTestPlacer(8, "s1", "s2", "s3", "s4")
	loadedAt := clock.Millis(0)
	for now := clock.Millis(1200); now < 9000 && loadedAt == 0; now += 100 {
		f.crowdOf(now, 2, 1, now-1200)
		u := &peer.UsageReport{Shard: "r", Address: "a"}
		for i := range 30 {
			u.LoadRequests = append(u.LoadRequests, peer.LoadRequest{Adapter: adapterName(fmt.Sprint("urgent", now, "-", i)), Count: 1, Arrived: 1, LoadDeadline: 900})
		}
		f.HandleUsage(now, "vm", u)
		f.run(now, now+90)
		for _, name := range f.loaded() {
			if name == "rank2-0" {
				loadedAt = now
			}
		}
	}
	must.Between(t, 1200+agingTime, loadedAt, 1200+5*agingTime)
}

// TestWaitsByRank plays a crowd that fills all places with requests of two ranks. Entry VMs hear that
// urgent requests wait behind the urgent ones alone, so that they refuse at once those, and only those,
// that can't be served in time.
func TestWaitsByRank(t *testing.T) {
	f := crowdedPlacer()
	f.loadRequests = map[loadKey]*loadRequest{}
	f.crowdOf(1210, 0, 20, 0)
	f.crowdOf(1210, 2, 100, 0)
	f.Step(1210, true)
	m := f.Update(1210, SameRegion, "r", 1, 10)
	must.Positive(t, m.LoadWaits[0])
	must.Eq(t, m.LoadWaits[0], m.LoadWaits[1*peer.RankSteps])
	must.GreaterEq(t, 5*m.LoadWaits[0], m.LoadWaits[2*peer.RankSteps])
	must.Eq(t, m.LoadWaits[0], m.LoadWait)
	f.loadRequests = map[loadKey]*loadRequest{}
	f.Step(1220, true)
	must.SliceEmpty(t, f.Update(1220, SameRegion, "r", 1, 10).LoadWaits)
}

// TestShortQueueIsNoReasonToRefuse guards against requests that were refused for a queue of a few loads
// which had just begun. The load is five adapters asked for at once at two engines with six places.
func TestShortQueueIsNoReasonToRefuse(t *testing.T) {
	f := newTestPlacer(3, "s1", "s2")
	f.requestLoads(1200, 500, "a1", "a2", "a3", "a4", "a5")
	f.Step(1200, true)
	must.Positive(t, f.queue.len())
	must.LessEq(t, 2*f.loadTimeNow(), f.Update(1200, SameRegion, "r", 1, 10).LoadWait)
}
