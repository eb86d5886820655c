package sheet

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"
)

// Change is one cell that differs between two sheets.
type Change struct {
	Adapter units.AdapterName `json:"adapter"`
	Column  string            `json:"column"`
	Old     string            `json:"old"`
	New     string            `json:"new"`
	// NewRow is true if the row doesn't exist yet.
	NewRow bool `json:"new_row,omitempty"`
}

// Diff returns the changes that turn current into wanted, in the order of wanted's rows.
// Columns that wanted lacks stay unchanged. Rows that wanted lacks are deleted only if
// deleteMissing. Faults are values that the table doesn't accept; if there are any, the
// changes must not be sent.
func Diff(current, wanted *Sheet, deleteMissing bool) ([]Change, []event.CellFault) {
	faults := wanted.check()
	if len(faults) > 0 {
		return nil, faults
	}
	rows := make(map[units.AdapterName]*Row, len(current.Rows))
	for i := range current.Rows {
		rows[current.Rows[i].Adapter] = &current.Rows[i]
	}
	var changes []Change
	for i := range wanted.Rows {
		row := &wanted.Rows[i]
		rowChanges, rowFaults := diffRow(current, wanted, rows[row.Adapter], row)
		changes = append(changes, rowChanges...)
		faults = append(faults, rowFaults...)
		delete(rows, row.Adapter)
	}
	if deleteMissing {
		changes = append(changes, deletions(current, rows)...)
	}
	return changes, faults
}

// diffRow compares one row. Old is nil if the row is new; an empty cell of a new row has
// the default value.
func diffRow(current, wanted *Sheet, old, row *Row) ([]Change, []event.CellFault) {
	var changes []Change
	var faults []event.CellFault
	for i, column := range wanted.Columns {
		text := row.Cells[i]
		before := table.DefaultCell(column)
		if old != nil {
			before = current.Cell(old, column)
		} else if text == "" {
			text = before
		}
		if text == before {
			continue
		}
		canonical, err := table.Canonical(column, text)
		if err != nil {
			faults = append(faults, event.CellFault{Adapter: row.Adapter, Column: column, Value: text, Remedy: err.Error()})
			continue
		}
		if canonical != before {
			changes = append(changes, Change{Adapter: row.Adapter, Column: column, Old: before, New: canonical, NewRow: old == nil})
		}
	}
	return changes, faults
}

func deletions(current *Sheet, missing map[units.AdapterName]*Row) []Change {
	var changes []Change
	for i := range current.Rows {
		if adapter := current.Rows[i].Adapter; missing[adapter] != nil {
			changes = append(changes, Change{Adapter: adapter, Column: table.DeletedColumn, Old: "false", New: "true"})
		}
	}
	return changes
}

// Cells returns the cells of an edit for changes that are based on the revision readAt.
func Cells(changes []Change, readAt units.Offset) []event.Cell {
	cells := make([]event.Cell, len(changes))
	for i, c := range changes {
		cells[i] = event.Cell{Adapter: c.Adapter, Column: c.Column, Value: c.New, ReadAt: readAt}
	}
	return cells
}
