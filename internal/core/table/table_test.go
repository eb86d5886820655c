package table

import (
	"fmt"
	"testing"

	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

func record(t interface{ Fatalf(string, ...any) }, offset units.Offset, edit event.Edit) peer.Record {
	body, err := msgpack.Marshal(edit)
	if err != nil {
		t.Fatalf("encode edit: %v", err)
	}
	return peer.Record{Offset: offset, ID: edit.ID, Body: body}
}

func TestTryRefusesWithRemedy(t *testing.T) {
	for _, tc := range []struct {
		name string
		cell event.Cell
		kind event.EditKind
	}{
		{"unknown column", event.Cell{Adapter: "braid", Column: "colour", Value: "red"}, event.EditInvalid},
		{"blank in adapter", event.Cell{Adapter: "br aid", Column: "base", Value: "m"}, event.EditInvalid},
		{"priority out of range", event.Cell{Adapter: "braid", Column: "priority", Value: "11"}, event.EditInvalid},
		{"version twice", event.Cell{Adapter: "braid", Column: "versions", Value: "v1:1,v1:2"}, event.EditInvalid},
		{"enabled without base", event.Cell{Adapter: "braid", Column: "versions", Value: "v1:1"}, event.EditInvalid},
		{"backend server state", event.Cell{Adapter: "backend_server:e1", Column: "state", Value: "gone"}, event.EditInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var table Table
			outcome := table.Try(&event.Edit{ID: "e", Cells: []event.Cell{tc.cell}})
			must.Eq(t, tc.kind, outcome.Kind)
			must.SliceNotEmpty(t, outcome.Faults)
			test.NotEq(t, "", outcome.Faults[0].Remedy)
		})
	}
}

// TestFoldAcceptsFirstOfTwo checks that of two conflicting edits of a cell the first one
// in the log is accepted, in both orders.
func TestFoldAcceptsFirstOfTwo(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var table Table
		base := []event.Cell{{Adapter: "braid", Column: "base", Value: "m"}, {Adapter: "braid", Column: "versions", Value: "v1:1"}}
		must.True(t, table.Fold(record(t, 0, event.Edit{ID: "create", Cells: base})))
		edits := []event.Edit{
			{ID: "one", Cells: []event.Cell{{Adapter: "braid", Column: "priority", Value: "1", ReadAt: 1}}},
			{ID: "two", Cells: []event.Cell{{Adapter: "braid", Column: "priority", Value: "2", ReadAt: 1}}},
		}
		first := rapid.IntRange(0, 1).Draw(t, "first")
		must.True(t, table.Fold(record(t, 1, edits[first])))
		must.True(t, table.Fold(record(t, 2, edits[1-first])))
		won, _ := table.Outcome(edits[first].ID)
		lost, _ := table.Outcome(edits[1-first].ID)
		must.Eq(t, event.EditAccepted, won.Kind)
		must.Eq(t, event.EditConflict, lost.Kind)
		must.Eq(t, fmt.Sprint(first+1), table.Row("braid").Cell("priority"))
	})
}
