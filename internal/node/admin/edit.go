package admin

import (
	"context"
	"encoding/json"
	"mime"
	"time"

	"mangostile/internal/node/render"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// EditRequest is the body of POST /admin/edits. Cells and Rows together are one
// edit, which is accepted or refused as one.
type EditRequest struct {
	Cells []event.Cell `json:"cells,omitempty"`
	// ReadAt is the revision at which the cells of Rows were read.
	ReadAt units.Offset `json:"read_at,omitempty"`
	// Columns names the texts of Rows after the first, which is the adapter.
	Columns []string `json:"columns,omitempty"`
	// Rows holds null for a cell that stays as it is.
	Rows [][]*string `json:"rows,omitempty"`
	// DryRun asks what would become of the edit, and changes nothing.
	DryRun bool `json:"dry_run,omitempty"`
}

// EditAnswer is the answer to POST /admin/edits.
type EditAnswer struct {
	event.EditOutcome
	// Edit names the edit in the table's history.
	Edit units.RecordID `json:"edit,omitempty"`
	// Cells counts the cells of the edit.
	Cells int `json:"cells"`
	// FaultCount counts all faults; Faults holds at most the first MaxFaults.
	FaultCount int  `json:"fault_count,omitempty"`
	DryRun     bool `json:"dry_run,omitempty"`
}

// MaxFaults bounds the faults that one answer lists.
const MaxFaults = 200

const editTimeout = 30 * time.Second

// editType is the type of bodies that change something. Pages of other origins can't send it
// without asking first, and are not answered.
const editType = "application/json"

func (a *api) edit(ctx *fasthttp.RequestCtx, operator string) {
	if !takesJSON(ctx) {
		return
	}
	var request EditRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, "POST a JSON object with cells, or with read_at, columns and rows: "+err.Error())
		return
	}
	cells, err := request.allCells()
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	edit := event.Edit{
		ID: units.RecordID("edit-" + uuid.NewString()), Author: operator, AtMillis: int64(clock.WallNow()), Cells: cells,
	}
	answer := EditAnswer{Edit: edit.ID, Cells: len(cells), DryRun: request.DryRun}
	if request.DryRun {
		if !a.look(ctx, func(c *entry.Core) { answer.EditOutcome = c.Table.Try(&edit) }) {
			return
		}
	} else {
		limit, cancel := context.WithTimeout(context.Background(), editTimeout)
		defer cancel()
		answer.EditOutcome = a.server.Edit(limit, edit)
	}
	answer.FaultCount = len(answer.Faults)
	answer.Faults = answer.Faults[:min(len(answer.Faults), MaxFaults)]
	render.JSON(ctx, fasthttp.StatusOK, answer)
}

// takesJSON reports whether the call is a POST of JSON, and answers it if not.
func takesJSON(ctx *fasthttp.RequestCtx) bool {
	if !ctx.IsPost() {
		fail(ctx, fasthttp.StatusMethodNotAllowed, "use POST")
		return false
	}
	if mediaType, _, _ := mime.ParseMediaType(string(ctx.Request.Header.ContentType())); mediaType != editType {
		fail(ctx, fasthttp.StatusUnsupportedMediaType, "send the body with Content-Type: "+editType)
		return false
	}
	return true
}

// allCells returns Cells and then those of Rows.
func (r *EditRequest) allCells() ([]event.Cell, error) {
	cells := r.Cells
	for i, row := range r.Rows {
		if len(row) != len(r.Columns)+1 || row[0] == nil {
			return nil, errors.Errorf("row %d: give the adapter and then a text or null for each of the %d columns", i, len(r.Columns))
		}
		for j, column := range r.Columns {
			if value := row[j+1]; value != nil {
				cells = append(cells, event.Cell{Adapter: units.AdapterName(*row[0]), Column: column, Value: *value, ReadAt: r.ReadAt})
			}
		}
	}
	return cells, nil
}
