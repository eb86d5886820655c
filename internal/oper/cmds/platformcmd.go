package cmds

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/node/fleet"
	"mangostile/internal/node/lines"
	"mangostile/internal/node/meter"
	"mangostile/platform"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

func newPlatformCmd() *cli.Command {
	return &cli.Command{
		Name:      "platform",
		Usage:     "run one entry VM on the users' platform",
		UsageText: examples("mangostile platform", "mangostile platform --settings node.conf"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` that the platform writes", Value: platform.SettingsPath()},
		},
		Commands: []*cli.Command{newPlatformCheckCmd(), newPlatformQuarantineCmd(), newPlatformServersCmd()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return rejectUnknownCommand(ctx, cmd)
			}
			path := cmd.String("settings")
			settings, err := platform.ReadSettings(path)
			if err != nil {
				return err
			}
			return runPlatform(ctx, settings, path)
		},
	}
}

// memoryLimitShare is the soft memory limit of the Go runtime as a share of the
// machine's memory.
const memoryLimitShare = 0.7

// handleSignals reloads the settings file at SIGHUP and stops the entry VM at other
// signals. If the file has a fault, the active settings stay.
func handleSignals(signals <-chan os.Signal, path string, node *fleet.Node, logger hclog.Logger) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			node.Stop()
			continue
		}
		settings, err := platform.ReadSettings(path)
		if err != nil {
			logger.Warn("settings_not_reloaded", "error", err)
			continue
		}
		node.Reload(settings.Settings)
	}
}

// limitMemory sets the memory limit of the Go runtime for a process with memoryMB, 0 for no limit.
func limitMemory(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB) * (1 << 20)))
	}
}

func runPlatform(ctx context.Context, settings *platform.Settings, path string) error {
	limitMemory(settings.MemoryMB)
	out := lines.New(os.Stdout)
	logger := hclog.New(&hclog.LoggerOptions{Name: "mangostile", Level: hclog.Info, Output: out})
	node := fleet.New(fleet.Options{
		Settings: settings.Settings, System: platform.NewSystem(settings), Logger: logger, Meter: meter.New(),
		Incarnation: units.Incarnation(clock.WallNow()),
	})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go handleSignals(signals, path, node, logger)
	// The log writer outlives ctx, so that the last lines of the node are written.
	group, linesCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	linesCtx, stopLines := context.WithCancel(linesCtx)
	group.Go(func() error { return out.Run(linesCtx) })
	err := node.Run(ctx)
	stopLines()
	if linesErr := group.Wait(); err == nil {
		err = linesErr
	}
	return err
}
