package sheet

import (
	"bytes"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/shoenig/test/must"
)

// FuzzRead checks that any text is either read or rejected, and that writing a valid sheet
// in each format and reading it again gives the same sheet.
func FuzzRead(f *testing.F) {
	f.Add("adapter,base,versions\nbraid,straw-7b,\"v1:90,v2:10\"\n", uint8(0))
	f.Add("\xef\xbb\xbfadapter;base\r\nbraid;straw-7b\r\n", uint8(0))
	f.Add("adapter\nbraid\nbraid\n", uint8(0))
	f.Add("revision = 3\n[rows.braid]\nbase = \"straw-7b\"\n", uint8(1))
	f.Add("{\"revision\":3,\"columns\":[\"base\"],\"rows\":[[\"braid\",\"straw-7b\"]]}", uint8(2))
	f.Add("{\"rows\":[[]]}", uint8(2))
	formats := []Format{FormatCSV, FormatTOML, FormatJSON}
	f.Fuzz(func(t *testing.T, text string, which uint8) {
		s, err := Read(strings.NewReader(text), formats[int(which)%len(formats)])
		if err != nil {
			must.NotEqOp(t, "", err.Error())
			return
		}
		if len(s.check()) > 0 || !isPlain(s) {
			return
		}
		for _, format := range formats {
			var buf bytes.Buffer
			must.NoError(t, s.Write(&buf, format))
			again, err := Read(bytes.NewReader(buf.Bytes()), format)
			must.NoError(t, err, must.Sprintf("%s:\n%q", format, buf.String()))
			sameCells(t, s, again)
		}
	})
}

// isPlain reports whether each format preserves all cells. Carriage returns and invalid
// UTF-8 are not preserved.
func isPlain(s *Sheet) bool {
	for _, row := range s.Rows {
		text := string(row.Adapter) + strings.Join(row.Cells, "")
		if !utf8.ValidString(text) || strings.ContainsRune(text, '\r') {
			return false
		}
	}
	return true
}

func sameCells(t *testing.T, want, got *Sheet) {
	t.Helper()
	must.EqOp(t, len(want.Rows), len(got.Rows))
	want.Sort()
	got.Sort()
	for i := range want.Rows {
		must.EqOp(t, want.Rows[i].Adapter, got.Rows[i].Adapter)
		for _, column := range want.Columns {
			must.EqOp(t, want.Cell(&want.Rows[i], column), got.Cell(&got.Rows[i], column))
		}
	}
}
