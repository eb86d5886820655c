package cmds

import (
	"context"
	"fmt"

	"mangostile/internal/oper/client"

	"github.com/urfave/cli/v3"
)

func newQuarantineCmd() *cli.Command {
	return &cli.Command{
		Name:  "quarantine",
		Usage: "end the quarantine of a request",
		Commands: []*cli.Command{{
			Name:      "lift",
			Usage:     "let a request run again everywhere; status shows the fingerprints",
			UsageText: examples("mangostile quarantine lift 00c0ffee00c0ffee"),
			Flags:     operatorFlags(),
			Action:    withClients(liftQuarantine),
		}},
	}
}

func liftQuarantine(ctx context.Context, cmd *cli.Command, clients []*client.Client) error {
	args, err := arguments(cmd, "FINGERPRINT")
	if err != nil {
		return err
	}
	if err := clients[0].LiftQuarantine(ctx, args[0]); err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "told to lift the marks against %s: see status\n", args[0])
	return nil
}
