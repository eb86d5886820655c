package table

import (
	"fmt"
	"testing"

	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawEdit(t *rapid.T, i int) event.Edit {
	edit := event.Edit{ID: units.RecordID(fmt.Sprint("e", rapid.IntRange(0, i).Draw(t, "id"))), Author: "ada"}
	edit.Parts = int32(rapid.IntRange(0, 2).Draw(t, "parts"))
	edit.Part = int32(rapid.IntRange(0, 1).Draw(t, "part"))
	for range rapid.IntRange(1, 3).Draw(t, "cells") {
		edit.Cells = append(edit.Cells, event.Cell{
			Adapter: rapid.SampledFrom([]units.AdapterName{"braid", "plait", "backend_server:e1"}).Draw(t, "adapter"),
			Column:  rapid.SampledFrom([]string{"base", "priority", "enabled", "deleted", "state"}).Draw(t, "column"),
			Value:   rapid.SampledFrom([]string{"m", "3", "false", "true", "leaving"}).Draw(t, "value"),
			ReadAt:  units.Offset(rapid.IntRange(0, i).Draw(t, "read_at")),
		})
	}
	return edit
}

// TestSnapshotIsPureFunctionOfOffset restores a snapshot taken in the middle of the
// records, folds the others, and compares the table with one that folded all of them.
func TestSnapshotIsPureFunctionOfOffset(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var whole, restored Table
		n := rapid.IntRange(2, 25).Draw(t, "records")
		at := rapid.IntRange(1, n-1).Draw(t, "at")
		for i := range n {
			r := record(t, units.Offset(i), drawEdit(t, i))
			must.True(t, whole.Fold(r))
			if i >= at {
				must.True(t, restored.Fold(r))
			}
			if i+1 != at {
				continue
			}
			body, err := whole.Snapshot()
			must.NoError(t, err)
			newer, err := restored.Restore(body)
			must.NoError(t, err)
			must.True(t, newer)
			again, err := restored.Restore(body)
			must.NoError(t, err)
			must.False(t, again, must.Sprint("an equal offset must not be restored"))
		}
		want, err := whole.Snapshot()
		must.NoError(t, err)
		got, err := restored.Snapshot()
		must.NoError(t, err)
		must.Eq(t, want, got)
	})
}

func TestHistoryNamesOldAndNewValue(t *testing.T) {
	var table Table
	cells := []event.Cell{{Adapter: "braid", Column: "base", Value: "m"}, {Adapter: "braid", Column: "versions", Value: "v1:1"}}
	must.True(t, table.Fold(record(t, 0, event.Edit{ID: "one", Author: "ada", Cells: cells})))
	change := []event.Cell{{Adapter: "braid", Column: "base", Value: "n", ReadAt: 1}}
	must.True(t, table.Fold(record(t, 1, event.Edit{ID: "two", Author: "bo", Cells: change})))
	must.True(t, table.Fold(record(t, 2, event.Edit{ID: "three", Author: "cy", Cells: change})))
	must.Len(t, 3, table.History())
	must.Eq(t, HistoryEntry{
		Offset: 1, Edit: "two", Author: "bo", Kind: event.EditAccepted, Changes: []Change{{Adapter: "braid", Column: "base", Old: "m", New: "n"}},
	}, table.History()[1])
	must.Eq(t, event.EditConflict, table.History()[2].Kind)
}

func TestHistoryIsBounded(t *testing.T) {
	var h editHistory
	for i := range 3 * maxHistoryEntries {
		h.add(HistoryEntry{Offset: units.Offset(i), Changes: make([]Change, i%maxEntryChanges)})
		must.LessEq(t, maxHistoryEntries, len(h.entries))
		must.LessEq(t, maxHistoryChanges, h.changes)
	}
	must.Eq(t, 3*maxHistoryEntries-1, h.entries[len(h.entries)-1].Offset)
}
