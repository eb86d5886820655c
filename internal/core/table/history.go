package table

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// Limits of the history. Beyond them the oldest entries are dropped.
const (
	maxHistoryEntries = 512
	maxHistoryChanges = 4096
	// maxEntryChanges is the maximum number of cells whose changes are kept of one edit.
	maxEntryChanges = 256
)

// HistoryEntry is one past edit, accepted or not.
type HistoryEntry struct {
	// Offset is the offset of the edit's last record in the config stream.
	Offset units.Offset   `msgpack:"o" json:"offset"`
	Edit   units.RecordID `msgpack:"i" json:"edit"`
	Author string         `msgpack:"w" json:"author"`
	// AtMillis is the operator's wall clock in ms since the Unix epoch.
	AtMillis int64          `msgpack:"t" json:"at_ms"`
	Kind     event.EditKind `msgpack:"k" json:"kind"`
	Changes  []Change       `msgpack:"c" json:"changes"`
	// More is the number of further changed cells, which are not kept.
	More int `msgpack:"m,omitempty" json:"more,omitempty"`
}

// Change is one cell of an edit with its value before and after. New is the value that
// the operator requested, even if the edit was not accepted.
type Change struct {
	Adapter units.AdapterName `msgpack:"a" json:"adapter"`
	Column  string            `msgpack:"c" json:"column"`
	Old     string            `msgpack:"o" json:"old"`
	New     string            `msgpack:"n" json:"new"`
	// NewRow is set if the row didn't exist before the edit.
	NewRow bool `msgpack:"r,omitempty" json:"new_row,omitempty"`
}

// editHistory holds the newest edits in log order. It depends only on the folded
// records. The zero value is empty.
type editHistory struct {
	// entries is sorted by offset.
	entries []HistoryEntry
	// changes is the number of changes in all entries.
	changes int
}

// History returns the newest edits, oldest first. The entries must not be
// changed.
func (t *Table) History() []HistoryEntry { return t.history.entries }

func (h *editHistory) add(entry HistoryEntry) {
	h.entries = append(h.entries, entry)
	h.changes += len(entry.Changes)
	first := 0
	for len(h.entries)-first > maxHistoryEntries || h.changes > maxHistoryChanges {
		h.changes -= len(h.entries[first].Changes)
		first++
	}
	h.entries = append([]HistoryEntry(nil), h.entries[first:]...)
}

// historyEntry returns the history's entry for edit. It must be called before the edit
// is applied.
func (t *Table) historyEntry(edit *event.Edit, offset units.Offset, kind event.EditKind) HistoryEntry {
	entry := HistoryEntry{Offset: offset, Edit: edit.ID, Author: edit.Author, AtMillis: edit.AtMillis, Kind: kind}
	kept := min(len(edit.Cells), maxEntryChanges)
	entry.More = len(edit.Cells) - kept
	for i := range edit.Cells[:kept] {
		cell := &edit.Cells[i]
		row := t.rows[cell.Adapter]
		_, isServer := serverOfRow(cell.Adapter)
		entry.Changes = append(entry.Changes, Change{
			Adapter: cell.Adapter, Column: cell.Column, Old: t.currentValue(cell), New: cell.Value, NewRow: row == nil && !isServer,
		})
		if cell.Column == DeletedColumn && row != nil {
			entry.Changes = append(entry.Changes, row.deletedCells()...)
		}
	}
	return entry
}

// currentValue returns the current value of a cell, or "" if its row or column doesn't
// exist.
func (t *Table) currentValue(cell *event.Cell) string {
	if server, ok := serverOfRow(cell.Adapter); ok {
		return serverState(t.drains[server].Leaving)
	}
	row := t.rows[cell.Adapter]
	if row == nil {
		return ""
	}
	return row.Cell(cell.Column)
}

// deletedCells returns the values of a row that is being deleted as changes, so that the
// row can be restored.
func (r *Row) deletedCells() []Change {
	changes := make([]Change, 0, columnCount)
	for _, column := range Columns() {
		changes = append(changes, Change{Adapter: r.Adapter, Column: column, Old: r.Cell(column)})
	}
	return changes
}
