package entry

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// ownerOf returns the node that may grant on the only engine, or nil.
func (w *testNet) ownerOf(engine units.BackendServerID) *testNode {
	for _, id := range w.entries() {
		n := w.nodes[id]
		if n.dead {
			continue
		}
		for _, s := range n.core.Owner.Summaries(n.local(w.now)) {
			if s.Server == engine && s.Usable {
				return n
			}
		}
	}
	return nil
}

// TestOwnerIsReplaced kills or lets leave the owner of an engine and measures
// until another one grants.
func TestOwnerIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		name     string
		checking int
		leaves   bool
	}{
		{"checking engine, owner dies", 1, false},
		{"checking engine, owner leaves", 1, true},
		{"ignoring engine, owner dies", 0, false},
		{"ignoring engine, owner leaves", 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var longest clock.Millis
			for seed := range uint64(20) {
				w := newTestNet(seed)
				w.addDomain("galle", 7, tc.checking, 1-tc.checking)
				w.startAll()
				w.runFor(20*clock.Second + clock.Millis(w.random.IntN(1000)))
				old := w.ownerOf("engine-galle-0")
				must.NotNil(t, old)
				if tc.leaves {
					w.step(old, event.LeaveRequested{})
				} else {
					old.dead = true
				}
				at := w.now
				for w.now-at < 20*clock.Second {
					w.runFor(50)
					if n := w.ownerOf("engine-galle-0"); n != nil && n != old {
						break
					}
				}
				longest = max(longest, w.now-at)
			}
			t.Logf("longest of 20: %v", longest)
			must.LessEq(t, 5*clock.Second, longest)
		})
	}
}

// TestIgnoringEngineThroughLogOutage checks that what is loaded is served on
// without a lease, by the owner and, after all entry VMs were replaced, by the
// next, and that nothing is loaded or evicted meanwhile.
func TestIgnoringEngineThroughLogOutage(t *testing.T) {
	w := newTestNet(7)
	w.addDomain("galle", 3, 0, 1)
	w.addDomain("kandy", 2, 0, 0)
	w.startAll()
	w.runFor(6 * clock.Second)
	w.createAdapters("entry-galle-0", 4)
	w.runFor(2 * clock.Second)
	w.ask("entry-galle-0", "load-0", 0, 1)
	w.ask("entry-galle-1", "load-1", 1, 1)
	w.runFor(20 * clock.Second)
	engine := w.engines["engine-galle-0"]
	must.Eq(t, 2, engine.loads)
	w.log.refuses = true
	w.runFor(10 * clock.Second)
	w.ask("entry-galle-0", "resident", 0, 1)
	w.ask("entry-galle-1", "absent", 3, 1)
	w.runFor(10 * clock.Second)
	w.checkServed(t, "resident")
	for _, n := range w.inDomain("galle") {
		w.start(units.EntryVMID(n.vm.ID))
	}
	w.runFor(15 * clock.Second)
	w.ask("entry-galle-2", "after", 1, 1)
	w.runFor(10 * clock.Second)
	w.checkServed(t, "after")
	must.Eq(t, 2, engine.loads)
	must.Eq(t, 0, engine.unloads)
	w.log.refuses = false
	w.runFor(25 * clock.Second)
	w.ask("entry-galle-2", "evicting", 3, 1)
	w.runFor(10 * clock.Second)
	w.checkServed(t, "evicting")
	w.check(t)
}

func (w *testNet) checkServed(t must.T, id units.RequestID) {
	t.Helper()
	_, served := w.ended[id].(event.Dispatch)
	must.True(t, served, must.Sprintf("%s: %v", id, w.ended[id]))
}

// TestTwoViewsDoNotFight cuts two entry VMs off from each other, so that both
// hold themselves for the owner. They must not take the engine in turn for long.
func TestTwoViewsDoNotFight(t *testing.T) {
	w := newTestNet(8)
	w.addDomain("galle", 2, 1, 0)
	w.startAll()
	w.runFor(10 * clock.Second)
	w.cut["entry-galle-0>entry-galle-1"] = true
	w.cut["entry-galle-1>entry-galle-0"] = true
	before := len(w.engines["engine-galle-0"].holders)
	w.runFor(5 * clock.Minute)
	must.Less(t, 16, len(w.engines["engine-galle-0"].holders)-before)
}

// TestRollingReplacement replaces every entry VM in turn under load.
func TestRollingReplacement(t *testing.T) {
	w := newTestNet(9)
	w.addDomain("galle", 3, 1, 1)
	w.startAll()
	w.runFor(6 * clock.Second)
	w.createAdapters("entry-galle-0", 4)
	w.runFor(4 * clock.Second)
	asked := 0
	for _, id := range w.entries() {
		for second := range 60 {
			if second == 5 {
				w.step(w.nodes[id], event.LeaveRequested{})
			}
			if second == 45 {
				must.True(t, w.nodes[id].left, must.Sprintf("%s has not left", id))
				w.start(id)
			}
			for _, to := range w.entries() {
				if n := w.nodes[to]; !n.dead && n.core.Ready() {
					w.ask(to, fmt.Sprint("r", asked), asked%4, units.Fingerprint(asked+1))
					asked++
				}
			}
			w.runFor(clock.Second)
		}
	}
	w.runFor(30 * clock.Second)
	for i := range asked {
		w.checkServed(t, units.RequestID(fmt.Sprint("r", i)))
	}
	w.checkConverged(t, 1)
	w.check(t)
}

// TestNextOwnerEvictsSoonAfterALeave lets the owner of a full engine leave. The
// next one knows the grants that hold and need not wait for their terms.
func TestNextOwnerEvictsSoonAfterALeave(t *testing.T) {
	for seed := range uint64(20) {
		w := newTestNet(seed)
		w.addDomain("galle", 3, 1, 0)
		w.startAll()
		w.runFor(6 * clock.Second)
		w.createAdapters("entry-galle-0", 4)
		w.runFor(2 * clock.Second)
		for i := range 2 {
			w.ask("entry-galle-0", fmt.Sprint("load-", i), i, 1)
		}
		w.runFor(20 * clock.Second)
		old := w.ownerOf("engine-galle-0")
		must.NotNil(t, old)
		w.step(old, event.LeaveRequested{})
		w.runFor(500)
		for _, id := range w.entries() {
			if w.nodes[id] != old {
				w.ask(id, "evicting-"+string(id), 3, 1)
			}
		}
		w.runFor(6 * clock.Second)
		for _, id := range w.entries() {
			if w.nodes[id] != old {
				w.checkServed(t, units.RequestID("evicting-"+string(id)))
			}
		}
		w.check(t)
	}
}

// TestStartingEntryVMTakesNothingFromOthers starts an entry VM again beside others
// that serve, and looks at who orders their engines about.
func TestStartingEntryVMTakesNothingFromOthers(t *testing.T) {
	for seed := range uint64(10) {
		w := newTestNet(seed)
		w.addDomain("galle", 3, 6, 0)
		w.startAll()
		w.runFor(10 * clock.Second)
		w.nodes["entry-galle-1"].dead = true
		w.runFor(10 * clock.Second)
		claims := map[units.BackendServerID]int{}
		for id, e := range w.engines {
			claims[id] = len(e.holders)
		}
		w.start("entry-galle-1")
		w.runFor(5 * clock.Second)
		mine := 0
		for id, e := range w.engines {
			if w.nodes["entry-galle-0"].core.Members.OwnerOf(id) == "entry-galle-1" {
				mine++
				must.Eq(t, 1, len(e.holders)-claims[id], must.Sprintf("claims of %s", id))
				continue
			}
			must.Eq(t, claims[id], len(e.holders), must.Sprintf("claims of %s", id))
		}
		must.Positive(t, mine)
	}
}
