// Package admin answers operators over HTTP.
package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"
	"mangostile/internal/node/server"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// Options are what the admin API knows from the settings.
type Options struct {
	// Operators holds names by the SHA-256 of their tokens in hexadecimal
	// digits. If it is empty no token is asked for.
	Operators map[string]string
}

// AnonymousOperator is the operator's name where the settings name none.
const AnonymousOperator = "anonymous"

// api answers for one server.
type api struct {
	options Options
	server  *server.Server
}

// New returns a handler for a server.
func New(options Options) func(*server.Server) fasthttp.RequestHandler {
	return func(s *server.Server) fasthttp.RequestHandler {
		return (&api{options: options, server: s}).handle
	}
}

const lookTimeout = 5 * time.Second

func (a *api) handle(ctx *fasthttp.RequestCtx) {
	operator, ok := a.operator(ctx)
	if !ok {
		fail(ctx, fasthttp.StatusUnauthorized, "send Authorization: Bearer with a token of the settings' operators")
		return
	}
	switch string(ctx.Path()) {
	case "/admin/table":
		a.showTable(ctx)
	case "/admin/edits":
		a.edit(ctx, operator)
	case "/admin/status":
		a.status(ctx)
	default:
		fail(ctx, fasthttp.StatusNotFound, "use /admin/table, /admin/edits or /admin/status")
	}
}

func (a *api) operator(ctx *fasthttp.RequestCtx) (string, bool) {
	if len(a.options.Operators) == 0 {
		return AnonymousOperator, true
	}
	token, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	name, known := a.options.Operators[hex.EncodeToString(sum[:])]
	return name, ok && known
}

func fail(ctx *fasthttp.RequestCtx, status int, message string) {
	write(ctx, status, struct {
		Error string `json:"error"`
	}{message})
}

func write(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Table is the answer to GET /admin/table.
type Table struct {
	// Revision is the number of records folded.
	Revision units.Offset `json:"revision"`
	Columns  []string     `json:"columns"`
	// Rows hold the key column first and then one text for each column.
	Rows [][]string `json:"rows"`
}

func (a *api) showTable(ctx *fasthttp.RequestCtx) {
	limit, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	answer := Table{Columns: table.Columns(), Rows: [][]string{}}
	var rows []*table.Row
	if !a.server.Look(limit, func(c *entry.Core) { answer.Revision, rows = c.Table.Next(), c.Table.Rows() }) {
		fail(ctx, fasthttp.StatusServiceUnavailable, "the entry VM is busy: try again")
		return
	}
	for _, row := range rows {
		cells := []string{string(row.Adapter)}
		for _, column := range answer.Columns {
			cells = append(cells, row.Cell(column))
		}
		answer.Rows = append(answer.Rows, cells)
	}
	write(ctx, fasthttp.StatusOK, answer)
}

func (a *api) edit(ctx *fasthttp.RequestCtx, operator string) {
	var edit event.Edit
	if err := json.Unmarshal(ctx.PostBody(), &edit); err != nil || !ctx.IsPost() {
		fail(ctx, fasthttp.StatusBadRequest, "POST a JSON object with cells")
		return
	}
	edit.ID = units.RecordID("edit-" + uuid.NewString())
	edit.Author = operator
	edit.AtMillis = int64(clock.WallNow())
	limit, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	write(ctx, fasthttp.StatusOK, a.server.Edit(limit, edit))
}

// Status is the answer to GET /admin/status.
type Status struct {
	EntryVM  string            `json:"entry_vm"`
	Ready    bool              `json:"ready"`
	Revision units.Offset      `json:"revision"`
	Members  []units.EntryVMID `json:"members"`
	Servers  []ServerStatus    `json:"backend_servers"`
}

// ServerStatus describes one backend server of the own failure domain.
type ServerStatus struct {
	ID       units.BackendServerID  `json:"id"`
	Owner    units.EntryVMID        `json:"owner,omitempty"`
	Usable   bool                   `json:"usable"`
	Leaving  bool                   `json:"leaving"`
	Running  int32                  `json:"running"`
	Waiting  int32                  `json:"waiting"`
	Resident []units.AdapterVersion `json:"resident"`
	Loading  []units.AdapterVersion `json:"loading"`
}

func (a *api) status(ctx *fasthttp.RequestCtx) {
	limit, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	var status Status
	if !a.server.Look(limit, func(c *entry.Core) { status = describe(c) }) {
		fail(ctx, fasthttp.StatusServiceUnavailable, "the entry VM is busy: try again")
		return
	}
	write(ctx, fasthttp.StatusOK, status)
}

func describe(c *entry.Core) Status {
	status := Status{
		EntryVM: string(c.Members.SelfID()), Ready: c.Ready(), Revision: c.Table.Next(), Members: c.Members.Members(),
	}
	for _, s := range c.Router.Servers() {
		status.Servers = append(status.Servers, ServerStatus{
			ID: s.ID(), Owner: c.Members.OwnerOf(s.ID()), Usable: s.Summary.Usable, Leaving: s.Leaving, Running: s.Summary.Running,
			Waiting: s.Summary.Waiting, Resident: s.Summary.Resident, Loading: s.Summary.Loading,
		})
	}
	return status
}
