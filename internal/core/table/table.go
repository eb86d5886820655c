package table

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/vmihailenco/msgpack/v5"
)

// Table is the state folded from the config stream up to an offset. The zero value is
// the state before the first record. A Table is not safe for concurrent use, but the
// rows that it returns are never changed and are safe to read concurrently.
type Table struct {
	// next is the offset of the first record that is not folded. It never decreases.
	next units.Offset
	rows map[units.AdapterName]*Row
	// deleted holds, for each deleted row, the offset after the record that deleted it.
	deleted map[units.AdapterName]units.Offset
	// drains holds the operators' state of each backend server for which they set one.
	drains map[units.BackendServerID]drain
	// parts holds edits whose last part has not been folded yet.
	parts map[units.RecordID]*partialEdit
	// outcomes holds the newest outcomes, for operators who wait for an edit.
	outcomes outcomeLog
	history  editHistory
}

// drain is the state that operators set for a backend server. Changed is the offset after
// the record that last set it.
type drain struct {
	Leaving bool         `msgpack:"l"`
	Changed units.Offset `msgpack:"o"`
}

// partialEdit is an edit of several records whose last one has not been folded yet.
type partialEdit struct {
	Cells []event.Cell `msgpack:"c"`
	// Seen is the number of parts gathered in order; First is the offset of the first
	// one.
	Seen  int32        `msgpack:"s"`
	Parts int32        `msgpack:"n"`
	First units.Offset `msgpack:"f"`
}

// maxPartialEdits is the maximum number of incomplete edits. Beyond it the oldest is
// dropped.
const maxPartialEdits = 8

// ServerRowPrefix is the prefix of the names of rows that represent a backend server.
// Such a row has only the column StateColumn.
const ServerRowPrefix = "backend_server:"

// StateColumn is the column of a backend server's row: live or leaving.
const StateColumn = "state"

// Next returns the offset of the first record that is not folded, which is also
// the table's revision.
func (t *Table) Next() units.Offset { return t.next }

// Len returns the number of rows.
func (t *Table) Len() int { return len(t.rows) }

// Row returns the row of adapter, or nil.
func (t *Table) Row(adapter units.AdapterName) *Row { return t.rows[adapter] }

// Rows returns all rows sorted by adapter.
func (t *Table) Rows() []*Row {
	rows := t.UnsortedRows()
	SortRows(rows)
	return rows
}

// UnsortedRows returns all rows in any order. Use it where sorting would block the core,
// and sort the rows outside of it.
func (t *Table) UnsortedRows() []*Row {
	rows := make([]*Row, 0, len(t.rows))
	for _, row := range t.rows {
		rows = append(rows, row)
	}
	return rows
}

// All yields all rows in any order.
func (t *Table) All() iter.Seq[*Row] { return maps.Values(t.rows) }

// SortRows sorts rows by adapter.
func SortRows(rows []*Row) {
	slices.SortFunc(rows, func(a, b *Row) int { return strings.Compare(string(a.Adapter), string(b.Adapter)) })
}

// Drained returns the backend servers that operators have taken out of use,
// sorted.
func (t *Table) Drained() []units.BackendServerID {
	var drained []units.BackendServerID
	for server, d := range t.drains {
		if d.Leaving {
			drained = append(drained, server)
		}
	}
	slices.Sort(drained)
	return drained
}

// ServerLeaving reports whether operators have taken server out of use.
func (t *Table) ServerLeaving(server units.BackendServerID) bool {
	return t.drains[server].Leaving
}

// Outcome returns the outcome of a recent edit.
func (t *Table) Outcome(id units.RecordID) (event.EditOutcome, bool) {
	return t.outcomes.find(id)
}

// Fold applies the record at the table's next offset. It reports false and
// changes nothing if the record has another offset.
func (t *Table) Fold(record peer.Record) bool {
	if record.Offset != t.next {
		return false
	}
	t.next++
	var edit event.Edit
	if err := msgpack.Unmarshal(record.Body, &edit); err != nil {
		return true
	}
	if edit.Parts > 1 && !t.gather(&edit, record.Offset) {
		return true
	}
	if _, repeated := t.outcomes.find(edit.ID); repeated {
		return true
	}
	outcome := t.Try(&edit)
	t.history.add(t.historyEntry(&edit, record.Offset, outcome.Kind))
	if outcome.Kind == event.EditAccepted {
		outcome.Offset = record.Offset
		t.apply(&edit)
	}
	t.outcomes.add(edit.ID, outcome)
	return true
}

// gather collects the parts of an edit in order and ignores parts out of order. It reports
// whether edit is the last part; its Cells are then those of all parts.
func (t *Table) gather(edit *event.Edit, offset units.Offset) bool {
	if t.parts == nil {
		t.parts = map[units.RecordID]*partialEdit{}
	}
	partial := t.parts[edit.ID]
	if partial == nil {
		t.dropOldestPartial()
		partial = &partialEdit{Parts: edit.Parts, First: offset}
		t.parts[edit.ID] = partial
	}
	if edit.Part != partial.Seen || edit.Parts != partial.Parts {
		return false
	}
	partial.Seen++
	partial.Cells = append(partial.Cells, edit.Cells...)
	if partial.Seen < partial.Parts {
		return false
	}
	delete(t.parts, edit.ID)
	edit.Cells = partial.Cells
	return true
}

func (t *Table) dropOldestPartial() {
	if len(t.parts) < maxPartialEdits {
		return
	}
	var oldest units.RecordID
	for id, partial := range t.parts {
		if oldest == "" || partial.First < t.parts[oldest].First {
			oldest = id
		}
	}
	delete(t.parts, oldest)
	t.outcomes.add(oldest, event.EditOutcome{
		Kind: event.EditNotAppended, Message: "too many edits of several records at the same time: try again",
	})
}

// Try returns the outcome that edit would have if it were the next record.
func (t *Table) Try(edit *event.Edit) event.EditOutcome {
	outcome := event.EditOutcome{Kind: event.EditAccepted}
	if len(edit.Cells) == 0 {
		outcome.Kind = event.EditInvalid
		outcome.Message = "the edit has no cells: name at least one"
		return outcome
	}
	changed := map[units.AdapterName]*Row{}
	for i := range edit.Cells {
		cell := &edit.Cells[i]
		fault, kind := t.tryCell(cell, changed)
		if kind == event.EditAccepted {
			continue
		}
		outcome.Faults = append(outcome.Faults, fault)
		if outcome.Kind != event.EditInvalid {
			outcome.Kind = kind
		}
	}
	for _, fault := range checkRows(changed) {
		outcome.Faults = append(outcome.Faults, fault)
		outcome.Kind = event.EditInvalid
	}
	return outcome
}

// tryCell sets cell in a copy of its row, which it keeps in changed, and returns the
// cell's fault and the kind of outcome. A deleted row is nil in changed.
func (t *Table) tryCell(cell *event.Cell, changed map[units.AdapterName]*Row) (event.CellFault, event.EditKind) {
	fault := event.CellFault{Adapter: cell.Adapter, Column: cell.Column, Value: cell.Value}
	if server, ok := serverOfRow(cell.Adapter); ok {
		return t.tryServerCell(cell, server, fault)
	}
	if err := checkName(string(cell.Adapter), "an adapter's name"); err != nil {
		fault.Remedy = err.Error()
		return fault, event.EditInvalid
	}
	if since, value := t.lastChange(cell); since > cell.ReadAt {
		fault.Current = value
		fault.Remedy = fmt.Sprintf("another edit changed this cell at offset %d: read the table again and decide", since-1)
		return fault, event.EditConflict
	}
	if cell.Column == DeletedColumn {
		if cell.Value != "true" {
			fault.Remedy = "write true to delete the row"
			return fault, event.EditInvalid
		}
		changed[cell.Adapter] = nil
		return fault, event.EditAccepted
	}
	column, ok := columnByName(cell.Column)
	if !ok {
		fault.Remedy = "use one of the columns " + strings.Join(Columns(), ", ")
		return fault, event.EditInvalid
	}
	row := changed[cell.Adapter]
	if row == nil {
		row = newRow(cell.Adapter)
		if old := t.rows[cell.Adapter]; old != nil {
			row = old.clone()
		}
		changed[cell.Adapter] = row
	}
	if err := columnSpecs[column].set(row, cell.Value); err != nil {
		fault.Remedy = err.Error()
		return fault, event.EditInvalid
	}
	return fault, event.EditAccepted
}

func (t *Table) tryServerCell(cell *event.Cell, server units.BackendServerID, fault event.CellFault) (event.CellFault, event.EditKind) {
	if cell.Column != StateColumn || (cell.Value != string(event.VMLive) && cell.Value != string(event.VMLeaving)) {
		fault.Remedy = "set column state of a backend server to live or leaving"
		return fault, event.EditInvalid
	}
	if since := t.drains[server].Changed; since > cell.ReadAt {
		fault.Current = serverState(t.drains[server].Leaving)
		fault.Remedy = "another edit changed this cell: read the table again and decide"
		return fault, event.EditConflict
	}
	return fault, event.EditAccepted
}

// serverOfRow returns the backend server that the row called name represents.
func serverOfRow(name units.AdapterName) (units.BackendServerID, bool) {
	server, ok := strings.CutPrefix(string(name), ServerRowPrefix)
	return units.BackendServerID(server), ok
}

func serverState(leaving bool) string {
	if leaving {
		return string(event.VMLeaving)
	}
	return string(event.VMLive)
}

// lastChange returns the offset after the record that last changed the cell's value, or
// any value of its row if cell deletes the row, and the current value.
func (t *Table) lastChange(cell *event.Cell) (units.Offset, string) {
	row := t.rows[cell.Adapter]
	if row == nil {
		return t.deleted[cell.Adapter], "(row deleted)"
	}
	if cell.Column == DeletedColumn {
		return slices.Max(row.Changed[:]), "false"
	}
	column, ok := columnByName(cell.Column)
	if !ok {
		return 0, ""
	}
	return row.Changed[column], columnSpecs[column].get(row)
}

// checkRows checks the rules that involve several columns of a row.
func checkRows(changed map[units.AdapterName]*Row) []event.CellFault {
	var faults []event.CellFault
	for adapter, row := range changed {
		if row == nil || !row.Enabled {
			continue
		}
		if row.Base == "" {
			faults = append(faults, event.CellFault{Adapter: adapter, Column: "base", Remedy: "name the base model, or set enabled to false"})
		}
		if _, ok := row.PickVersion(0); !ok {
			faults = append(faults, event.CellFault{Adapter: adapter, Column: "versions", Value: formatVersions(row.Versions), Remedy: "give at least one version a weight above 0, or set enabled to false"})
		}
	}
	slices.SortFunc(faults, func(a, b event.CellFault) int {
		return strings.Compare(string(a.Adapter)+"\x00"+a.Column, string(b.Adapter)+"\x00"+b.Column)
	})
	return faults
}

// apply sets the cells of an edit that Try accepts. t.next must be the offset after the
// edit's record.
func (t *Table) apply(edit *event.Edit) {
	if t.rows == nil {
		t.rows = map[units.AdapterName]*Row{}
		t.deleted = map[units.AdapterName]units.Offset{}
		t.drains = map[units.BackendServerID]drain{}
	}
	fresh := map[units.AdapterName]bool{}
	for i := range edit.Cells {
		t.applyCell(&edit.Cells[i], fresh)
	}
}

// applyCell sets one cell. Rows in fresh were copied for this edit and may be modified
// in place.
func (t *Table) applyCell(cell *event.Cell, fresh map[units.AdapterName]bool) {
	if server, ok := serverOfRow(cell.Adapter); ok {
		t.drains[server] = drain{Leaving: cell.Value == string(event.VMLeaving), Changed: t.next}
		return
	}
	if cell.Column == DeletedColumn {
		delete(t.rows, cell.Adapter)
		delete(fresh, cell.Adapter)
		t.deleted[cell.Adapter] = t.next
		return
	}
	row := t.rows[cell.Adapter]
	if row == nil {
		row = newRow(cell.Adapter)
	} else if !fresh[cell.Adapter] {
		row = row.clone()
	}
	fresh[cell.Adapter] = true
	t.rows[cell.Adapter] = row
	column, _ := columnByName(cell.Column)
	_ = columnSpecs[column].set(row, cell.Value)
	row.Changed[column] = t.next
}
