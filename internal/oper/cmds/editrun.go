package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"
	"mangostile/internal/node/admin"
	"mangostile/internal/oper/client"
	"mangostile/internal/oper/sheet"

	"github.com/urfave/cli/v3"
)

// editRun sends one edit, prints its progress and waits until it is active.
type editRun struct {
	w       io.Writer
	clients []*client.Client
	dryRun  bool
	asJSON  bool
	// wait bounds the wait until the edit is active; 0 does not wait.
	wait    time.Duration
	started time.Time
}

func newEditRun(cmd *cli.Command, clients []*client.Client) *editRun {
	return &editRun{
		w: cmd.Root().Writer, clients: clients, dryRun: cmd.Bool("dry-run"), asJSON: cmd.Bool("json"), wait: cmd.Duration("wait"),
		started: time.Now(),
	}
}

// editResult is the outcome of an edit as JSON.
type editResult struct {
	*admin.EditAnswer
	Changes []sheet.Change `json:"changes,omitempty"`
	Rollout *rollout       `json:"in_force,omitempty"`
}

// Limits of printed lines.
const (
	maxPrintedChanges = 40
	maxPrintedFaults  = 40
)

// progress prints one line with the time since the start, but nothing with --json.
func (r *editRun) progress(format string, args ...any) {
	if r.asJSON {
		return
	}
	fmt.Fprintf(r.w, "%6.1fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// run sends changes that are based on the revision readAt and reports the outcome.
func (r *editRun) run(ctx context.Context, changes []sheet.Change, readAt units.Offset) error {
	if !r.asJSON {
		printChanges(r.w, changes)
	}
	if len(changes) == 0 {
		return r.writeResult(&admin.EditAnswer{DryRun: r.dryRun}, nil, nil)
	}
	answer, err := r.send(ctx, client.NewEditRequest(changes, readAt, r.dryRun))
	if err != nil {
		return err
	}
	if answer.Kind != event.EditAccepted {
		return r.writeRejection(answer)
	}
	if r.dryRun {
		return r.writeResult(answer, changes, nil)
	}
	r.progress("accepted %d cells at offset %d as %s", answer.Cells, answer.Offset, answer.Edit)
	if r.wait <= 0 {
		return r.writeResult(answer, changes, nil)
	}
	return r.writeResult(answer, changes, r.waitRollout(ctx, answer.Offset+1))
}

// send sends an edit to the first entry VM and prints a progress line each second while it
// waits. The line names the log service, which stores edits, without checking the cause of
// the delay. Canceling ctx doesn't end the wait, so that the outcome of an edit that was
// sent is still reported; only ctx's deadline and the timeout of Client.Edit end it.
func (r *editRun) send(ctx context.Context, edit *admin.EditRequest) (*admin.EditAnswer, error) {
	type result struct {
		answer *admin.EditAnswer
		err    error
	}
	results := make(chan result, 1)
	go func() {
		answer, err := r.clients[0].Edit(ctx, edit)
		results <- result{answer, err}
	}()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case got := <-results:
			return got.answer, got.err
		case <-ticker.C:
			r.progress("waiting for the log service")
		}
	}
}

func (r *editRun) writeResult(answer *admin.EditAnswer, changes []sheet.Change, status *rollout) error {
	if r.asJSON {
		return writeJSON(r.w, editResult{EditAnswer: answer, Changes: changes, Rollout: status})
	}
	switch {
	case answer.Kind == "":
		fmt.Fprintln(r.w, "nothing to change")
	case r.dryRun:
		fmt.Fprintf(r.w, "dry run: %d cells would be accepted; nothing changed\n", answer.Cells)
	}
	if status != nil {
		r.progress("%s", status)
	}
	return nil
}

// editError reports an edit that changed nothing, or whose outcome is unknown if Kind is
// EditUnknown.
type editError struct{ Kind event.EditKind }

// Error implements error.
func (e *editError) Error() string {
	switch e.Kind {
	case event.EditConflict:
		return "nothing changed: another edit changed some of the cells first: read them again and decide, or import with --overwrite"
	case event.EditUnknown:
		return "the outcome is not known: look at the table's history before you send the edit again"
	case event.EditNotAppended:
		return "nothing changed: the log service did not take the edit"
	default:
		return "nothing changed: mend the cells named above"
	}
}

// writeRejection writes the faults of an edit that was not accepted and returns its
// editError.
func (r *editRun) writeRejection(answer *admin.EditAnswer) error {
	if r.asJSON {
		if err := writeJSON(r.w, editResult{EditAnswer: answer}); err != nil {
			return err
		}
		return &editError{answer.Kind}
	}
	if answer.Message != "" {
		fmt.Fprintln(r.w, answer.Message)
	}
	printFaults(r.w, answer.Faults, answer.FaultCount)
	return &editError{answer.Kind}
}

// rejectInvalid reports faults that were found before the edit was sent; count is their
// number.
func (r *editRun) rejectInvalid(faults []event.CellFault, count int) error {
	answer := &admin.EditAnswer{EditOutcome: event.EditOutcome{Kind: event.EditInvalid, Faults: faults}, FaultCount: count, DryRun: r.dryRun}
	return r.writeRejection(answer)
}

// printFaults prints the first faults and how many of count are left out.
func printFaults(w io.Writer, faults []event.CellFault, count int) {
	for _, fault := range faults[:min(len(faults), maxPrintedFaults)] {
		fmt.Fprintf(w, "row %s, column %s: %q", fault.Adapter, fault.Column, fault.Value)
		if fault.Current != "" {
			fmt.Fprintf(w, " against %q in force", fault.Current)
		}
		fmt.Fprintf(w, ": %s\n", fault.Remedy)
	}
	if rest := count - maxPrintedFaults; rest > 0 {
		fmt.Fprintf(w, "and %d more\n", rest)
	}
}

// printChanges prints deleted rows with -, cells of new rows with + and changed cells with
// ~.
func printChanges(w io.Writer, changes []sheet.Change) {
	for _, c := range changes[:min(len(changes), maxPrintedChanges)] {
		switch {
		case c.Column == table.DeletedColumn:
			fmt.Fprintf(w, "- %s\n", c.Adapter)
		case c.NewRow:
			fmt.Fprintf(w, "+ %s %s = %s\n", c.Adapter, c.Column, c.New)
		default:
			fmt.Fprintf(w, "~ %s %s: %s -> %s\n", c.Adapter, c.Column, orDash(c.Old), orDash(c.New))
		}
	}
	if rest := len(changes) - maxPrintedChanges; rest > 0 {
		fmt.Fprintf(w, "and %d more cells\n", rest)
	}
}

var _ error = (*editError)(nil)
