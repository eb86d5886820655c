package table

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// fuzzTable returns the body of a record and the uncompressed snapshot of the table after
// it.
func fuzzTable(f *testing.F) (body, snapshot []byte) {
	body, err := msgpack.Marshal(event.Edit{ID: "e", Author: "a", Cells: []event.Cell{
		{Adapter: "braid", Column: "base", Value: "straw-7b"}, {Adapter: "braid", Column: "versions", Value: "v1:1"},
	}})
	must.NoError(f, err)
	var t Table
	must.True(f, t.Fold(peer.Record{ID: "e", Body: body}))
	snapshot, err = msgpack.Marshal(t.toSnapshot())
	must.NoError(f, err)
	return body, snapshot
}

func compress(t *testing.T, plain []byte) []byte {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	must.NoError(t, err)
	_, err = w.Write(plain)
	must.NoError(t, err)
	must.NoError(t, w.Close())
	return buf.Bytes()
}

// FuzzFold checks that any record advances the table by one offset and that a snapshot of
// the table can be restored.
func FuzzFold(f *testing.F) {
	body, _ := fuzzTable(f)
	f.Add(body, body)
	f.Add(body, []byte{0xc0})
	f.Add(body, []byte{})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var own, other Table
		for i, body := range [][]byte{first, second} {
			own.Fold(peer.Record{Offset: units.Offset(i), ID: "e", Body: body})
			must.EqOp(t, units.Offset(i+1), own.Next())
		}
		snapshot, err := own.Snapshot()
		must.NoError(t, err)
		newer, err := other.Restore(snapshot)
		must.NoError(t, err)
		must.True(t, newer)
		again, err := other.Snapshot()
		must.NoError(t, err)
		must.Eq(t, snapshot, again)
	})
}

// FuzzRestore checks that any bytes are either rejected or restore a table that can be
// read and can fold further records.
func FuzzRestore(f *testing.F) {
	body, snapshot := fuzzTable(f)
	f.Add(snapshot)
	f.Add(snapshot[:len(snapshot)/2])
	f.Add([]byte{})
	f.Add([]byte("\x82\xa1o\x01\xa1r\x91\xc0"))
	f.Add([]byte("\x82\xa1o\x01\xa1p\x91\x82\xa1i\xa1e\xa1p\xc0"))
	f.Fuzz(func(t *testing.T, plain []byte) {
		var own Table
		newer, err := own.Restore(compress(t, plain))
		if err != nil || !newer {
			must.EqOp(t, 0, own.Next())
			return
		}
		for _, row := range own.Rows() {
			for _, column := range Columns() {
				_ = row.Cell(column)
			}
		}
		next := own.Next()
		own.Fold(peer.Record{Offset: next, ID: "f", Body: body})
		must.EqOp(t, next+1, own.Next())
	})
}

// FuzzTry checks that an edit with any JSON body has the same outcome when it is folded
// as Try returned.
func FuzzTry(f *testing.F) {
	f.Add([]byte(`{"cells":[{"adapter":"braid","column":"weight","value":"7","read_at":1}]}`))
	f.Add([]byte(`{"cells":[{"adapter":"braid","column":"deleted","value":"true","read_at":1},{"adapter":"braid","column":"base","value":"x"}]}`))
	f.Add([]byte(`{"cells":[{"adapter":"backend_server:engine-1","column":"state","value":"leaving"}]}`))
	f.Add([]byte(`{"cells":[{"adapter":"","column":"","value":""}],"part":-1,"parts":2}`))
	first, _ := fuzzTable(f)
	f.Fuzz(func(t *testing.T, body []byte) {
		var edit event.Edit
		if json.Unmarshal(body, &edit) != nil {
			return
		}
		edit.ID, edit.Part, edit.Parts = "f", 0, 0
		var own Table
		must.True(t, own.Fold(peer.Record{ID: "e", Body: first}))
		tried := own.Try(&edit)
		record, err := msgpack.Marshal(edit)
		must.NoError(t, err)
		own.Fold(peer.Record{Offset: 1, ID: "f", Body: record})
		outcome, ok := own.Outcome("f")
		must.True(t, ok)
		must.EqOp(t, tried.Kind, outcome.Kind)
	})
}
