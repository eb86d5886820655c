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

// EditRequest is the body of POST /admin/edits. Cells and Rows together form one edit,
// which is accepted or refused as a whole.
type EditRequest struct {
	Cells []event.Cell `json:"cells,omitempty"`
	// ReadAt is the table revision at which the cells of Rows were read. An edit of a cell
	// that has changed since is a conflict.
	ReadAt units.Offset `json:"read_at,omitempty"`
	// Columns names the columns of Rows after the first, which is the adapter.
	Columns []string `json:"columns,omitempty"`
	// Rows holds the new texts of cells, or null for a cell that does not change.
	Rows [][]*string `json:"rows,omitempty"`
	// DryRun validates the edit without applying it.
	DryRun bool `json:"dry_run,omitempty"`
}

// EditAnswer is the answer to POST /admin/edits.
type EditAnswer struct {
	event.EditOutcome
	// Edit is the ID of the edit in the table's history.
	Edit units.RecordID `json:"edit,omitempty"`
	// Cells is the number of cells in the edit.
	Cells int `json:"cells"`
	// FaultCount is the number of all faults; Faults holds at most the first MaxFaults.
	FaultCount int  `json:"fault_count,omitempty"`
	DryRun     bool `json:"dry_run,omitempty"`
}

// MaxFaults is the maximum number of faults that one answer lists.
const MaxFaults = 200

// editTimeout bounds the wait for the outcome of an edit. After it the answer says that the
// outcome is unknown; the edit may still be accepted.
const editTimeout = 30 * time.Second

// editType is the required media type of requests that change something. It protects
// against cross-site requests: a page of another origin can send it only after a CORS
// preflight, which the API does not allow.
const editType = "application/json"

func (a *api) edit(ctx *fasthttp.RequestCtx, operator string) {
	if !requireJSON(ctx) {
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
		if !a.query(ctx, func(c *entry.Core) { answer.EditOutcome = c.Table.Try(&edit) }) {
			return
		}
	} else {
		editCtx, cancel := context.WithTimeout(context.Background(), editTimeout)
		defer cancel()
		answer.EditOutcome = a.server.Edit(editCtx, edit)
	}
	answer.FaultCount = len(answer.Faults)
	answer.Faults = answer.Faults[:min(len(answer.Faults), MaxFaults)]
	render.JSON(ctx, fasthttp.StatusOK, answer)
}

// requireJSON reports whether the request is a POST with a JSON body, and answers it with
// an error if not.
func requireJSON(ctx *fasthttp.RequestCtx) bool {
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

// allCells returns Cells followed by the cells of Rows. It fails if a row has the wrong
// length or no adapter.
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
