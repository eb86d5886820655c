package entry

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// ownerOf returns the node that can grant requests on the engine, or nil.
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

// TestOwnerIsReplaced stops the owner of an engine, or makes it leave, and checks how
// long it takes until another one can grant.
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
				stoppedAt := w.now
				for w.now-stoppedAt < 20*clock.Second {
					w.runFor(50)
					if n := w.ownerOf("engine-galle-0"); n != nil && n != old {
						break
					}
				}
				longest = max(longest, w.now-stoppedAt)
			}
			t.Logf("longest of 20: %v", longest)
			must.LessEq(t, 5*clock.Second, longest)
		})
	}
}

// TestIgnoringEngineThroughLogOutage checks an engine that ignores fencing numbers while
// the log service is down, so that there is no lease. Loaded adapters are served by the
// owner and, after all entry VMs were restarted, by the next owner. Nothing is loaded or
// evicted meanwhile.
func TestIgnoringEngineThroughLogOutage(t *testing.T) {
	w := newTestNet(7)
	w.addDomain("galle", 3, 0, 1)
	w.addDomain("kandy", 2, 0, 0)
	w.startAll()
	w.runFor(6 * clock.Second)
	w.createAdapters("entry-galle-0", 4)
	w.runFor(2 * clock.Second)
	w.sendRequest("entry-galle-0", "load-0", 0, 1)
	w.sendRequest("entry-galle-1", "load-1", 1, 1)
	w.runFor(20 * clock.Second)
	engine := w.engines["engine-galle-0"]
	must.Eq(t, 2, engine.loads)
	w.log.refuses = true
	w.runFor(10 * clock.Second)
	w.sendRequest("entry-galle-0", "resident", 0, 1)
	w.sendRequest("entry-galle-1", "absent", 3, 1)
	w.runFor(10 * clock.Second)
	w.checkServed(t, "resident")
	for _, n := range w.inDomain("galle") {
		w.start(units.EntryVMID(n.vm.ID))
	}
	w.runFor(15 * clock.Second)
	w.sendRequest("entry-galle-2", "after", 1, 1)
	w.runFor(10 * clock.Second)
	w.checkServed(t, "after")
	must.Eq(t, 2, engine.loads)
	must.Eq(t, 0, engine.unloads)
	w.log.refuses = false
	w.runFor(25 * clock.Second)
	w.sendRequest("entry-galle-2", "evicting", 3, 1)
	w.runFor(10 * clock.Second)
	w.checkServed(t, "evicting")
	w.checkInvariants(t)
}

func (w *testNet) checkServed(t must.T, id units.RequestID) {
	t.Helper()
	_, served := w.ended[id].(event.Dispatch)
	must.True(t, served, must.Sprintf("%s: %v", id, w.ended[id]))
}

// TestSeparatedEntryVMsDoNotKeepClaiming cuts the links between two entry VMs, so that
// both consider themselves the owner. They must not keep claiming the engine from each
// other.
func TestSeparatedEntryVMsDoNotKeepClaiming(t *testing.T) {
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

// TestRollingReplacement makes the entry VMs leave and restart one after the other under
// load. Each must leave within 40 s, and every request must be served.
func TestRollingReplacement(t *testing.T) {
	w := newTestNet(9)
	w.addDomain("galle", 3, 1, 1)
	w.startAll()
	w.runFor(6 * clock.Second)
	w.createAdapters("entry-galle-0", 4)
	w.runFor(4 * clock.Second)
	sent := 0
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
					w.sendRequest(to, fmt.Sprint("r", sent), sent%4, units.Fingerprint(sent+1))
					sent++
				}
			}
			w.runFor(clock.Second)
		}
	}
	w.runFor(30 * clock.Second)
	for i := range sent {
		w.checkServed(t, units.RequestID(fmt.Sprint("r", i)))
	}
	w.checkConverged(t, 1)
	w.checkInvariants(t)
}

// TestNextOwnerEvictsSoonAfterALeave makes the owner of a full engine leave. The next
// owner has a record of the grants in use and must not wait for their terms to end.
func TestNextOwnerEvictsSoonAfterALeave(t *testing.T) {
	for seed := range uint64(20) {
		w := newTestNet(seed)
		w.addDomain("galle", 3, 1, 0)
		w.startAll()
		w.runFor(6 * clock.Second)
		w.createAdapters("entry-galle-0", 4)
		w.runFor(2 * clock.Second)
		for i := range 2 {
			w.sendRequest("entry-galle-0", fmt.Sprint("load-", i), i, 1)
		}
		w.runFor(20 * clock.Second)
		old := w.ownerOf("engine-galle-0")
		must.NotNil(t, old)
		w.step(old, event.LeaveRequested{})
		w.runFor(500)
		for _, id := range w.entries() {
			if w.nodes[id] != old {
				w.sendRequest(id, "evicting-"+string(id), 3, 1)
			}
		}
		w.runFor(6 * clock.Second)
		for _, id := range w.entries() {
			if w.nodes[id] != old {
				w.checkServed(t, units.RequestID("evicting-"+string(id)))
			}
		}
		w.checkInvariants(t)
	}
}

// TestStartingEntryVMClaimsOnlyItsEngines restarts an entry VM beside others and checks
// that it claims each of its own engines once, and that no other engine is claimed.
func TestStartingEntryVMClaimsOnlyItsEngines(t *testing.T) {
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
		owned := 0
		for id, e := range w.engines {
			if w.nodes["entry-galle-0"].core.Members.OwnerOf(id) == "entry-galle-1" {
				owned++
				must.Eq(t, 1, len(e.holders)-claims[id], must.Sprintf("claims of %s", id))
				continue
			}
			must.Eq(t, claims[id], len(e.holders), must.Sprintf("claims of %s", id))
		}
		must.Positive(t, owned)
	}
}
