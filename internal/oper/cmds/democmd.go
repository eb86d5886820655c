package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/stand"
	"mangostile/internal/node/server"
	"mangostile/internal/oper/config"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newDemoCmd() *cli.Command {
	return &cli.Command{
		Name:      "demo",
		Usage:     "run entry VMs and stand-ins in one process on loopback and show what they promise",
		UsageText: examples("mangostile demo", "mangostile demo --verbose"),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "verbose", Usage: "show the entry VMs' log lines"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runDemo(ctx, os.Stdout, cmd.Bool("verbose"))
		},
	}
}

// demo is a running deployment of entry VMs and stand-ins.
type demo struct {
	// tokens maps callers to their tokens. If it is empty, no token is required.
	tokens         map[string]string
	w              io.Writer
	standin        *stand.Set
	servers        []*server.Server
	serveAddresses []string
	adminAddresses []string
	// ended receives the result of each server's Run.
	ended chan error
	// failed counts the steps that failed.
	failed int
}

const demoTimeout = 50 * time.Second

func runDemo(ctx context.Context, w io.Writer, verbose bool) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d := &demo{w: w, tokens: demoTokens}
	if err := d.start(ctx, verbose); err != nil {
		return err
	}
	defer d.standin.Close()
	for _, step := range d.steps() {
		d.runStep(step)
	}
	d.runStep(demoStep{"every entry VM leaves when asked to", d.leave})
	if d.failed > 0 {
		fmt.Fprintf(w, "verdict: %d of the promises shown did not hold\n", d.failed)
		return errors.New("demo failed: see the lines marked FAIL")
	}
	fmt.Fprintln(w, "verdict: every promise shown held")
	return nil
}

// demoStep checks one promise. Its check returns what was seen, as one line.
type demoStep struct {
	promise string
	check   func() (string, error)
}

func (d *demo) runStep(step demoStep) {
	detail, err := step.check()
	if err != nil {
		d.failed++
		fmt.Fprintf(d.w, "FAIL  %s: %v\n", step.promise, err)
		return
	}
	fmt.Fprintf(d.w, "ok    %s: %s\n", step.promise, detail)
}

// Size of the demonstration.
const (
	demoEntryVMs = 3
	demoEngines  = 2
	demoServices = 2
)

// start starts the stand-ins and the entry VMs and waits until all are ready. On an error,
// d has those that were started.
func (d *demo) start(ctx context.Context, verbose bool) (err error) {
	var backends []event.VM
	for i := range demoEngines {
		backends = append(backends, event.VM{
			ID: fmt.Sprintf("engine-%d", i+1), FailureDomain: "galle", Region: "south", Kind: event.KindEngine, Base: "straw-7b",
			ChecksFence: true, Slots: 2, BatchMax: 8,
		})
	}
	for i := range demoServices {
		backends = append(backends, event.VM{
			ID: fmt.Sprintf("ledger-%d", i+1), FailureDomain: "galle", Region: "south", Kind: event.KindService, Service: "ledger",
		})
	}
	if d.standin, err = stand.Start(stand.Options{Backends: backends}); err != nil {
		return err
	}
	logger := hclog.NewNullLogger()
	if verbose {
		logger = hclog.New(&hclog.LoggerOptions{Name: "mangostile", Output: d.w})
	}
	entries, listeners, err := d.entrySettings()
	if err != nil {
		return err
	}
	d.ended = make(chan error, len(entries))
	for i := range entries {
		s, err := newServer(&entries[i], listeners[i], logger)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
		d.serveAddresses = append(d.serveAddresses, entries[i].EntryVM.ServeAddress)
		d.adminAddresses = append(d.adminAddresses, entries[i].EntryVM.AdminAddress)
		go func() { d.ended <- s.Run(ctx) }()
	}
	return d.waitReady(ctx)
}

// entrySettings returns the settings of all entry VMs and the open listeners of their
// addresses.
func (d *demo) entrySettings() ([]config.Settings, []entryListeners, error) {
	settings := make([]config.Settings, demoEntryVMs)
	listeners := make([]entryListeners, demoEntryVMs)
	var vms []event.VM
	for i := range settings {
		own := &settings[i].EntryVM
		*own = config.EntryVM{ID: units.EntryVMID(fmt.Sprintf("entry-%d", i+1)), FailureDomain: "galle", Region: "south"}
		own.ServeAddress, own.PeerAddress, own.AdminAddress = loopbackAnyPort, loopbackAnyPort, loopbackAnyPort
		var err error
		if listeners[i], err = listen(own); err != nil {
			return nil, nil, err
		}
		own.ServeAddress = listeners[i].serve.Addr().String()
		own.PeerAddress = listeners[i].peer.Addr().String()
		own.AdminAddress = listeners[i].admin.Addr().String()
		vms = append(vms, event.VM{
			ID: string(own.ID), Address: own.PeerAddress, ServeAddress: own.ServeAddress, FailureDomain: own.FailureDomain,
			Region: own.Region, State: event.VMLive, Entry: true,
		})
		settings[i].Platform = config.Platform{LogAddress: d.standin.LogAddress, VMListAddress: d.standin.VMListAddress}
		for name, token := range d.tokens {
			settings[i].Callers = append(settings[i].Callers, config.Caller{Name: name, TokenSHA256: tokenDigest(token)})
		}
		settings[i].Services = []config.Service{{Name: "ledger", NotRepeatable: []string{"POST /release"}}}
	}
	d.standin.VMs.Set(append(vms, d.standin.Backends...))
	return settings, listeners, nil
}

const loopbackAnyPort = "127.0.0.1:0"

// The callers of the demonstration and their tokens.
const (
	demoVillage  = "village-app"
	demoExporter = "exporter-app"
)

var demoTokens = map[string]string{demoVillage: "village-token", demoExporter: "exporter-token"}

func (d *demo) waitReady(ctx context.Context) error {
	for _, s := range d.servers {
		for !s.Ready() {
			if ctx.Err() != nil {
				return errors.New("the entry VMs did not become ready: run with --verbose")
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}
