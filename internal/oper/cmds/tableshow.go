package cmds

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"mangostile/internal/core/table"
	"mangostile/internal/oper/client"
	"mangostile/internal/oper/sheet"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// defaultColumns are shown without --wide and --columns.
var defaultColumns = []string{"base", "versions", "callers", "priority", "enabled"}

func newTableShowCmd() *cli.Command {
	return &cli.Command{
		Name:      "show",
		Usage:     "print the table in force",
		UsageText: "mangostile table show [--filter COLUMN=TEXT] [--sort COLUMN] [--wide]",
		Flags: append(operatorFlags(),
			&cli.StringSliceFlag{Name: "columns", Usage: "`COLUMNS` to show"},
			&cli.StringSliceFlag{Name: "filter", Usage: "rows to show: `COLUMN=TEXT`, or a part of the adapter's name"},
			&cli.StringFlag{Name: "format", Usage: "text, csv, toml or json", Value: "text"},
			&cli.StringFlag{Name: "sort", Usage: "`COLUMN` to sort by; a - before it turns the order", Value: table.AdapterColumn},
			&cli.BoolFlag{Name: "wide", Usage: "show all columns"},
		),
		Action: withClients(showTable),
	}
}

// showTable prints the filtered and sorted table. It queries only the first entry VM, as
// each one has the whole table. --columns and --wide apply only to the format text; the
// others always contain all columns.
func showTable(ctx context.Context, cmd *cli.Command, clients []*client.Client) error {
	current, err := clients[0].Table(ctx)
	if err != nil {
		return err
	}
	if err := filterRows(current, cmd.StringSlice("filter")); err != nil {
		return err
	}
	if err := sortRows(current, cmd.String("sort")); err != nil {
		return err
	}
	if cmd.String("format") != "text" {
		return current.Write(cmd.Root().Writer, sheet.Format(cmd.String("format")))
	}
	columns := defaultColumns
	switch {
	case len(cmd.StringSlice("columns")) > 0:
		columns = cmd.StringSlice("columns")
	case cmd.Bool("wide"):
		columns = current.Columns
	}
	return printRows(cmd.Root().Writer, current, columns)
}

func checkColumn(s *sheet.Sheet, column string) error {
	if column != table.AdapterColumn && s.ColumnIndex(column) < 0 {
		return &usageError{fmt.Sprintf("there is no column %s: use adapter, %s", column, strings.Join(s.Columns, ", "))}
	}
	return nil
}

// filterRows removes the rows that don't match all filters. A filter COLUMN=TEXT matches
// the text of a whole cell, any other a part of the adapter's name.
func filterRows(s *sheet.Sheet, filters []string) error {
	for _, filter := range filters {
		column, text, exact := strings.Cut(filter, "=")
		if exact {
			if err := checkColumn(s, column); err != nil {
				return err
			}
		}
		s.Rows = slices.DeleteFunc(s.Rows, func(row sheet.Row) bool {
			if exact {
				return s.Cell(&row, column) != text
			}
			return !strings.Contains(string(row.Adapter), filter)
		})
	}
	return nil
}

// sortRows sorts by a column, descending after a "-". Two texts that are numbers compare
// as numbers.
func sortRows(s *sheet.Sheet, by string) error {
	column, descending := strings.CutPrefix(by, "-")
	if err := checkColumn(s, column); err != nil {
		return err
	}
	slices.SortStableFunc(s.Rows, func(a, b sheet.Row) int {
		order := compareCells(s.Cell(&a, column), s.Cell(&b, column))
		if descending {
			return -order
		}
		return order
	})
	return nil
}

func compareCells(a, b string) int {
	x, errX := strconv.ParseFloat(a, 64)
	y, errY := strconv.ParseFloat(b, 64)
	switch {
	case errX != nil || errY != nil:
		return strings.Compare(a, b)
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}

func printRows(w io.Writer, s *sheet.Sheet, columns []string) error {
	for _, column := range columns {
		if err := checkColumn(s, column); err != nil {
			return err
		}
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, table.AdapterColumn+"\t"+strings.Join(columns, "\t"))
	for i := range s.Rows {
		cells := []string{string(s.Rows[i].Adapter)}
		for _, column := range columns {
			cells = append(cells, orDash(s.Cell(&s.Rows[i], column)))
		}
		fmt.Fprintln(out, strings.Join(cells, "\t"))
	}
	if err := out.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	if len(s.Drained) > 0 {
		fmt.Fprintf(w, "backend servers drained: %v\n", s.Drained)
	}
	fmt.Fprintf(w, "%d rows at revision %d\n", len(s.Rows), s.Revision)
	return nil
}

// orDash returns "-" for an empty text, so that columns stay apart.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
