package cmds

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/node/server"
	"mangostile/internal/oper/client"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newExplainCmd() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the decisions on one request",
		UsageText: "mangostile explain --entry ADDRESS,ADDRESS REQUEST_ID\nmangostile explain --log FILE,FILE REQUEST_ID",
		Flags: append(operatorFlags(), &cli.BoolFlag{Name: "json", Usage: "write JSON"},
			&cli.StringSliceFlag{Name: "log", Usage: "read the logs of entry VMs in `FILE`s instead of asking them; - is standard input"}),
		Action: explainAction,
	}
}

// explainAction reads the files of --log, or queries the entry VMs if there are none.
func explainAction(ctx context.Context, cmd *cli.Command) error {
	files := cmd.StringSlice("log")
	if len(files) == 0 {
		return withClients(explainRequest)(ctx, cmd)
	}
	args, err := arguments(cmd, "REQUEST_ID")
	if err != nil {
		return err
	}
	return explainLogs(cmd.Root().Writer, files, args[0])
}

// explainedLine is a decision with the entry VM that made it.
type explainedLine struct {
	EntryVM units.EntryVMID `json:"entry_vm"`
	server.DecisionLine
}

// explanation holds the decisions on one request and where they were looked up.
type explanation struct {
	Request units.RequestID `json:"request"`
	Lines   []explainedLine `json:"lines"`
	Queried []string        `json:"asked"`
	// NotQueried lists entry VMs in the failure domains of the queried ones that were not
	// queried themselves; the owners of backend servers may be among them.
	NotQueried []string `json:"not_asked"`
	// NoAnswer lists addresses that did not answer.
	NoAnswer []string `json:"no_answer,omitempty"`
	// OldestMillis is the time from which on all queried entry VMs still have their lines,
	// in ms since the Unix epoch, or 0 if none has any.
	OldestMillis clock.Millis `json:"oldest_ms"`
}

func explainRequest(ctx context.Context, cmd *cli.Command, clients []*client.Client) error {
	args, err := arguments(cmd, "REQUEST_ID")
	if err != nil {
		return err
	}
	found := &explanation{Request: units.RequestID(args[0])}
	for _, c := range clients {
		found.query(ctx, c)
	}
	if len(found.Queried) == 0 {
		return errors.Errorf("no entry VM answered at %s: check --entry and --token", strings.Join(found.NoAnswer, ", "))
	}
	found.finish()
	if cmd.Bool("json") {
		return writeJSON(cmd.Root().Writer, found)
	}
	return found.print(cmd.Root().Writer)
}

// query adds the decisions of one entry VM and the members of its failure domain. If the
// members can't be read, NotQueried lacks them.
func (e *explanation) query(ctx context.Context, c *client.Client) {
	answer, err := c.Explain(ctx, e.Request)
	if err != nil {
		e.NoAnswer = append(e.NoAnswer, c.Address)
		return
	}
	e.Queried = append(e.Queried, string(answer.EntryVM))
	e.OldestMillis = max(e.OldestMillis, answer.OldestMillis)
	for _, line := range answer.Lines {
		e.Lines = append(e.Lines, explainedLine{EntryVM: answer.EntryVM, DecisionLine: line})
	}
	members, err := c.Members(ctx)
	if err != nil {
		return
	}
	// The first member is the queried entry VM itself.
	for _, m := range members.EntryVMs {
		if m.FailureDomain == members.EntryVMs[0].FailureDomain {
			e.NotQueried = append(e.NotQueried, string(m.ID))
		}
	}
}

// finish sorts the lines by time and removes the queried entry VMs from NotQueried.
func (e *explanation) finish() {
	slices.SortStableFunc(e.Lines, func(a, b explainedLine) int { return cmp.Compare(a.AtMillis, b.AtMillis) })
	e.NotQueried = slices.DeleteFunc(e.NotQueried, func(id string) bool { return slices.Contains(e.Queried, id) })
	slices.Sort(e.NotQueried)
	e.NotQueried = slices.Compact(e.NotQueried)
}

// timestampLayout is the layout of printed times, in UTC.
const timestampLayout = "2006-01-02T15:04:05.000Z"

func formatTimestamp(at clock.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format(timestampLayout)
}

func (e *explanation) print(w io.Writer) error {
	for _, line := range e.Lines {
		fmt.Fprintf(w, "%s  %s  %s  %s\n", formatTimestamp(line.AtMillis), line.EntryVM, line.Area, line.Text)
	}
	if len(e.NotQueried) > 0 {
		fmt.Fprintf(w, "not asked: %s: name their admin addresses in --entry to see what they decided\n", strings.Join(e.NotQueried, ", "))
	}
	if len(e.NoAnswer) > 0 {
		fmt.Fprintf(w, "no answer at %s\n", strings.Join(e.NoAnswer, ", "))
	}
	if len(e.Lines) > 0 {
		return nil
	}
	since := "they keep no lines yet"
	if e.OldestMillis > 0 {
		since = "their lines reach back to " + formatTimestamp(e.OldestMillis)
	}
	return errors.Errorf("no decision on request %s at %s: %s; older ones are in their logs", e.Request, strings.Join(e.Queried, ", "), since)
}
