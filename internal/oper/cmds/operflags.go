package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"mangostile/internal/oper/client"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// defaultAdminAddress is the admin address that commands use without --entry.
const defaultAdminAddress = "127.0.0.1:8081"

// operatorFlags returns the flags of all commands that call the admin API.
func operatorFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: "entry", Usage: "admin `ADDRESS` of an entry VM; the first is asked, all are heard on what is in force",
			Sources: cli.EnvVars("MANGOSTILE_ENTRY"), Value: []string{defaultAdminAddress},
		},
		&cli.StringFlag{Name: "token", Usage: "operator's bearer `TOKEN`", Sources: cli.EnvVars("MANGOSTILE_TOKEN")},
	}
}

// newClients returns a client for each address of --entry, at least one, or a usageError.
func newClients(cmd *cli.Command) ([]*client.Client, error) {
	var clients []*client.Client
	for _, address := range cmd.StringSlice("entry") {
		if address != "" {
			clients = append(clients, client.New(address, cmd.String("token")))
		}
	}
	if len(clients) == 0 {
		return nil, &usageError{"no entry VM is named: give --entry ADDRESS"}
	}
	return clients, nil
}

// arguments returns the arguments of cmd, or a usageError unless there is one for each of
// names.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	if cmd.Args().Len() != len(names) {
		return nil, &usageError{fmt.Sprintf("%s takes %d arguments %v, not %d: see --help", cmd.Name, len(names), names, cmd.Args().Len())}
	}
	return cmd.Args().Slice(), nil
}

// operatorAction is the action of a command that calls the admin API. A command that
// needs one entry VM calls the first client.
type operatorAction func(ctx context.Context, cmd *cli.Command, clients []*client.Client) error

func withClients(action operatorAction) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		clients, err := newClients(cmd)
		if err != nil {
			return err
		}
		return action(ctx, cmd, clients)
	}
}

// writeJSON writes value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON")
}
