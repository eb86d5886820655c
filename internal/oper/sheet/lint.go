package sheet

import (
	"fmt"
	"strings"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"
)

// Finding is an error or a warning of Lint about one cell.
type Finding struct {
	event.CellFault
	// Warning is true if the table accepts the cell, which is only a likely mistake.
	Warning bool `json:"warning"`
}

// String formats f as one line with its level, row, column, value and remedy.
func (f Finding) String() string {
	level := "error"
	if f.Warning {
		level = "warning"
	}
	return fmt.Sprintf("%s: row %s, column %s: %q: %s", level, f.Adapter, f.Column, f.Value, f.Remedy)
}

// Lint checks a whole sheet: the values, the rules of a row, and likely mistakes that the
// table accepts.
func Lint(s *Sheet) []Finding {
	var findings []Finding
	empty := &Sheet{Columns: table.Columns()}
	changes, faults := Diff(empty, s, false)
	if len(faults) == 0 {
		var t table.Table
		if outcome := t.Try(&event.Edit{Cells: Cells(changes, 0)}); len(changes) > 0 {
			faults = outcome.Faults
		}
	}
	for _, fault := range faults {
		findings = append(findings, Finding{CellFault: fault})
	}
	for i := range s.Rows {
		findings = append(findings, s.lintRow(&s.Rows[i])...)
	}
	return findings
}

func (s *Sheet) lintRow(row *Row) []Finding {
	var findings []Finding
	warn := func(column, remedy string) {
		findings = append(findings, Finding{Warning: true, CellFault: event.CellFault{
			Adapter: row.Adapter, Column: column, Value: s.Cell(row, column), Remedy: remedy,
		}})
	}
	enabled := s.Cell(row, "enabled") != "false"
	if s.ColumnIndex("callers") >= 0 && s.Cell(row, "callers") == "" && enabled {
		warn("callers", "no caller may reach the adapter: name callers, or set enabled to false")
	}
	if copies := s.Cell(row, "min_copies"); copies != "" && copies != "0" && !enabled {
		warn("min_copies", "a disabled adapter keeps copies loaded: set it to 0")
	}
	if isFormula(row.Adapter) {
		warn(table.AdapterColumn, "a spreadsheet may read the name as a formula: begin it with a letter")
	}
	return findings
}

func isFormula(adapter units.AdapterName) bool {
	return adapter != "" && strings.ContainsRune("=+-", rune(adapter[0]))
}
