package sheet

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"mangostile/internal/base/units"
	"mangostile/internal/core/table"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// Format is a file format of a sheet.
type Format string

// Formats of a sheet.
const (
	FormatCSV  Format = "csv"
	FormatJSON Format = "json"
	FormatTOML Format = "toml"
)

// readAtColumn is the column of a CSV file that has the sheet's revision in each row, so
// that the revision survives editing in a spreadsheet.
const readAtColumn = "read_at"

// FormatError reports an unknown format.
type FormatError struct{ Name string }

// Error implements error.
func (e *FormatError) Error() string {
	return "format " + strconv.Quote(e.Name) + " is not known: use csv, toml or json"
}

// FormatOf returns the format called name or, if name is empty, that of path's extension. An
// unknown format is a FormatError.
func FormatOf(name, path string) (Format, error) {
	if name == "" {
		name = strings.TrimPrefix(filepath.Ext(path), ".")
	}
	format := Format(name)
	switch format {
	case FormatCSV, FormatJSON, FormatTOML:
		return format, nil
	default:
		return "", &FormatError{name}
	}
}

// Write writes s in a format.
func (s *Sheet) Write(w io.Writer, format Format) error {
	switch format {
	case FormatCSV:
		return s.writeCSV(w)
	case FormatTOML:
		return s.writeTOML(w)
	case FormatJSON:
		encoder := json.NewEncoder(w)
		encoder.SetEscapeHTML(false)
		return encoder.Encode(s)
	default:
		return &FormatError{string(format)}
	}
}

// Read reads a sheet in a format. It doesn't check the values of cells.
func Read(r io.Reader, format Format) (*Sheet, error) {
	s, err := read(r, format)
	if err == nil && s.Revision < NoRevision {
		return nil, errors.Errorf("revision %d is below 0: leave it as it was exported", s.Revision)
	}
	return s, err
}

func read(r io.Reader, format Format) (*Sheet, error) {
	switch format {
	case FormatCSV:
		return readCSV(r)
	case FormatTOML:
		return readTOML(r)
	case FormatJSON:
		return readJSON(r)
	default:
		return nil, &FormatError{string(format)}
	}
}

// MarshalJSON encodes a row as a list of strings, the adapter first.
func (r Row) MarshalJSON() ([]byte, error) {
	return json.Marshal(append([]string{string(r.Adapter)}, r.Cells...))
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (r *Row) UnmarshalJSON(text []byte) error {
	var cells []string
	if err := json.Unmarshal(text, &cells); err != nil {
		return err
	}
	if len(cells) == 0 {
		return errors.New("a row is empty: give the adapter first")
	}
	r.Adapter, r.Cells = units.AdapterName(cells[0]), cells[1:]
	return nil
}

func readJSON(r io.Reader) (*Sheet, error) {
	s := &Sheet{Revision: NoRevision}
	if err := json.NewDecoder(r).Decode(s); err != nil {
		return nil, errors.Wrap(err, "read JSON: give an object with columns and rows")
	}
	for i := range s.Rows {
		if len(s.Rows[i].Cells) != len(s.Columns) {
			return nil, errors.Errorf("row %s has %d cells for %d columns: give one for each", s.Rows[i].Adapter, len(s.Rows[i].Cells), len(s.Columns))
		}
	}
	return s, nil
}

func (s *Sheet) writeCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	header := append([]string{table.AdapterColumn}, s.Columns...)
	if err := out.Write(append(header, readAtColumn)); err != nil {
		return errors.Wrap(err, "write CSV")
	}
	revision := ""
	if s.Revision != NoRevision {
		revision = strconv.FormatInt(int64(s.Revision), 10)
	}
	for i := range s.Rows {
		record := append([]string{string(s.Rows[i].Adapter)}, s.Rows[i].Cells...)
		if err := out.Write(append(record, revision)); err != nil {
			return errors.Wrap(err, "write CSV")
		}
	}
	out.Flush()
	return errors.Wrap(out.Error(), "write CSV")
}

// byteOrderMark is the prefix of CSV files that some spreadsheets write.
const byteOrderMark = "\ufeff"

func readCSV(r io.Reader) (*Sheet, error) {
	records, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read CSV: give each row as many cells as the first")
	}
	if len(records) == 0 {
		return nil, errors.New("read CSV: the file is empty: begin with a row of column names")
	}
	header := records[0]
	header[0] = strings.TrimPrefix(header[0], byteOrderMark)
	keyIndex, readAtIndex := slices.Index(header, table.AdapterColumn), slices.Index(header, readAtColumn)
	if keyIndex < 0 {
		return nil, errors.New("read CSV: no column is called adapter: name it in the first row")
	}
	s := &Sheet{Revision: NoRevision, Columns: without(header, keyIndex, readAtIndex)}
	for i, record := range records[1:] {
		if readAtIndex >= 0 {
			if err := s.lowerRevision(record[readAtIndex], i+2); err != nil {
				return nil, err
			}
		}
		s.Rows = append(s.Rows, Row{Adapter: units.AdapterName(record[keyIndex]), Cells: without(record, keyIndex, readAtIndex)})
	}
	return s, nil
}

// lowerRevision applies the revision of one row. The sheet's revision is the lowest of its
// rows; an empty one, as in a row that was added by hand, is ignored.
func (s *Sheet) lowerRevision(text string, line int) error {
	if text == "" {
		return nil
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return errors.Errorf("read CSV: line %d: read_at %q is no revision: leave it as it was exported", line, text)
	}
	if s.Revision == NoRevision || units.Offset(revision) < s.Revision {
		s.Revision = units.Offset(revision)
	}
	return nil
}

// without returns a copy of cells without those at two indexes.
func without(cells []string, first, second int) []string {
	kept := make([]string, 0, len(cells))
	for i, cell := range cells {
		if i != first && i != second {
			kept = append(kept, cell)
		}
	}
	return kept
}

// tomlSheet is the layout of a TOML file.
type tomlSheet struct {
	Revision *units.Offset             `toml:"revision,omitempty"`
	Adapters map[string]map[string]any `toml:"adapters"`
}

func (s *Sheet) writeTOML(w io.Writer) error {
	file := tomlSheet{Adapters: make(map[string]map[string]any, len(s.Rows))}
	if s.Revision != NoRevision {
		file.Revision = &s.Revision
	}
	for i := range s.Rows {
		cells := make(map[string]any, len(s.Columns))
		for j, column := range s.Columns {
			cells[column] = s.Rows[i].Cells[j]
		}
		file.Adapters[string(s.Rows[i].Adapter)] = cells
	}
	return errors.Wrap(toml.NewEncoder(w).Encode(file), "write TOML")
}

// readTOML reads a sheet in which rows may omit cells. An omitted cell has the default
// value, so that a file declares each row completely.
func readTOML(r io.Reader) (*Sheet, error) {
	var file tomlSheet
	if err := toml.NewDecoder(r).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, errors.Wrap(err, "read TOML: give one table [adapters.NAME] for each row")
	}
	s := &Sheet{Revision: NoRevision, Columns: tomlColumns(file)}
	if file.Revision != nil {
		s.Revision = *file.Revision
	}
	for adapter, cells := range file.Adapters {
		row := Row{Adapter: units.AdapterName(adapter), Cells: make([]string, len(s.Columns))}
		for i, column := range s.Columns {
			row.Cells[i] = table.DefaultCell(column)
			if value, ok := cells[column]; ok {
				row.Cells[i] = fmt.Sprint(value)
			}
		}
		s.Rows = append(s.Rows, row)
	}
	s.Sort()
	return s, nil
}

// tomlColumns returns the columns of the table in their order, followed by the file's
// columns that the table doesn't have.
func tomlColumns(file tomlSheet) []string {
	columns := table.Columns()
	known := len(columns)
	for _, cells := range file.Adapters {
		for column := range cells {
			if !slices.Contains(columns, column) {
				columns = append(columns, column)
			}
		}
	}
	slices.Sort(columns[known:])
	return columns
}
