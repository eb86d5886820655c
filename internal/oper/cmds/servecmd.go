package cmds

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/place"
	"mangostile/internal/node/admin"
	"mangostile/internal/node/edge"
	"mangostile/internal/node/server"
	"mangostile/internal/oper/config"
	"mangostile/internal/plat/system"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newServeCmd() *cli.Command {
	return &cli.Command{
		Name:      "serve",
		Usage:     "run one entry VM",
		UsageText: examples("mangostile settings example > entry-1.toml", "mangostile serve --settings entry-1.toml"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			settings, err := config.Read(cmd.String("settings"))
			if err != nil {
				return err
			}
			return runServe(ctx, settings)
		},
	}
}

func runServe(ctx context.Context, settings *config.Settings) error {
	logger := hclog.New(&hclog.LoggerOptions{Name: "mangostile", Level: hclog.LevelFromString(settings.Log.Level), Output: os.Stderr})
	s, err := newServer(settings, logger)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	go func() {
		<-signals
		s.Leave()
	}()
	logger.Info("entry_vm_started", "entry_vm", settings.EntryVM.ID, "serve_address", settings.EntryVM.ServeAddress)
	return s.Run(ctx)
}

// newServer returns the entry VM that settings describe, with its listeners
// open.
func newServer(settings *config.Settings, logger hclog.Logger) (*server.Server, error) {
	own := &settings.EntryVM
	var listeners [3]net.Listener
	for i, address := range []string{own.ServeAddress, own.PeerAddress, own.AdminAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "entry VM %s: choose free addresses", own.ID)
		}
		listeners[i] = listener
	}
	return server.New(server.Options{
		Core:          coreConfig(settings),
		Edge:          edgeOptions(settings),
		Logger:        logger,
		System:        system.NewRealSystem(settings.Platform.LogAddress, settings.Platform.VMListAddress),
		ServeListener: listeners[0],
		PeerListener:  listeners[1],
		AdminListener: listeners[2],
		Admin:         admin.New(admin.Options{Operators: operatorNames(settings)}),
	}), nil
}

func coreConfig(settings *config.Settings) entry.Config {
	own := &settings.EntryVM
	cfg := entry.Config{
		Self: event.VM{
			ID: string(own.ID), Address: own.PeerAddress, ServeAddress: own.ServeAddress, FailureDomain: own.FailureDomain,
			Region: own.Region, State: event.VMLive, Entry: true,
		},
		Incarnation: units.Incarnation(clock.WallNow()),
		VMs:         settings.VMs,
		Policy: place.Policy{
			Objective: settings.Policy.Objective, LoadsPerSecond: settings.Policy.LoadsPerSecond,
			LoadsInFlight: settings.Policy.LoadsInFlight, Shares: settings.Policy.FailureDomains,
		},
		Services: map[units.ServiceName]entry.Service{},
	}
	for _, s := range settings.Services {
		cfg.Services[s.Name] = entry.Service{Deadline: s.DeadlineMS}
	}
	return cfg
}

func edgeOptions(settings *config.Settings) edge.Options {
	options := edge.Options{Callers: map[string]units.Caller{}, NotRepeatable: map[units.ServiceName][]string{}}
	for _, caller := range settings.Callers {
		options.Callers[caller.TokenSHA256] = units.Caller(caller.Name)
	}
	for _, s := range settings.Services {
		options.NotRepeatable[s.Name] = s.NotRepeatable
	}
	return options
}

func operatorNames(settings *config.Settings) map[string]string {
	names := map[string]string{}
	for _, operator := range settings.Operators {
		names[operator.TokenSHA256] = operator.Name
	}
	return names
}
