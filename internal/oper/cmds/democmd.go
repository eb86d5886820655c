package cmds

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/stand"
	"mangostile/internal/node/server"
	"mangostile/internal/oper/config"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

func newDemoCmd() *cli.Command {
	return &cli.Command{
		Name:      "demo",
		Usage:     "run entry VMs and stand-ins in one process on loopback and show what they promise",
		UsageText: "mangostile demo",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "verbose", Usage: "show the entry VMs' log lines"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runDemo(ctx, os.Stdout, cmd.Bool("verbose"))
		},
	}
}

// demo is a running demonstration.
type demo struct {
	w       io.Writer
	standin *stand.Set
	servers []*server.Server
	serve   []string
	admin   []string
	ended   chan error
	failed  int
}

const demoTimeout = 50 * time.Second

func runDemo(ctx context.Context, w io.Writer, verbose bool) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	d := &demo{w: w}
	if err := d.start(ctx, verbose); err != nil {
		return err
	}
	defer d.standin.Close()
	for _, step := range d.steps() {
		d.show(step)
	}
	d.show(demoStep{"every entry VM leaves when asked to", d.leave})
	if d.failed > 0 {
		fmt.Fprintf(w, "verdict: %d of the promises shown did not hold\n", d.failed)
		return errors.New("demo failed: see the lines marked FAIL")
	}
	fmt.Fprintln(w, "verdict: every promise shown held")
	return nil
}

type demoStep struct {
	promise string
	check   func() (string, error)
}

func (d *demo) show(step demoStep) {
	saw, err := step.check()
	if err != nil {
		d.failed++
		fmt.Fprintf(d.w, "FAIL  %s: %v\n", step.promise, err)
		return
	}
	fmt.Fprintf(d.w, "ok    %s: %s\n", step.promise, saw)
}

// Size of the demonstration.
const (
	demoEntryVMs = 3
	demoEngines  = 2
)

func (d *demo) start(ctx context.Context, verbose bool) (err error) {
	var backends []event.VM
	for i := range demoEngines {
		backends = append(backends, event.VM{
			ID: fmt.Sprintf("engine-%d", i+1), FailureDomain: "galle", Region: "south", Kind: event.KindEngine, Base: "straw-7b",
			ChecksFence: true, Slots: 2, BatchMax: 8,
		})
	}
	backends = append(backends, event.VM{ID: "ledger-1", FailureDomain: "galle", Region: "south", Kind: event.KindService, Service: "ledger"})
	if d.standin, err = stand.Start(stand.Options{Backends: backends}); err != nil {
		return err
	}
	logger := hclog.NewNullLogger()
	if verbose {
		logger = hclog.New(&hclog.LoggerOptions{Name: "mangostile", Output: d.w})
	}
	entries, err := d.entrySettings()
	if err != nil {
		return err
	}
	d.ended = make(chan error, len(entries))
	for i := range entries {
		s, err := newServer(&entries[i], logger)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
		d.serve = append(d.serve, entries[i].EntryVM.ServeAddress)
		d.admin = append(d.admin, entries[i].EntryVM.AdminAddress)
		go func() { d.ended <- s.Run(ctx) }()
	}
	return d.waitReady(ctx)
}

// entrySettings returns the settings of all entry VMs with free addresses.
func (d *demo) entrySettings() ([]config.Settings, error) {
	settings := make([]config.Settings, demoEntryVMs)
	var vms []event.VM
	for i := range settings {
		own := &settings[i].EntryVM
		*own = config.EntryVM{ID: units.EntryVMID(fmt.Sprintf("entry-%d", i+1)), FailureDomain: "galle", Region: "south"}
		for _, address := range []*string{&own.ServeAddress, &own.PeerAddress, &own.AdminAddress} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return nil, err
			}
		}
		vms = append(vms, event.VM{
			ID: string(own.ID), Address: own.PeerAddress, ServeAddress: own.ServeAddress, FailureDomain: own.FailureDomain,
			Region: own.Region, State: event.VMLive, Entry: true,
		})
		settings[i].Platform = config.Platform{LogAddress: d.standin.LogAddress, VMListAddress: d.standin.VMListAddress}
		settings[i].Services = []config.Service{{Name: "ledger", NotRepeatable: []string{"POST /release"}}}
	}
	d.standin.VMs.Set(append(vms, d.standin.Backends...))
	return settings, nil
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free address")
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

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

func (d *demo) steps() []demoStep {
	return []demoStep{
		{"an edit of the table is in force on every entry VM", d.editTable},
		{"a whole answer comes from the adapter and version named", d.wholeAnswer},
		{"a stream comes whole", d.streamedAnswer},
		{"an unknown adapter is refused and not run", d.unknownAdapter},
		{"an action asked for twice runs once", d.actionTwice},
		{"a cold adapter gives way to one that is asked for", d.evictCold},
		{"nothing that must never happen was counted", d.counters},
	}
}

func (d *demo) editTable() (string, error) {
	var cells []event.Cell
	for _, adapter := range []units.AdapterName{"braid", "letter", "lot", "knot", "brim"} {
		cells = append(cells,
			event.Cell{Adapter: adapter, Column: "base", Value: "straw-7b"},
			event.Cell{Adapter: adapter, Column: "versions", Value: "v1:1"},
			event.Cell{Adapter: adapter, Column: "callers", Value: "*"},
		)
	}
	limit, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	began := time.Now()
	outcome := d.servers[0].Edit(limit, event.Edit{
		ID: units.RecordID("edit-" + uuid.NewString()), Author: "demo", AtMillis: int64(clock.WallNow()), Cells: cells,
	})
	if outcome.Kind != event.EditAccepted {
		return "", errors.Errorf("edit %s: %s %v", outcome.Kind, outcome.Message, outcome.Faults)
	}
	for _, s := range d.servers {
		if err := waitRevision(limit, s, outcome.Offset+1); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("15 cells on %d entry VMs after %d ms", len(d.servers), time.Since(began).Milliseconds()), nil
}

// call sends one request to an entry VM.
func (d *demo) call(entryVM int, path, body string, headers ...string) (status int, answer string, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + d.serve[entryVM] + path)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBodyString(body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	err = client.DoTimeout(req, resp, 20*time.Second)
	return resp.StatusCode(), string(resp.Body()), err
}

func (d *demo) wholeAnswer() (string, error) {
	status, answer, err := d.call(0, "/v1/completions", `{"model":"braid@v1","prompt":"seven strand braid","max_tokens":6}`)
	if err != nil {
		return "", err
	}
	const want = "[braid@v1] seven strand braid seven <end>"
	if status != fasthttp.StatusOK || !strings.Contains(strings.ReplaceAll(answer, `\u003c`, "<"), "[braid@v1] seven strand braid seven") {
		return "", errors.Errorf("status %d: %s, wanted %s", status, answer, want)
	}
	return want, nil
}

func (d *demo) streamedAnswer() (string, error) {
	status, answer, err := d.call(1, "/v1/chat/completions", `{"model":"letter","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"dear buyer"}]}`)
	if err != nil {
		return "", err
	}
	chunks := strings.Count(answer, "data: {")
	if status != fasthttp.StatusOK || !strings.Contains(answer, "data: [DONE]") || chunks != 13 {
		return "", errors.Errorf("status %d, %d chunks: %s", status, chunks, answer)
	}
	return fmt.Sprintf("%d chunks and the end mark", chunks), nil
}

func (d *demo) unknownAdapter() (string, error) {
	status, answer, err := d.call(2, "/v1/completions", `{"model":"nobody","prompt":"x"}`)
	if err != nil {
		return "", err
	}
	if status != fasthttp.StatusNotFound || !strings.Contains(answer, `"ran":"no"`) {
		return "", errors.Errorf("status %d: %s", status, answer)
	}
	return "unknown_adapter, ran: no", nil
}

func (d *demo) actionTwice() (string, error) {
	key := uuid.Must(uuid.NewV7()).String()
	for entryVM := range 2 {
		status, answer, err := d.call(entryVM, "/services/ledger/release", `{"fund":"galle-7"}`, "Idempotency-Key", key)
		if err != nil {
			return "", err
		}
		if status != fasthttp.StatusOK || !strings.Contains(answer, `"run":"1"`) {
			return "", errors.Errorf("status %d: %s", status, answer)
		}
	}
	if runs := d.standin.Services["ledger"].Runs()[key]; runs != 1 {
		return "", errors.Errorf("it ran %d times", runs)
	}
	return "both callers got the answer of the one run", nil
}

func (d *demo) evictCold() (string, error) {
	for _, adapter := range []string{"lot", "knot", "brim", "braid", "letter"} {
		status, answer, err := d.call(0, "/v1/completions", `{"model":"`+adapter+`","prompt":"x","max_tokens":3}`)
		if err != nil {
			return "", err
		}
		if status != fasthttp.StatusOK {
			return "", errors.Errorf("adapter %s: status %d: %s", adapter, status, answer)
		}
	}
	unloads := 0
	for _, e := range d.standin.Engines {
		unloads += e.Counters().Unloads
	}
	if unloads == 0 {
		return "", errors.New("nothing was evicted")
	}
	return fmt.Sprintf("%d evictions for 5 adapters in %d slots", unloads, 2*demoEngines), nil
}

func (d *demo) counters() (string, error) {
	for _, e := range d.standin.Engines {
		c := e.Counters()
		if c.WrongAdapter+c.EvictedRunning+c.OldOrdersTaken > 0 {
			return "", errors.Errorf("%s counted %+v", e.ID, c)
		}
	}
	if n := d.standin.Services["ledger"].SecondRuns(); n > 0 {
		return "", errors.Errorf("%d second runs", n)
	}
	return "no wrong adapter, no eviction under a run, no old order, no second run", nil
}

func (d *demo) leave() (string, error) {
	for _, s := range d.servers {
		s.Leave()
	}
	for range d.servers {
		if err := <-d.ended; err != nil {
			return "", err
		}
	}
	return "all ended without error", nil
}
