package cmds

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/node/admin"
	"mangostile/internal/oper/client"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newStatusCmd() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "print what entry VMs say of themselves and their failure domain",
		UsageText: "mangostile status --entry ADDRESS,ADDRESS [--json]",
		Flags:     append(operatorFlags(), &cli.BoolFlag{Name: "json", Usage: "write JSON, a list with one object for each entry VM asked"}),
		Action:    withClients(showStatus),
	}
}

func showStatus(ctx context.Context, cmd *cli.Command, clients []*client.Client) error {
	w := cmd.Root().Writer
	var answers []*admin.Status
	var failed []error
	for _, c := range clients {
		status, err := c.Status(ctx)
		if err != nil {
			failed = append(failed, err)
			continue
		}
		answers = append(answers, status)
	}
	if len(answers) == 0 {
		return failed[0]
	}
	for _, err := range failed {
		fmt.Fprintln(cmd.Root().ErrWriter, err)
	}
	if cmd.Bool("json") {
		return writeJSON(w, answers)
	}
	for i, status := range answers {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := printStatus(w, status); err != nil {
			return err
		}
	}
	return nil
}

func printStatus(w io.Writer, s *admin.Status) error {
	ready := "ready"
	if !s.Ready {
		ready = "not ready"
	}
	fmt.Fprintf(w, "entry VM %s in %s: %s, table of %d rows at revision %d\n", s.EntryVM, s.FailureDomain, ready, s.Adapters, s.Revision)
	fmt.Fprintf(w, "requests: %d queued, %d asking an owner, %d running, %d waiting for the log\n",
		s.Requests.Queued, s.Requests.AwaitingGrant, s.Requests.Running, s.Requests.Intent)
	fmt.Fprintf(w, "refused since it began: %s\n\n", refusalText(s.Refusals))
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "entry_vm\tfailure_domain\tstate\trevision\theard")
	for _, m := range s.EntryVMs {
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\n", m.ID, m.FailureDomain, memberState(&m, s.FailureDomain), memberRevision(&m), lastHeartbeatText(&m))
	}
	printDomains(out, s.Domains)
	fmt.Fprintln(out)
	fmt.Fprintln(out, "backend_server\tserves\towner\tstate\trunning\twaiting\tadapters\tloading")
	for i := range s.Servers {
		b := &s.Servers[i]
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d/%d\t%d\t%d/%d\t%s\n", b.ID, orDash(string(b.Base)+string(b.Service)), orDash(string(b.Owner)),
			serverState(b), b.Running, b.BatchMax, b.Waiting, len(b.Resident), b.Slots, orDash(joinVersions(b.Loading)))
	}
	printMarks(out, s.Marks)
	return errors.Wrap(out.Flush(), "write status")
}

func printMarks(out io.Writer, marks []admin.MarkStatus) {
	if len(marks) == 0 {
		return
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "request\tstate\tcrashes\tbackend_server\tfor")
	for _, m := range marks {
		state := "runs_alone"
		if m.Quarantined {
			state = "quarantined"
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%d s\n", m.Fingerprint, state, m.Crashes, orDash(string(m.Server)), m.Remaining/clock.Second)
	}
}

func printDomains(out io.Writer, domains []admin.DomainReport) {
	if len(domains) == 0 {
		return
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "other_failure_domain\tlowest_revision\tlog_service")
	for _, d := range domains {
		log := "reachable"
		if d.LogUnreachable {
			log = "unreachable"
		}
		fmt.Fprintf(out, "%s\t%d\t%s\n", d.FailureDomain, d.LowestRevision, log)
	}
}

// memberState returns the state of an entry VM as seen from the failure domain own. Entry
// VMs of other failure domains send no heartbeats to it.
func memberState(m *admin.Member, own units.FailureDomain) string {
	switch {
	case m.FailureDomain != own:
		return "elsewhere"
	case !m.Alive:
		return "not_heard"
	case m.Leaving && m.Self:
		// The queried entry VM counts as leaving whenever it is not ready.
		return "not_ready"
	case m.Leaving:
		return "leaving"
	default:
		return "alive"
	}
}

func memberRevision(m *admin.Member) string {
	if !m.HeartbeatReceived {
		return "unknown"
	}
	return fmt.Sprint(m.Revision)
}

func lastHeartbeatText(m *admin.Member) string {
	switch {
	case m.Self:
		return "itself"
	case !m.HeartbeatReceived:
		return "never"
	default:
		return fmt.Sprintf("%d ms ago", m.HeartbeatAge)
	}
}

func serverState(s *admin.ServerStatus) string {
	switch {
	case s.Drained:
		return "drained"
	case s.Leaving:
		return "leaving"
	case s.Usable:
		return "usable"
	default:
		return "not_usable"
	}
}

func joinVersions(versions []units.AdapterVersion) string {
	names := make([]string, len(versions))
	for i, av := range versions {
		names[i] = av.String()
	}
	return strings.Join(names, ",")
}

// refusalText formats the counts of refusals, sorted by code.
func refusalText(counts map[errs.Code]int64) string {
	if len(counts) == 0 {
		return "none"
	}
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, counts[code]))
	}
	return strings.Join(parts, ", ")
}
