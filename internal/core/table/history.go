package table

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// Bounds of the history. The oldest entries give way.
const (
	maxHistoryEntries = 512
	maxHistoryChanges = 4096
	// maxEntryChanges bounds the changes kept of one edit.
	maxEntryChanges = 256
)

// HistoryEntry is one edit of the past, accepted or not.
type HistoryEntry struct {
	// Offset is the place of the edit's last record in the config stream.
	Offset units.Offset   `msgpack:"o" json:"offset"`
	Edit   units.RecordID `msgpack:"i" json:"edit"`
	Author string         `msgpack:"w" json:"author"`
	// AtMillis is the operator's wall clock since the Unix epoch.
	AtMillis int64          `msgpack:"t" json:"at_ms"`
	Kind     event.EditKind `msgpack:"k" json:"kind"`
	Changes  []Change       `msgpack:"c" json:"changes"`
	// More counts further changes that are not kept.
	More int `msgpack:"m,omitempty" json:"more,omitempty"`
}

// Change is one cell of an edit with its value before and after. New is what the
// operator asked for, also where the edit was not accepted.
type Change struct {
	Adapter units.AdapterName `msgpack:"a" json:"adapter"`
	Column  string            `msgpack:"c" json:"column"`
	Old     string            `msgpack:"o" json:"old"`
	New     string            `msgpack:"n" json:"new"`
	// NewRow is set if the row was not there before the edit.
	NewRow bool `msgpack:"r,omitempty" json:"new_row,omitempty"`
}

// editHistory holds the newest edits in log order. The zero value is empty. It
// is a pure function of the records folded.
type editHistory struct {
	// entries is sorted by offset.
	entries []HistoryEntry
	// changes counts the changes in entries.
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

// historyEntry describes edit before it is applied.
func (t *Table) historyEntry(edit *event.Edit, offset units.Offset, kind event.EditKind) HistoryEntry {
	entry := HistoryEntry{Offset: offset, Edit: edit.ID, Author: edit.Author, AtMillis: edit.AtMillis, Kind: kind}
	kept := min(len(edit.Cells), maxEntryChanges)
	entry.More = len(edit.Cells) - kept
	for i := range edit.Cells[:kept] {
		cell := &edit.Cells[i]
		row := t.rows[cell.Adapter]
		_, isServer := serverOfRow(cell.Adapter)
		entry.Changes = append(entry.Changes, Change{
			Adapter: cell.Adapter, Column: cell.Column, Old: t.valueInForce(cell), New: cell.Value, NewRow: row == nil && !isServer,
		})
		if cell.Column == DeletedColumn && row != nil {
			entry.Changes = append(entry.Changes, row.lostCells()...)
		}
	}
	return entry
}

// valueInForce returns the value of a cell, or "" if its row or column does not
// exist.
func (t *Table) valueInForce(cell *event.Cell) string {
	if server, ok := serverOfRow(cell.Adapter); ok {
		return serverState(t.drains[server].Leaving)
	}
	row := t.rows[cell.Adapter]
	if row == nil {
		return ""
	}
	return row.Cell(cell.Column)
}

// lostCells describes what a row held when it was deleted, so that it can be put
// back.
func (r *Row) lostCells() []Change {
	changes := make([]Change, 0, columnCount)
	for _, column := range Columns() {
		changes = append(changes, Change{Adapter: r.Adapter, Column: column, Old: r.Cell(column)})
	}
	return changes
}
