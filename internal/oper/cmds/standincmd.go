package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"mangostile/internal/core/event"
	"mangostile/internal/fake/stand"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// standinSettings is the settings file of the stand-ins.
type standinSettings struct {
	LogAddress    string     `toml:"log_address"`
	VMListAddress string     `toml:"vm_list_address"`
	VMs           []event.VM `toml:"vms"`
}

func newStandinCmd() *cli.Command {
	return &cli.Command{
		Name:      "standin",
		Usage:     "run stand-ins of the platform and of backend servers, for tests and trials",
		UsageText: "mangostile standin --settings standin.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return runStandin(cmd.String("settings"))
		},
	}
}

func runStandin(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings: name an existing file")
	}
	var settings standinSettings
	if err := toml.Unmarshal(text, &settings); err != nil {
		return errors.Wrapf(err, "settings %s", path)
	}
	options := stand.Options{LogAddress: settings.LogAddress, VMListAddress: settings.VMListAddress}
	for _, vm := range settings.VMs {
		if vm.Entry {
			options.EntryVMs = append(options.EntryVMs, vm)
		} else {
			options.Backends = append(options.Backends, vm)
		}
	}
	s, err := stand.Start(options)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Printf("event=standin_started log_address=%s vm_list_address=%s backend_servers=%d\n", s.LogAddress, s.VMListAddress, len(s.Backends))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return nil
}
