package table

import (
	"bytes"
	"compress/flate"
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// fuzzTable returns a record and the snapshot after it, before compression.
func fuzzTable(f *testing.F) (body, snapshot []byte) {
	body, err := msgpack.Marshal(event.Edit{ID: "e", Author: "a", Cells: []event.Cell{
		{Adapter: "braid", Column: "base", Value: "straw-7b"}, {Adapter: "braid", Column: "versions", Value: "v1:1"},
	}})
	must.NoError(f, err)
	var t Table
	must.True(f, t.Fold(peer.Record{ID: "e", Body: body}))
	snapshot, err = msgpack.Marshal(t.flat())
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

// FuzzFold checks that any record moves the table on by one and leaves it such
// that its snapshot can be taken over.
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

// FuzzRestore checks that any bytes are refused or leave a table that can be read
// and goes on.
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
