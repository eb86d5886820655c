package sheet

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/table"
)

// Revert returns the changes that undo an accepted edit of the table's history: cells get
// their old values back, new rows are deleted and deleted rows are restored.
func Revert(edit *table.HistoryEntry) []Change {
	deleted := map[units.AdapterName]bool{}
	for i := range edit.Changes {
		if edit.Changes[i].Column == table.DeletedColumn {
			deleted[edit.Changes[i].Adapter] = true
		}
	}
	type cell struct {
		adapter units.AdapterName
		column  string
	}
	done := map[cell]bool{}
	var changes []Change
	for i := range edit.Changes {
		change, ok := revertCell(&edit.Changes[i], deleted)
		key := cell{change.Adapter, change.Column}
		if !ok || done[key] {
			continue
		}
		done[key] = true
		changes = append(changes, change)
	}
	return changes
}

// revertCell returns the change that undoes c, or false if none is needed. A new row is
// undone by its deletion, the same change for each of its cells. Setting any cell restores
// a deleted row, so its deletion and its default values need no change.
func revertCell(c *table.Change, deleted map[units.AdapterName]bool) (Change, bool) {
	rowDeleted := deleted[c.Adapter]
	switch {
	case c.NewRow && !rowDeleted:
		return Change{Adapter: c.Adapter, Column: table.DeletedColumn, Old: "false", New: "true"}, true
	case rowDeleted && (c.NewRow || c.Column == table.DeletedColumn || c.Old == table.DefaultCell(c.Column)):
		return Change{}, false
	default:
		return Change{Adapter: c.Adapter, Column: c.Column, Old: c.New, New: c.Old, NewRow: rowDeleted}, true
	}
}
