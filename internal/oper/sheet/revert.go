package sheet

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/table"
)

// Revert returns the changes that undo an accepted edit of the table's history: cells get
// their old values back, new rows are deleted and deleted rows are restored.
func Revert(entry *table.HistoryEntry) []Change {
	deleted := map[units.AdapterName]bool{}
	for i := range entry.Changes {
		if entry.Changes[i].Column == table.DeletedColumn {
			deleted[entry.Changes[i].Adapter] = true
		}
	}
	type cell struct {
		adapter units.AdapterName
		column  string
	}
	done := map[cell]bool{}
	var changes []Change
	for i := range entry.Changes {
		change, ok := revertCell(&entry.Changes[i], deleted)
		key := cell{change.Adapter, change.Column}
		if !ok || done[key] {
			continue
		}
		done[key] = true
		changes = append(changes, change)
	}
	return changes
}

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
