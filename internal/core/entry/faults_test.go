package entry

import (
	"fmt"
	"slices"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// testKey returns a key with the current virtual time.
func (w *testNet) testKey(n int) string { return keyAt(testEpoch+w.now, n) }

func keyAt(at clock.Millis, n int) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: byte(n)}
	for i := range 6 {
		id[i] = byte(at >> (8 * (5 - i)))
	}
	return id.String()
}

func (w *testNet) edit(id string, node units.EntryVMID, cells ...event.Cell) {
	n := w.nodes[node]
	if n.core == nil {
		return
	}
	for i := range cells {
		cells[i].ReadAt = n.core.Table.Next()
	}
	w.step(n, event.EditProposed{Edit: event.Edit{ID: units.RecordID(id), Author: "ada", Cells: cells}})
}

// createAdapters adds n adapters to the table.
func (w *testNet) createAdapters(node units.EntryVMID, n int) {
	var cells []event.Cell
	for i := range n {
		name := units.AdapterName(fmt.Sprint("a", i))
		cells = append(cells,
			event.Cell{Adapter: name, Column: "base", Value: "straw-7b"},
			event.Cell{Adapter: name, Column: "versions", Value: "v1:1"},
			event.Cell{Adapter: name, Column: "callers", Value: "*"})
	}
	w.edit("create", node, cells...)
}

func (w *testNet) sendAction(node units.EntryVMID, id, key string, digest units.Fingerprint) {
	request := event.Request{ID: units.RequestID(id), Caller: "guild", Service: "ledger", Key: key, Digest: digest}
	w.keys[request.ID] = key
	w.step(w.nodes[node], event.RequestArrived{Request: request})
}

func (w *testNet) sendRequest(node units.EntryVMID, id string, adapter int, digest units.Fingerprint) {
	request := event.Request{
		ID: units.RequestID(id), Caller: "guild", Idempotent: true, Digest: digest,
		Adapter: units.AdapterVersion{Adapter: units.AdapterName(fmt.Sprint("a", adapter))},
	}
	w.keys[request.ID] = fmt.Sprint(digest)
	w.step(w.nodes[node], event.RequestArrived{Request: request})
}

// entries returns the ids of all entry VMs.
func (w *testNet) entries() []units.EntryVMID {
	var ids []units.EntryVMID
	for _, vm := range w.vms {
		if vm.Entry {
			ids = append(ids, units.EntryVMID(vm.ID))
		}
	}
	return ids
}

// checkInvariants checks what must hold at all times.
func (w *testNet) checkInvariants(t must.T) {
	t.Helper()
	for key, runs := range w.runsOfKey {
		must.LessEq(t, 1, runs, must.Sprintf("key %s ran %d times", key, runs))
	}
	for id, refuse := range w.refusedNotRun {
		must.Eq(t, 0, w.runsOfRequest[id], must.Sprintf("%s ran but was refused with ran: no: %v", id, refuse.Refusal))
	}
	for id, e := range w.engines {
		must.Eq(t, 0, e.evictedRunning, must.Sprintf("%s evicted an adapter in use", id))
		must.Eq(t, 0, e.staleOrders, must.Sprintf("%s accepted an order with an old fencing number", id))
	}
}

// checkConverged checks that all live nodes have the same table, of the whole config
// stream.
func (w *testNet) checkConverged(t must.T, want units.Offset) {
	t.Helper()
	var first []byte
	for _, id := range w.entries() {
		n := w.nodes[id]
		if n.dead {
			continue
		}
		must.Eq(t, want, n.core.Table.Next(), must.Sprintf("%s", id))
		must.True(t, n.core.Ready(), must.Sprintf("%s is not ready", id))
		body, err := n.core.Table.Snapshot()
		must.NoError(t, err)
		if first == nil {
			first = body
		}
		must.Eq(t, first, body, must.Sprintf("%s has a different table", id))
	}
}

// fault is one failure of a trial.
type fault struct {
	kind     string
	node     units.EntryVMID
	other    units.EntryVMID
	duration clock.Millis
}

var faultKinds = []string{"loss", "one_way", "pause", "restart", "log_refuses", "log_hangs", "log_loses", "log_cut", "lose_answers", "crash", "leave"}

func drawFault(t *rapid.T, w *testNet) fault {
	return fault{
		kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		node: rapid.SampledFrom(w.entries()).Draw(t, "node"), other: rapid.SampledFrom(w.entries()).Draw(t, "other"),
		duration: clock.Millis(rapid.IntRange(500, 12_000).Draw(t, "hold")),
	}
}

// apply starts a fault and ends it after its duration.
func (w *testNet) apply(f fault) {
	n := w.nodes[f.node]
	link := string(f.node) + ">" + string(f.other)
	switch f.kind {
	case "loss":
		w.loss = 0.2
		w.after(f.duration, func() { w.loss = 0 })
	case "one_way":
		w.cut[link] = true
		w.after(f.duration, func() { delete(w.cut, link) })
	case "pause":
		n.pausedUntil = max(n.pausedUntil, w.now+f.duration)
	case "restart":
		n.dead = true
		w.after(f.duration, func() { w.start(f.node) })
	case "log_refuses":
		w.log.refuses = true
		w.after(f.duration, func() { w.log.refuses = false })
	case "log_hangs":
		w.log.hangs = true
		w.after(f.duration, func() { w.log.hangs = false })
	case "log_loses":
		w.log.losesReplies = true
		w.after(f.duration, func() { w.log.losesReplies = false })
	case "log_cut":
		n.logCut = true
		w.after(f.duration, func() { n.logCut = false })
	case "lose_answers":
		w.loseResponses = true
		w.after(f.duration, func() { w.loseResponses = false })
	case "leave":
		if !n.dead && !n.left {
			w.step(n, event.LeaveRequested{})
			w.after(f.duration, func() { w.start(f.node) })
		}
	case "crash":
		for _, e := range w.engines {
			e.restart()
		}
	}
}

// trial runs requests, actions and edits under faults, then ends all faults and checks
// the invariants.
func trial(t *rapid.T, w *testNet) {
	w.startAll()
	entries := w.entries()
	w.runFor(6 * clock.Second)
	w.createAdapters(entries[0], 6)
	w.runFor(2 * clock.Second)
	for i := range 20 {
		if i%4 == 1 {
			w.apply(drawFault(t, w))
		}
		node := func() units.EntryVMID { return rapid.SampledFrom(entries).Draw(t, "entry") }
		key := w.testKey(i / 2)
		w.sendAction(node(), fmt.Sprint("act-", i, "-a"), key, 1)
		w.sendRequest(node(), fmt.Sprint("ask-", i), rapid.IntRange(0, 5).Draw(t, "adapter"), units.Fingerprint(i+1))
		w.runFor(clock.Millis(rapid.IntRange(0, 900).Draw(t, "wait")))
		w.sendAction(node(), fmt.Sprint("act-", i, "-b"), key, 1)
		if i%5 == 2 {
			w.edit(fmt.Sprint("edit-", i), node(), event.Cell{Adapter: "a0", Column: "priority", Value: fmt.Sprint(i % 10)})
		}
		w.checkInvariants(t)
	}
	w.runFor(40 * clock.Second)
	w.checkInvariants(t)
	config := w.log.stream(event.ConfigStream)
	w.checkConverged(t, config.first+units.Offset(len(config.records)))
	w.checkEnginesServe(t)
}

// checkEnginesServe checks that each engine serves requests again after the faults.
func (w *testNet) checkEnginesServe(t must.T) {
	t.Helper()
	for i, id := range w.entries() {
		for j := range 6 {
			w.sendRequest(id, fmt.Sprint("after-", i, "-", j), j, 99)
		}
	}
	w.runFor(31 * clock.Second)
	for i := range w.entries() {
		for j := range 6 {
			_, served := w.ended[units.RequestID(fmt.Sprint("after-", i, "-", j))].(event.Dispatch)
			must.True(t, served, must.Sprintf("request %d of entry VM %d: %v", j, i, w.ended[units.RequestID(fmt.Sprint("after-", i, "-", j))]))
		}
	}
}

// TestFaultsInOneDomain runs a trial in one failure domain with engines that check
// fencing numbers.
func TestFaultsInOneDomain(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newTestNet(rapid.Uint64().Draw(t, "seed"))
		w.addDomain("galle", 3, 2, 0)
		trial(t, w)
	})
}

// TestEditReachesAllMembers checks that all members have an edit 2 s after it was
// proposed, and that no decision reports a lost fencing number.
func TestEditReachesAllMembers(t *testing.T) {
	w := newTestNet(1)
	w.addDomain("galle", 7, 1, 0)
	w.startAll()
	w.runFor(6 * clock.Second)
	w.createAdapters(w.entries()[3], 2)
	w.runFor(2 * clock.Second)
	must.Eq(t, event.EditAccepted, w.edits["create"].Kind)
	w.checkConverged(t, 1)
	must.False(t, slices.ContainsFunc(w.decisions, func(d event.Decision) bool { return d.Reason == "fencing_number_lost" }))
}

// TestFaultsBeforeIgnoringEngines runs a trial with engines that ignore fencing numbers.
func TestFaultsBeforeIgnoringEngines(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		w := newTestNet(rapid.Uint64().Draw(t, "seed"))
		w.addDomain("galle", 3, 0, 2)
		trial(t, w)
	})
}
