package sheet

import (
	"bytes"
	"strings"
	"testing"

	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/table"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// drawCell draws a valid text for a column, not always in its canonical form.
func drawCell(t *rapid.T, column string) string {
	name := rapid.StringMatching(`[a-z"=.'#é][a-z0-9"=.'#é-]{0,6}`)
	switch column {
	case "base":
		return name.Draw(t, "base")
	case "versions":
		return name.Draw(t, "version") + ":3, ~second"
	case "callers":
		return strings.Join(rapid.SliceOfN(name, 0, 3).Draw(t, "callers"), ", ")
	case "enabled":
		return rapid.SampledFrom([]string{"true", "false", "1", "F"}).Draw(t, "enabled")
	case "requests_per_s", "tokens_per_s":
		return rapid.SampledFrom([]string{"0", "0.25", "1e3", "12.50"}).Draw(t, "rate")
	default:
		return rapid.SampledFrom([]string{"1", "7", "10"}).Draw(t, column)
	}
}

// drawTable draws a table after up to six edits.
func drawTable(t *rapid.T) *table.Table {
	folded := &table.Table{}
	edits := rapid.IntRange(0, 6).Draw(t, "edits")
	for i := range edits {
		edit := event.Edit{ID: units.RecordID(rune('a' + i))}
		adapter := units.AdapterName(rapid.StringMatching(`[a-e."é][a-z0-9."é=-]{0,3}`).Draw(t, "adapter"))
		for _, column := range table.Columns() {
			if folded.Row(adapter) == nil || rapid.Bool().Draw(t, "set") {
				edit.Cells = append(edit.Cells, event.Cell{Adapter: adapter, Column: column, Value: drawCell(t, column), ReadAt: folded.Next()})
			}
		}
		fold(t, folded, edit)
	}
	return folded
}

// fold applies an edit to a table as a record of the log.
func fold(t *rapid.T, folded *table.Table, edit event.Edit) {
	body, err := msgpack.Marshal(edit)
	must.NoError(t, err)
	must.True(t, folded.Fold(peer.Record{Offset: folded.Next(), ID: edit.ID, Body: body}))
}

func sheetOf(folded *table.Table) *Sheet {
	s := &Sheet{Revision: folded.Next(), Columns: table.Columns()}
	for _, row := range folded.Rows() {
		cells := make([]string, len(s.Columns))
		for i, column := range s.Columns {
			cells[i] = row.Cell(column)
		}
		s.Rows = append(s.Rows, Row{Adapter: row.Adapter, Cells: cells})
	}
	return s
}

// TestRoundTripChangesNothing checks that importing the export of any table changes
// nothing, in each format.
func TestRoundTripChangesNothing(t *testing.T) {
	for _, format := range []Format{FormatCSV, FormatTOML, FormatJSON} {
		t.Run(string(format), func(t *testing.T) {
			proof.Check(t, func(t *rapid.T) {
				exported := sheetOf(drawTable(t))
				var file bytes.Buffer
				must.NoError(t, exported.Write(&file, format))
				imported, err := Read(&file, format)
				must.NoError(t, err)
				changes, faults := Diff(exported, imported, true)
				must.SliceEmpty(t, faults)
				must.SliceEmpty(t, changes)
				if len(exported.Rows) > 0 {
					must.Eq(t, exported.Revision, imported.Revision)
				}
			})
		})
	}
}

// TestImportMakesTheTableEqual checks that the changes of a diff turn any table into any
// other.
func TestImportMakesTheTableEqual(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		folded, wanted := drawTable(t), sheetOf(drawTable(t))
		changes, faults := Diff(sheetOf(folded), wanted, true)
		must.SliceEmpty(t, faults)
		if len(changes) > 0 {
			fold(t, folded, event.Edit{ID: "import", Cells: Cells(changes, folded.Next())})
			outcome, _ := folded.Outcome("import")
			must.Eq(t, event.EditAccepted, outcome.Kind, must.Sprint(outcome.Faults))
		}
		must.Eq(t, wanted.Rows, sheetOf(folded).Rows)
	})
}

func TestReadRefusesWithRemedy(t *testing.T) {
	for _, tc := range []struct {
		name   string
		format Format
		text   string
		remedy string
	}{
		{"empty CSV", FormatCSV, "", "begin with a row of column names"},
		{"CSV without key", FormatCSV, "base\nm\n", "no column is called adapter"},
		{"CSV with a short row", FormatCSV, "adapter,base\nbraid\n", "give each row as many cells as the first"},
		{"CSV with a changed revision", FormatCSV, "adapter,read_at\nbraid,new\n", "line 2: read_at \"new\" is no revision"},
		{"TOML with another table", FormatTOML, "[rows.braid]\n", "give one table [adapters.NAME]"},
		{"JSON with a short row", FormatJSON, `{"columns":["base"],"rows":[["braid"]]}`, "row braid has 0 cells for 1 columns"},
		{"JSON with an empty row", FormatJSON, `{"columns":[],"rows":[[]]}`, "give the adapter first"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Read(strings.NewReader(tc.text), tc.format)
			must.ErrorContains(t, err, tc.remedy)
		})
	}
}

func TestDiffNamesFaults(t *testing.T) {
	for _, tc := range []struct {
		name   string
		text   string
		column string
		remedy string
	}{
		{"unknown column", "adapter,colour\nbraid,red\n", "colour", "no such column"},
		{"column twice", "adapter,base,base\nbraid,m,m\n", "base", "stands twice"},
		{"row twice", "adapter,base\nbraid,m\nbraid,n\n", "adapter", "stands twice"},
		{"bad value", "adapter,weight\nbraid,none\n", "weight", "write a whole number from 1 to 1000"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			wanted, err := Read(strings.NewReader(tc.text), FormatCSV)
			must.NoError(t, err)
			changes, faults := Diff(&Sheet{Columns: table.Columns()}, wanted, false)
			must.SliceEmpty(t, changes)
			must.SliceNotEmpty(t, faults)
			must.Eq(t, tc.column, faults[0].Column)
			must.StrContains(t, faults[0].Remedy, tc.remedy)
		})
	}
}
