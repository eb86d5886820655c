// Package sheet represents the table of adapters as text, with a row for each adapter. It
// reads and writes CSV for spreadsheets, TOML for version control and JSON for programs,
// compares two sheets and checks one for mistakes.
package sheet

import (
	"cmp"
	"slices"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"
)

// Sheet is the table at one revision. The zero value has no columns and no rows.
type Sheet struct {
	// Revision is the revision at which the cells were read, or NoRevision.
	Revision units.Offset `json:"revision"`
	// Columns are the column names without the key column.
	Columns []string `json:"columns"`
	// Rows is sorted by adapter after a call of Sort.
	Rows []Row `json:"rows"`
	// Drained lists backend servers that the table takes out of service. It is only
	// displayed; an import ignores it.
	Drained []units.BackendServerID `json:"drained,omitempty"`
}

// NoRevision is the revision of a sheet that has none, as one written by hand.
const NoRevision units.Offset = -1

// Row is one adapter and its cells, one for each column of the sheet.
type Row struct {
	Adapter units.AdapterName
	Cells   []string
}

// Sort sorts the rows by adapter.
func (s *Sheet) Sort() {
	slices.SortStableFunc(s.Rows, func(a, b Row) int { return cmp.Compare(a.Adapter, b.Adapter) })
}

// ColumnIndex returns the index of the column called name in Columns, or -1.
func (s *Sheet) ColumnIndex(name string) int { return slices.Index(s.Columns, name) }

// Cell returns the text of a row's cell, which may be that of the key column, or "" if
// there is no such column.
func (s *Sheet) Cell(row *Row, column string) string {
	if column == table.AdapterColumn {
		return string(row.Adapter)
	}
	if i := s.ColumnIndex(column); i >= 0 {
		return row.Cells[i]
	}
	return ""
}

// check returns faults for unknown columns and for duplicate columns and rows.
func (s *Sheet) check() []event.CellFault {
	var faults []event.CellFault
	known := table.Columns()
	for i, column := range s.Columns {
		if !slices.Contains(known, column) {
			faults = append(faults, event.CellFault{Column: column, Remedy: "there is no such column: remove it or rename it"})
		}
		if slices.Contains(s.Columns[:i], column) {
			faults = append(faults, event.CellFault{Column: column, Remedy: "the column stands twice: remove one"})
		}
	}
	seen := make(map[units.AdapterName]bool, len(s.Rows))
	for i := range s.Rows {
		adapter := s.Rows[i].Adapter
		if seen[adapter] {
			faults = append(faults, event.CellFault{Adapter: adapter, Column: table.AdapterColumn, Remedy: "the row stands twice: remove one"})
		}
		seen[adapter] = true
	}
	return faults
}
