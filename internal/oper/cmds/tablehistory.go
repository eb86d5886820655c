package cmds

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"
	"mangostile/internal/oper/client"
	"mangostile/internal/oper/sheet"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newTableHistoryCmd() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     "print the newest edits: offset, when, who, outcome, old and new values",
		UsageText: examples("mangostile table history --adapter braid", "mangostile table history --limit 5 --json"),
		Flags: append(operatorFlags(),
			&cli.StringFlag{Name: "adapter", Usage: "only edits of this `ADAPTER`"},
			&cli.StringFlag{Name: "column", Usage: "only edits of this `COLUMN`"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
			&cli.IntFlag{Name: "limit", Usage: "the newest `N` edits; 0 is all that are kept", Value: 20},
		),
		Action: withClients(showHistory),
	}
}

func showHistory(ctx context.Context, cmd *cli.Command, clients []*client.Client) error {
	history, err := clients[0].History(ctx)
	if err != nil {
		return err
	}
	edits := filterEdits(history.Edits, units.AdapterName(cmd.String("adapter")), cmd.String("column"))
	if limit := cmd.Int("limit"); limit > 0 && len(edits) > limit {
		edits = edits[len(edits)-limit:]
	}
	if cmd.Bool("json") {
		return writeJSON(cmd.Root().Writer, edits)
	}
	for i := range edits {
		printEdit(cmd.Root().Writer, &edits[i])
	}
	fmt.Fprintf(cmd.Root().Writer, "%d edits, table at revision %d\n", len(edits), history.Revision)
	return nil
}

// filterEdits returns the edits that change an adapter and column, reduced to those
// changes. An empty name matches all.
func filterEdits(edits []table.HistoryEntry, adapter units.AdapterName, column string) []table.HistoryEntry {
	if adapter == "" && column == "" {
		return edits
	}
	var kept []table.HistoryEntry
	for _, edit := range edits {
		var changes []table.Change
		for _, c := range edit.Changes {
			if (adapter == "" || c.Adapter == adapter) && (column == "" || c.Column == column) {
				changes = append(changes, c)
			}
		}
		if len(changes) > 0 {
			edit.Changes = changes
			kept = append(kept, edit)
		}
	}
	return kept
}

func printEdit(w io.Writer, edit *table.HistoryEntry) {
	fmt.Fprintf(w, "offset %d  %s  %s  %s  %s\n", edit.Offset, formatTimestamp(clock.Millis(edit.AtMillis)), edit.Author, edit.Kind, edit.Edit)
	for _, c := range edit.Changes[:min(len(edit.Changes), maxPrintedChanges)] {
		if c.Column == table.DeletedColumn {
			fmt.Fprintf(w, "    %s deleted\n", c.Adapter)
			continue
		}
		fmt.Fprintf(w, "    %s %s: %s -> %s\n", c.Adapter, c.Column, orDash(c.Old), orDash(c.New))
	}
	if rest := edit.More + max(0, len(edit.Changes)-maxPrintedChanges); rest > 0 {
		fmt.Fprintf(w, "    and %d more cells\n", rest)
	}
}

func newTableRevertCmd() *cli.Command {
	return &cli.Command{
		Name:      "revert",
		Usage:     "undo an edit of the history by a new edit, if its cells have not changed since",
		UsageText: "mangostile table revert OFFSET",
		Flags: editFlags(
			&cli.BoolFlag{Name: "overwrite", Usage: "undo it also where cells changed since"},
		),
		Action: withClients(revertEdit),
	}
}

func revertEdit(ctx context.Context, cmd *cli.Command, clients []*client.Client) error {
	args, err := arguments(cmd, "OFFSET")
	if err != nil {
		return err
	}
	offset, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil {
		return &usageError{fmt.Sprintf("offset %q is no number: take one that table history prints", args[0])}
	}
	history, err := clients[0].History(ctx)
	if err != nil {
		return err
	}
	edit, err := findEdit(history.Edits, units.Offset(offset))
	if err != nil {
		return err
	}
	// The cells conflict if they changed after the edit.
	readAt := edit.Offset + 1
	if cmd.Bool("overwrite") {
		readAt = history.Revision
	}
	return newEditRun(cmd, clients).run(ctx, sheet.Revert(edit), readAt)
}

// findEdit returns the edit at an offset, or an error if it is not in the history or
// can't be undone.
func findEdit(edits []table.HistoryEntry, offset units.Offset) (*table.HistoryEntry, error) {
	for i := range edits {
		edit := &edits[i]
		switch {
		case edit.Offset != offset:
			continue
		case edit.Kind != event.EditAccepted:
			return nil, errors.Errorf("the edit at offset %d changed nothing (%s): there is nothing to undo", offset, edit.Kind)
		case edit.More > 0:
			return nil, errors.Errorf("the history keeps only %d cells of the edit at offset %d: import a file that was exported before it, with --overwrite", len(edit.Changes), offset)
		}
		return edit, nil
	}
	return nil, errors.Errorf("the history holds no edit at offset %d: take one that table history prints, or import a file that was exported before it", offset)
}
