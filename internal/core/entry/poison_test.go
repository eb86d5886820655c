package entry

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

const poisonDigest units.Fingerprint = 666

// TestPoisonIsQuarantinedEverywhere sends a request that crashes every engine that runs
// it to each entry VM in turn, along with other requests that share its batch. Two
// engines may crash; then all entry VMs refuse the request, and the others are served.
func TestPoisonIsQuarantinedEverywhere(t *testing.T) {
	for seed := range uint64(20) {
		w := newTestNet(seed)
		w.addDomain("galle", 3, 2, 1)
		w.addDomain("kandy", 2, 1, 0)
		w.startAll()
		w.runFor(6 * clock.Second)
		w.createAdapters("entry-galle-0", 3)
		w.runFor(4 * clock.Second)
		for _, e := range w.engines {
			e.crasher = poisonDigest.String()
		}
		galle := w.inDomain("galle")
		var others []units.RequestID
		for i := range 12 {
			for j := range 3 {
				id := fmt.Sprint("other-", i, "-", j)
				others = append(others, units.RequestID(id))
				w.sendRequest(units.EntryVMID(galle[j].vm.ID), id, j, units.Fingerprint(1000+10*i+j))
			}
			w.sendRequest(units.EntryVMID(galle[i%3].vm.ID), fmt.Sprint("poison-", i), i%3, poisonDigest)
			w.runFor(clock.Second)
		}
		w.runFor(30 * clock.Second)
		crashes := 0
		for _, e := range w.engines {
			crashes += e.starts - 1
		}
		must.Eq(t, 2, crashes, must.Sprintf("seed %d", seed))
		for _, id := range others {
			w.checkServed(t, id)
		}
		for _, id := range w.entries() {
			w.sendRequest(id, "again-"+string(id), 0, poisonDigest)
			refuse, ok := w.ended[units.RequestID("again-"+string(id))].(event.Refuse)
			must.True(t, ok, must.Sprint(id))
			must.Eq(t, errs.CodeQuarantined, refuse.Refusal.Code)
			must.Eq(t, errs.RanNo, refuse.Refusal.Ran)
		}
	}
}

// TestQuarantineReachesDomainAndIsLifted checks how long it takes until all members
// refuse a request, and that lifting the quarantine at one member lifts it at all.
func TestQuarantineReachesDomainAndIsLifted(t *testing.T) {
	w := newTestNet(1)
	w.addDomain("galle", 7, 2, 0)
	w.startAll()
	w.runFor(6 * clock.Second)
	w.createAdapters("entry-galle-0", 1)
	w.runFor(4 * clock.Second)
	for _, e := range w.engines {
		e.crasher = poisonDigest.String()
	}
	w.sendRequest("entry-galle-3", "poison", 0, poisonDigest)
	refusing := func() int {
		n := 0
		for _, node := range w.inDomain("galle") {
			if node.core.Poison.Quarantined(node.local(w.now), poisonDigest) {
				n++
			}
		}
		return n
	}
	crashes := func() int { return w.engines["engine-galle-0"].starts + w.engines["engine-galle-1"].starts - 2 }
	for crashes() < 2 && w.now < clock.Minute {
		w.runFor(10)
	}
	crashedAt := w.now
	for refusing() < 7 && w.now-crashedAt < 10*clock.Second {
		w.runFor(10)
	}
	t.Logf("all members refuse %v after the second crash", w.now-crashedAt)
	must.LessEq(t, 2*clock.Second, w.now-crashedAt)
	w.start("entry-galle-5")
	w.runFor(5 * clock.Second)
	must.Eq(t, 7, refusing(), must.Sprint("a restarted member receives the quarantine"))
	w.step(w.nodes["entry-galle-2"], event.QuarantineLifted{Fingerprint: poisonDigest})
	w.runFor(clock.Second)
	must.Eq(t, 0, refusing())
}
