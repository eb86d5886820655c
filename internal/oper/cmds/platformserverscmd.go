package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
	"mangostile/internal/node/fleet"
	"mangostile/platform"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// serversTimeout bounds the request for the list of backend servers.
const serversTimeout = 5 * clock.Second

func newPlatformServersCmd() *cli.Command {
	return &cli.Command{
		Name:      "servers",
		Usage:     "print what one entry VM knows of the backend servers",
		UsageText: examples("mangostile platform servers", "mangostile platform servers --metrics 10.0.0.9:7390"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "metrics", Usage: "metrics `ADDRESS` of the entry VM; that of the settings if not given"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if _, err := arguments(cmd); err != nil {
				return err
			}
			address, err := metricsAddress(cmd)
			if err != nil {
				return err
			}
			list, err := fetchServers(ctx, address)
			if err != nil {
				return err
			}
			return writeServers(cmd, list)
		},
	}
}

func metricsAddress(cmd *cli.Command) (string, error) {
	if address := cmd.String("metrics"); address != "" {
		return address, nil
	}
	settings, err := platform.ReadSettings(cmd.String("settings"))
	if err != nil {
		return "", errors.Wrap(err, "name the entry VM with --metrics ADDRESS or --settings FILE")
	}
	return settings.MetricsAddress, nil
}

func fetchServers(ctx context.Context, address string) ([]choose.ServerStatus, error) {
	const remedy = "ask for the servers of an entry VM that runs, with --metrics ADDRESS"
	ctx, cancel := context.WithTimeout(ctx, serversTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+fleet.ServersPath, nil)
	if err != nil {
		return nil, errors.Wrap(err, remedy)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, remedy)
	}
	defer func() { _ = resp.Body.Close() }()
	var list []choose.ServerStatus
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, remedy)
	}
	return list, nil
}

func writeServers(cmd *cli.Command, list []choose.ServerStatus) error {
	table := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tSERVICE\tREGION\tSOFTWARE\tREQUESTS\tPACE\tSTATE")
	for i := range list {
		s := &list[i]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", s.Server, s.Service, s.Region, s.Software, s.Active, platformServerPace(s), platformServerState(s))
	}
	return errors.Wrap(table.Flush(), "write the table")
}

// platformServerPace returns the pace of a backend server as a multiple of that of others.
func platformServerPace(s *choose.ServerStatus) string { return fmt.Sprintf("%.2f", cmp.Or(s.Pace, 1)) }

// platformServerState says why a backend server gets no requests, or that it does.
func platformServerState(s *choose.ServerStatus) string {
	var state []string
	if s.Draining {
		state = append(state, "draining")
	}
	if s.Leaving {
		state = append(state, "said that it leaves")
	}
	if s.Backoff > 0 {
		state = append(state, fmt.Sprintf("back-off for %.1f s", float64(s.Backoff)/float64(clock.Second)))
	}
	if s.Window > 0 {
		state = append(state, fmt.Sprintf("has started, window of %d", s.Window))
	}
	if len(state) == 0 {
		return "ready"
	}
	return strings.Join(state, ", ")
}
