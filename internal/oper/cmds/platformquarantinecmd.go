package cmds

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"text/tabwriter"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/claim"
	"mangostile/internal/node/fleet"
	"mangostile/platform"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newPlatformQuarantineCmd() *cli.Command {
	store := &cli.StringFlag{Name: "store", Usage: "`ADDRESS` of the platform's store; that of the settings if not given"}
	return &cli.Command{
		Name:  "quarantine",
		Usage: "list and lift quarantines of requests that crash backend servers",
		Flags: []cli.Flag{store},
		Commands: []*cli.Command{
			{
				Name:      "list",
				Usage:     "print the verdicts in the platform's store",
				UsageText: examples("mangostile platform quarantine list", "mangostile platform quarantine list --store 10.0.0.9:7000"),
				Action:    listPlatformQuarantines,
			},
			{
				Name:      "lift",
				Usage:     "let requests with a key run again; list shows the keys",
				ArgsUsage: "KEY",
				UsageText: examples("mangostile platform quarantine lift 00c0ffee00c0ffee"),
				Action:    liftPlatformQuarantine,
			},
		},
	}
}

// quarantineStore returns a client of the store that --store or the settings name.
func quarantineStore(cmd *cli.Command) (*platform.Store, error) {
	if address := cmd.String("store"); address != "" {
		return platform.NewStore(address, nil), nil
	}
	settings, err := platform.ReadSettings(cmd.String("settings"))
	if err != nil {
		return nil, errors.Wrap(err, "name the store with --store ADDRESS or --settings FILE")
	}
	return platform.NewStore(settings.StoreAddress, nil), nil
}

func listPlatformQuarantines(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	store, err := quarantineStore(cmd)
	if err != nil {
		return err
	}
	list, err := store.ReadQuarantines(ctx, 0)
	if err != nil {
		return err
	}
	slices.SortFunc(list.Records, func(a, b fleet.QuarantineRecord) int { return cmp.Compare(b.Remaining, a.Remaining) })
	out := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "key\tstate\tversion\tremaining\tbackend_server")
	for _, r := range list.Records {
		state := "lifted"
		if r.Quarantined {
			state = "quarantined"
		}
		remaining := r.Remaining / clock.Second * clock.Second
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%s\n", r.Key, state, r.Version, remaining, cmp.Or(r.Server, "-"))
	}
	if list.Skipped > 0 {
		fmt.Fprintf(cmd.Root().ErrWriter, "%d records could not be read, or are more than fit the list\n", list.Skipped)
	}
	return errors.Wrap(out.Flush(), "write list")
}

// liftAttempts is the number of attempts to lift while others write verdicts.
const liftAttempts = 5

func liftPlatformQuarantine(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "KEY")
	if err != nil {
		return err
	}
	key, err := blame.ParseKey(args[0])
	if err != nil {
		return &usageError{err.Error()}
	}
	store, err := quarantineStore(cmd)
	if err != nil {
		return err
	}
	for range liftAttempts {
		list, err := store.ReadQuarantines(ctx, 0)
		if err != nil {
			return err
		}
		at := slices.IndexFunc(list.Records, func(r fleet.QuarantineRecord) bool { return r.Key == key })
		if at < 0 {
			return errors.Errorf("no quarantine of %s is in the store, or it has expired: see platform quarantine list", key)
		}
		lifted := list.Records[at].Verdict
		if !lifted.Quarantined {
			fmt.Fprintf(cmd.Root().Writer, "%s is lifted already\n", key)
			return nil
		}
		lifted.Version, lifted.Quarantined, lifted.Reason, lifted.Remaining = lifted.Version+1, false, blame.ReasonLifted, blame.Term
		result, err := store.AppendQuarantine(ctx, list.Next, fleet.NewQuarantineRecord(lifted, clock.WallNow()))
		switch result {
		case claim.Accepted:
			fmt.Fprintf(cmd.Root().Writer, "lifted %s: entry VMs that relay feeds read it within 2 s, all others within 10 s\n", key)
			return nil
		case claim.Conflict, claim.Restored:
			continue
		case claim.Unknown:
			return errors.Wrapf(err, "%s may be lifted, the store gave no answer: see platform quarantine list", key)
		default:
			return errors.Wrapf(err, "%s was not lifted: try again", key)
		}
	}
	return errors.Errorf("%s was not lifted, others write verdicts at the same time: try again", key)
}
