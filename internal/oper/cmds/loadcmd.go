package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/oper/load"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newLoadCmd() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at fixed times and check each answer against its own request",
		UsageText: `mangostile load --entry 127.0.0.1:20101,127.0.0.1:20102 --token village-app-token --rate 50 --for 30s
   mangostile load --entry 127.0.0.1:20101 --token village-app-token --table examples/guild/adapters.csv \
     --standin examples/guild/standin.toml --service ledger --action-path /release --action 10 --json load.json --plot load.png`,
		Flags: loadFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			plan, err := loadPlan(cmd)
			if err != nil {
				return err
			}
			return runLoad(ctx, cmd.Root().Writer, plan, cmd.String("json"), cmd.String("plot"))
		},
	}
}

func loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "entry", Usage: "callers' `ADDRESS` of an entry VM, several with commas", Required: true},
		&cli.StringFlag{Name: "token", Usage: "bearer `TOKEN` of a caller", Sources: cli.EnvVars("MANGOSTILE_CALLER_TOKEN")},
		&cli.StringFlag{Name: "table", Usage: "CSV `FILE` that names the adapters to ask for; without it, those that the entry VM lists"},
		&cli.FloatFlag{Name: "rate", Usage: "new requests a second", Value: 20},
		&cli.DurationFlag{Name: "for", Usage: "time to send requests for", Value: 10 * time.Second},
		&cli.DurationFlag{Name: "warm-up", Usage: "beginning of the run that is checked but not timed"},
		&cli.FloatFlag{Name: "skew", Usage: "exponent of the Zipf popularity, above 1", Value: load.DefaultSkew},
		&cli.DurationFlag{Name: "shift-every", Usage: "time after which other adapters become popular; 0 is never"},
		&cli.IntFlag{Name: "chat", Usage: "share of streamed chats", Value: 7},
		&cli.IntFlag{Name: "letter", Usage: "share of completions in one piece", Value: 2},
		&cli.IntFlag{Name: "lookup", Usage: "share of lookups at the service"},
		&cli.IntFlag{Name: "action", Usage: "share of actions at the service"},
		&cli.FloatFlag{Name: "repeat", Usage: "share of actions whose key is sent twice, 0 to 1", Value: 0.2},
		&cli.StringFlag{Name: "service", Usage: "`NAME` of the plain service"},
		&cli.StringFlag{Name: "action-path", Usage: "`PATH` of actions at the service", Value: "/release"},
		&cli.StringFlag{Name: "lookup-path", Usage: "`PATH` of lookups at the service", Value: "/stock"},
		&cli.IntFlag{Name: "chat-tokens", Usage: "tokens of a chat's answer", Value: load.DefaultChatTokens},
		&cli.IntFlag{Name: "letter-tokens", Usage: "tokens of a letter", Value: load.DefaultLetterTokens},
		&cli.DurationFlag{Name: "deadline", Usage: "time within which a whole answer is of use", Value: load.DefaultDeadline},
		&cli.IntFlag{Name: "max-open", Usage: "requests open at once", Value: load.DefaultMaxOpen},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the schedule", Value: 1},
		&cli.StringFlag{Name: "standin", Usage: "settings `FILE` of the stand-ins whose counters are checked"},
		&cli.StringFlag{Name: "json", Usage: "`FILE` to write the report to"},
		&cli.StringFlag{Name: "plot", Usage: "PNG `FILE` to draw first tokens in"},
	}
}

func loadPlan(cmd *cli.Command) (load.Plan, error) {
	plan := load.Plan{
		Entries: cmd.StringSlice("entry"), Token: cmd.String("token"), Skew: cmd.Float("skew"), ShiftEvery: cmd.Duration("shift-every"),
		Rate: cmd.Float("rate"), Duration: cmd.Duration("for"), WarmUp: cmd.Duration("warm-up"), RepeatShare: cmd.Float("repeat"), Seed: cmd.Uint64("seed"),
		Mix:     load.Mix{Chat: cmd.Int("chat"), Letter: cmd.Int("letter"), Lookup: cmd.Int("lookup"), Action: cmd.Int("action")},
		Service: units.ServiceName(cmd.String("service")), ActionPath: cmd.String("action-path"), LookupPath: cmd.String("lookup-path"),
		ChatTokens: cmd.Int("chat-tokens"), LetterTokens: cmd.Int("letter-tokens"), Deadline: cmd.Duration("deadline"),
		MaxOpen: cmd.Int("max-open"),
	}
	var err error
	if path := cmd.String("table"); path != "" {
		plan.Adapters, err = load.ReadAdapters(path)
	} else if plan.Mix.Chat+plan.Mix.Letter > 0 {
		plan.Adapters, err = load.ListAdapters(plan.Entries[0], plan.Token)
	}
	if err != nil {
		return plan, err
	}
	if path := cmd.String("standin"); path != "" {
		plan.Engines, plan.Services, err = load.ReadStandins(path)
	}
	if err != nil {
		return plan, err
	}
	if err := plan.Check(); err != nil {
		return plan, &usageError{err.Error()}
	}
	return plan, nil
}

// runLoad executes a plan and writes its report. Its error names the violated
// guarantees.
func runLoad(ctx context.Context, w io.Writer, plan load.Plan, jsonPath, plotPath string) error {
	report, err := load.Run(ctx, plan, w)
	if err != nil {
		return err
	}
	if err := report.WriteTable(w); err != nil {
		return err
	}
	if jsonPath != "" {
		if err := report.WriteJSON(jsonPath); err != nil {
			return err
		}
	}
	if plotPath != "" {
		if err := report.WritePlot(plotPath); err != nil {
			return err
		}
	}
	if faults := report.Faults(); len(faults) > 0 {
		return errors.Errorf("%s: see the lines above", faults)
	}
	fmt.Fprintln(w, "verdict: each answer was whole and that of its own request")
	return nil
}
