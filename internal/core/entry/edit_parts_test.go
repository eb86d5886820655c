package entry

import (
	"testing"

	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// TestPartNumbersOfProposedEditAreIgnored checks that the part numbers of a proposed edit
// are ignored, so that an operator can't append one part of an edit whose other parts
// never come.
func TestPartNumbersOfProposedEditAreIgnored(t *testing.T) {
	c, out := startCore(t)
	c.Step(3002, event.EditProposed{Edit: event.Edit{
		ID: "e2", Part: 1, Parts: 3, Cells: []event.Cell{{Adapter: "braid", Column: "weight", Value: "7", ReadAt: 1}},
	}}, out)
	appends := 0
	for _, effect := range out.List {
		record, ok := effect.(event.AppendRecord)
		if !ok || record.Stream != event.ConfigStream {
			continue
		}
		appends++
		var edit event.Edit
		must.NoError(t, msgpack.Unmarshal(record.Body, &edit))
		must.Zero(t, edit.Parts)
		must.Zero(t, edit.Part)
	}
	must.EqOp(t, 1, appends)
}
