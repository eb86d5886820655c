package cmds

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/table"
	"mangostile/internal/oper/client"
	"mangostile/internal/oper/sheet"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newTableCmd() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "show and change the table of adapters",
		Commands: []*cli.Command{
			newTableExportCmd(),
			newTableHistoryCmd(),
			newTableImportCmd(),
			newTableLintCmd(),
			newTableRevertCmd(),
			newTableSetCmd(),
			newTableShowCmd(),
		},
	}
}

// editFlags returns the flags of all commands that change the table, and more.
func editFlags(more ...cli.Flag) []cli.Flag {
	flags := append(operatorFlags(),
		&cli.BoolFlag{Name: "dry-run", Usage: "show what would change and whether it would be accepted, and change nothing"},
		&cli.BoolFlag{Name: "json", Usage: "write the outcome as JSON"},
		&cli.DurationFlag{Name: "wait", Usage: "how long to wait until the edit is in force; 0 does not wait", Value: 10 * time.Second},
	)
	return append(flags, more...)
}

func formatFlag() cli.Flag {
	return &cli.StringFlag{Name: "format", Usage: "csv, toml or json; that of the file's ending if empty"}
}

func newTableSetCmd() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "change one cell; set state of a row backend_server:ID to leaving to drain it",
		UsageText: examples("mangostile table set braid weight 5", "mangostile table set -- braid priority -3", "mangostile table set backend_server:engine-1 state leaving"),
		Flags: editFlags(
			&cli.Int64Flag{Name: "read-at", Usage: "`REVISION` at which the old value was read; the present one if negative", Value: -1},
		),
		Action: withClients(setCell),
	}
}

func setCell(ctx context.Context, cmd *cli.Command, clients []*client.Client) error {
	args, err := arguments(cmd, "ADAPTER", "COLUMN", "VALUE")
	if err != nil {
		return err
	}
	current, err := clients[0].Table(ctx)
	if err != nil {
		return err
	}
	readAt := units.Offset(cmd.Int64("read-at"))
	if readAt < 0 {
		readAt = current.Revision
	}
	change := sheet.Change{Adapter: units.AdapterName(args[0]), Column: args[1], New: args[2], NewRow: !strings.HasPrefix(args[0], table.ServerRowPrefix)}
	for i := range current.Rows {
		if row := &current.Rows[i]; row.Adapter == change.Adapter {
			change.Old, change.NewRow = current.Cell(row, change.Column), false
		}
	}
	return newEditRun(cmd, clients).run(ctx, []sheet.Change{change}, readAt)
}

func newTableImportCmd() *cli.Command {
	return &cli.Command{
		Name:      "import",
		Usage:     "change the table to what a file says, all of it or nothing",
		UsageText: "mangostile table import FILE",
		Flags: editFlags(
			&cli.BoolFlag{Name: "delete-missing", Usage: "delete rows that the file lacks"},
			formatFlag(),
			&cli.BoolFlag{Name: "overwrite", Usage: "take the file's values also where cells changed since it was exported"},
		),
		Action: withClients(importTable),
	}
}

func importTable(ctx context.Context, cmd *cli.Command, clients []*client.Client) error {
	args, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	wanted, err := readSheet(args[0], cmd.String("format"))
	if err != nil {
		return err
	}
	run := newEditRun(cmd, clients)
	run.progress("read %d rows from %s", len(wanted.Rows), args[0])
	current, err := clients[0].Table(ctx)
	if err != nil {
		return err
	}
	changes, faults := sheet.Diff(current, wanted, cmd.Bool("delete-missing"))
	if len(faults) > 0 {
		return run.rejectInvalid(faults, len(faults))
	}
	run.progress("%d of the cells differ from the table at revision %d", len(changes), current.Revision)
	readAt := wanted.Revision
	if readAt == sheet.NoRevision || cmd.Bool("overwrite") {
		readAt = current.Revision
	}
	return run.run(ctx, changes, readAt)
}

func readSheet(path, format string) (*sheet.Sheet, error) {
	fileFormat, err := sheet.FormatOf(format, path)
	if err != nil {
		return nil, err
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read table: name an existing file")
	}
	defer func() { _ = file.Close() }()
	wanted, err := sheet.Read(file, fileFormat)
	return wanted, errors.Wrap(err, path)
}

func newTableExportCmd() *cli.Command {
	return &cli.Command{
		Name:      "export",
		Usage:     "write the whole table to a file that import takes",
		UsageText: "mangostile table export FILE",
		Flags:     append(operatorFlags(), formatFlag()),
		Action:    withClients(exportTable),
	}
}

func exportTable(ctx context.Context, cmd *cli.Command, clients []*client.Client) error {
	args, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	format, err := sheet.FormatOf(cmd.String("format"), args[0])
	if err != nil {
		return err
	}
	current, err := clients[0].Table(ctx)
	if err != nil {
		return err
	}
	file, err := os.Create(args[0])
	if err != nil {
		return errors.Wrap(err, "export table: choose another file")
	}
	err = current.Write(file, format)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, args[0])
	}
	fmt.Fprintf(cmd.Root().Writer, "%d rows at revision %d\n", len(current.Rows), current.Revision)
	return nil
}

func newTableLintCmd() *cli.Command {
	return &cli.Command{
		Name:      "lint",
		Usage:     "check a file, or the table in force if none is named, for mistakes",
		UsageText: "mangostile table lint [FILE]",
		Flags:     append(operatorFlags(), formatFlag()),
		Action:    withClients(lintTable),
	}
}

func lintTable(ctx context.Context, cmd *cli.Command, clients []*client.Client) (err error) {
	var s *sheet.Sheet
	if cmd.Args().Len() == 0 {
		s, err = clients[0].Table(ctx)
	} else {
		s, err = readSheet(cmd.Args().First(), cmd.String("format"))
	}
	if err != nil {
		return err
	}
	errorCount := 0
	for _, finding := range sheet.Lint(s) {
		fmt.Fprintln(cmd.Root().Writer, finding)
		if !finding.Warning {
			errorCount++
		}
	}
	if errorCount > 0 {
		return errors.Errorf("%d cells are wrong: mend them and lint again", errorCount)
	}
	fmt.Fprintf(cmd.Root().Writer, "%d rows, no errors\n", len(s.Rows))
	return nil
}
