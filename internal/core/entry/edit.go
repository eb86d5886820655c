package entry

import (
	"maps"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/vmihailenco/msgpack/v5"
)

// editTimeout is how long an operator waits for an edit's outcome.
const editTimeout = 10 * clock.Second

// maxEditCells is the maximum number of cells in one record of an edit.
const maxEditCells = 2000

// pendingEdit is an edit whose outcome an operator is waiting for.
type pendingEdit struct {
	deadline clock.Millis
	// refused is true once the log service has definitely refused a record of the edit.
	refused bool
}

// propose checks an edit against the active table and appends it.
func (c *Core) propose(edit event.Edit, out *event.Effects) {
	if outcome := c.Table.Try(&edit); outcome.Kind != event.EditAccepted {
		out.Add(event.AnswerEdit{Edit: edit.ID, Outcome: outcome})
		return
	}
	c.edits[edit.ID] = &pendingEdit{deadline: c.now + editTimeout}
	for _, part := range splitEdit(edit) {
		body, err := msgpack.Marshal(part)
		if err != nil {
			panic("entry: edit can't be encoded: " + err.Error())
		}
		out.Add(event.AppendRecord{Stream: event.ConfigStream, ID: edit.ID, Body: body})
	}
}

// splitEdit splits an edit into as many records as it needs. It ignores the part numbers
// that the edit came with.
func splitEdit(edit event.Edit) []event.Edit {
	edit.Part, edit.Parts = 0, 0
	if len(edit.Cells) <= maxEditCells {
		return []event.Edit{edit}
	}
	parts := (len(edit.Cells) + maxEditCells - 1) / maxEditCells
	edits := make([]event.Edit, parts)
	for i := range edits {
		part := edit
		part.Part, part.Parts = int32(i), int32(parts)
		part.Cells = edit.Cells[i*maxEditCells : min((i+1)*maxEditCells, len(edit.Cells))]
		edits[i] = part
	}
	return edits
}

func (c *Core) appendDone(ev event.AppendDone, out *event.Effects) {
	if ev.Stream == event.ConfigStream {
		c.editAppended(ev, out)
		return
	}
	c.actionAppended(ev)
}

func (c *Core) editAppended(ev event.AppendDone, out *event.Effects) {
	pending := c.edits[ev.ID]
	if pending == nil || ev.Result != event.AppendRefused || pending.refused {
		return
	}
	pending.refused = true
	delete(c.edits, ev.ID)
	out.Add(event.AnswerEdit{Edit: ev.ID, Outcome: event.EditOutcome{
		Kind: event.EditNotAppended, Message: "the log service took no record; nothing changed: try again once it is back",
	}})
}

// answerEdits reports the outcomes of edits that the table has applied.
func (c *Core) answerEdits(out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(c.edits)) {
		if outcome, ok := c.Table.Outcome(id); ok {
			c.answerEdit(id, outcome, out)
		}
	}
}

func (c *Core) answerEdit(id units.RecordID, outcome event.EditOutcome, out *event.Effects) {
	delete(c.edits, id)
	out.Add(event.Decision{Area: "table", Choice: string(id), Reason: string(outcome.Kind), Pairs: []any{"offset", outcome.Offset}})
	out.Add(event.AnswerEdit{Edit: id, Outcome: outcome})
}

func (c *Core) tickEdits(out *event.Effects) {
	for id, pending := range c.edits {
		if c.now < pending.deadline {
			continue
		}
		delete(c.edits, id)
		out.Add(event.AnswerEdit{Edit: id, Outcome: event.EditOutcome{
			Kind: event.EditUnknown, Message: "the log service has not confirmed the edit; it may still come in force: look at the table's history for edit " + string(id),
		}})
	}
}
