package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"mangostile/internal/fake/engine"
	"mangostile/internal/fake/logs"
	"mangostile/internal/fake/stand"
	"mangostile/internal/fake/store"
	"mangostile/internal/fake/vmlist"
	"mangostile/internal/oper/config"

	"github.com/urfave/cli/v3"
)

func newStandinCmd() *cli.Command {
	return &cli.Command{
		Name:      "standin",
		Usage:     "run stand-ins of the platform and of backend servers, for tests and trials",
		UsageText: examples("mangostile settings example --standin > standin.toml", "mangostile standin --settings standin.toml"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return runStandin(cmd.String("settings"))
		},
	}
}

func runStandin(path string) error {
	settings, err := config.ReadStandin(path)
	if err != nil {
		return err
	}
	s, err := stand.Start(standinOptions(settings))
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Printf(
		"event=standin_started control_address=%s log_address=%s vm_list_address=%s backend_servers=%d\n",
		s.ControlAddress, s.LogAddress, s.VMListAddress, len(s.Backends),
	)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}

func standinOptions(settings *config.Standin) stand.Options {
	options := stand.Options{
		ControlAddress: settings.ControlAddress, LogAddress: settings.LogAddress, VMListAddress: settings.VMListAddress,
		Engine: engine.Options{
			StepTime: millis(settings.Engine.StepMS), StepPerRequest: millis(settings.Engine.StepPerRequestMS),
			PrefillTime: millis(settings.Engine.PrefillMSPerToken), ColdStart: settings.Engine.ColdStartMS, ReportLag: settings.Engine.ReportLagMS,
		},
		Log: logs.Options{AppendsPerSecond: settings.Log.AppendsPerSecond, Retention: settings.Log.RetentionMS},
		Store: store.Options{
			LoadsPerSecond: settings.Store.LoadsPerSecond, FullSpeed: settings.Store.FullSpeed, LoadTime: settings.Store.LoadTimeMS,
		},
		VMList: vmlist.Options{Lag: settings.VMList.LagMS},
	}
	for _, vm := range settings.VMs {
		if vm.Entry {
			options.EntryVMs = append(options.EntryVMs, vm)
		} else {
			options.Backends = append(options.Backends, vm)
		}
	}
	return options
}

// millis returns the duration of ms milliseconds, which may have a fraction.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
