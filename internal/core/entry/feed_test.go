package entry

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestFaultsInTwoDomains runs a trial in two failure domains.
func TestFaultsInTwoDomains(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newTestNet(rapid.Uint64().Draw(t, "seed"))
		w.addDomain("galle", 3, 1, 0)
		w.addDomain("kandy", 3, 1, 0)
		trial(t, w)
	})
}

// inDomain returns the nodes of one failure domain.
func (w *testNet) inDomain(domain units.FailureDomain) []*testNode {
	var nodes []*testNode
	for _, id := range w.entries() {
		if n := w.nodes[id]; n.vm.FailureDomain == domain {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

func (w *testNet) priority(id units.EntryVMID) string {
	if row := w.nodes[id].core.Table.Row("a0"); row != nil {
		return row.Cell(table.Columns()[table.ColumnPriority])
	}
	return ""
}

// TestCutOffDomainStartsFromPeers restarts all entry VMs of a failure domain that can't
// reach the log. They adopt the table of the other domain, never an older one.
func TestCutOffDomainStartsFromPeers(t *testing.T) {
	w := newTestNet(3)
	w.addDomain("galle", 3, 1, 0)
	w.addDomain("kandy", 3, 1, 0)
	w.startAll()
	w.runFor(6 * clock.Second)
	w.createAdapters("entry-galle-0", 2)
	w.runFor(2 * clock.Second)
	for _, n := range w.inDomain("kandy") {
		n.logCut = true
	}
	w.edit("later", "entry-galle-1", event.Cell{Adapter: "a0", Column: "priority", Value: "7"})
	w.runFor(8 * clock.Second)
	must.Eq(t, "7", w.priority("entry-kandy-2"), must.Sprint("8 s after the edit"))
	for _, n := range w.inDomain("kandy") {
		w.start(units.EntryVMID(n.vm.ID))
	}
	w.runFor(12 * clock.Second)
	w.checkConverged(t, 2)
	must.Eq(t, "7", w.priority("entry-kandy-2"))
}

// TestNotReadyWithoutAnyTable checks that entry VMs that can reach neither the log nor
// peers with a table refuse requests.
func TestNotReadyWithoutAnyTable(t *testing.T) {
	w := newTestNet(3)
	w.addDomain("galle", 2, 1, 0)
	w.log.refuses = true
	w.startAll()
	w.runFor(20 * clock.Second)
	must.False(t, w.nodes["entry-galle-0"].core.Ready())
	w.log.refuses = false
	w.runFor(2 * clock.Second)
	must.True(t, w.nodes["entry-galle-0"].core.Ready())
}

// TestGapIsHealedBySnapshot checks that a paused and a new entry VM restore a snapshot
// after the records that they have not read expired.
func TestGapIsHealedBySnapshot(t *testing.T) {
	for _, tc := range []struct {
		name string
		// peers is true if other entry VMs remain that have the table.
		peers bool
	}{{"from peers", true}, {"from the log", false}} {
		t.Run(tc.name, func(t *testing.T) {
			w := newTestNet(4)
			w.log.retention = 20 * clock.Minute
			w.addDomain("galle", 3, 1, 0)
			w.startAll()
			w.runFor(6 * clock.Second)
			w.createAdapters("entry-galle-0", 2)
			w.runFor(clock.Second)
			w.nodes["entry-galle-2"].pausedUntil = w.now + 31*clock.Minute
			for i := range 32 {
				w.runFor(clock.Minute)
				w.edit(fmt.Sprint("e", i), "entry-galle-1", event.Cell{Adapter: "a0", Column: "priority", Value: fmt.Sprint(i % 10)})
			}
			w.runFor(10 * clock.Second)
			w.checkConverged(t, 33)
			must.Positive(t, int(w.log.stream(event.ConfigStream).first))
			for _, id := range w.entries() {
				if !tc.peers || id == "entry-galle-1" {
					w.start(id)
				}
			}
			w.runFor(10 * clock.Second)
			w.checkConverged(t, 33)
			must.Eq(t, "1", w.priority("entry-galle-1"))
		})
	}
}

// TestOnlyTwoMembersReadTheConfigStream checks the number of members that read the log,
// and the number of messages between members for one edit.
func TestOnlyTwoMembersReadTheConfigStream(t *testing.T) {
	w := newTestNet(5)
	w.addDomain("galle", 24, 1, 0)
	w.startAll()
	w.runFor(8 * clock.Second)
	tails := 0
	for _, n := range w.inDomain("galle") {
		if n.tails[event.ConfigStream] != nil {
			tails++
		}
	}
	must.Eq(t, directTails, tails)
	w.createAdapters("entry-galle-9", 1)
	w.runFor(400)
	w.checkConverged(t, 1)
	must.Eq(t, 23, w.messages["*peer.ConfigRecords"])
	w.nodes["entry-galle-0"].logCut = true
	w.nodes["entry-galle-1"].logCut = true
	w.runFor(3 * clock.Second)
	w.edit("cut", "entry-galle-9", event.Cell{Adapter: "a0", Column: "priority", Value: "3"})
	w.runFor(2 * clock.Second)
	w.checkConverged(t, 2)
}
