package admin

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/table"
	"mangostile/internal/node/render"

	"github.com/valyala/fasthttp"
)

// Table is the answer to GET /admin/table.
type Table struct {
	// Revision is the number of log records that the table reflects.
	Revision units.Offset `json:"revision"`
	Columns  []string     `json:"columns"`
	// Help holds one line of help for each column.
	Help []string `json:"help"`
	// Rows holds the key column first and then one text for each column.
	Rows [][]string `json:"rows"`
	// Drained lists the backend servers that the table has taken out of service.
	Drained []units.BackendServerID `json:"drained,omitempty"`
}

func (a *api) showTable(ctx *fasthttp.RequestCtx) {
	answer := Table{Columns: table.Columns(), Rows: [][]string{}}
	var rows []*table.Row
	if !a.query(ctx, func(c *entry.Core) {
		answer.Revision, answer.Drained = c.Table.Next(), c.Table.Drained()
		rows = c.Table.UnsortedRows()
	}) {
		return
	}
	table.SortRows(rows)
	for _, column := range answer.Columns {
		answer.Help = append(answer.Help, table.ColumnHelp(column))
	}
	for _, row := range rows {
		cells := make([]string, 0, len(answer.Columns)+1)
		cells = append(cells, string(row.Adapter))
		for _, column := range answer.Columns {
			cells = append(cells, row.Cell(column))
		}
		answer.Rows = append(answer.Rows, cells)
	}
	render.JSON(ctx, fasthttp.StatusOK, answer)
}
