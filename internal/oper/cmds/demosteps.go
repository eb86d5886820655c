package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

func (d *demo) steps() []demoStep {
	return []demoStep{
		{"an edit of the table is in force on every entry VM", d.editTable},
		{"a whole answer comes from the adapter and version named", d.wholeAnswer},
		{"a stream comes whole", d.streamedAnswer},
		{"a caller without a token, or that the table does not allow, is refused and not run", d.refusedCaller},
		{"an unknown adapter is refused and not run", d.unknownAdapter},
		{"an action asked for twice runs once", d.actionTwice},
		{"a changed cell is in force on every entry VM", d.disableAdapter},
		{"a cold adapter gives way to one that is asked for", d.evictCold},
		{"a drained backend server finishes what runs and gets no new work", d.drainEngine},
		{"an instance of a service that says it leaves gets no new calls after 3 s", d.drainService},
		{"nothing that must never happen was counted", d.counters},
	}
}

// editTimeout bounds the time until an edit is active on every entry VM.
const editTimeout = 10 * time.Second

// edit sends cells to one entry VM and waits until they are active on all.
func (d *demo) edit(cells ...event.Cell) (took time.Duration, err error) {
	editCtx, cancel := context.WithTimeout(context.Background(), editTimeout)
	defer cancel()
	if !d.servers[0].Query(editCtx, func(c *entry.Core) {
		for i := range cells {
			cells[i].ReadAt = c.Table.Next()
		}
	}) {
		return 0, errors.New("the entry VM gave no answer in time")
	}
	started := time.Now()
	outcome := d.servers[0].Edit(editCtx, event.Edit{
		ID: units.RecordID("edit-" + uuid.NewString()), Author: "demo", AtMillis: int64(clock.WallNow()), Cells: cells,
	})
	if outcome.Kind != event.EditAccepted {
		return 0, errors.Errorf("edit %s: %s %v", outcome.Kind, outcome.Message, outcome.Faults)
	}
	for _, s := range d.servers {
		if err := waitRevision(editCtx, s, outcome.Offset+1); err != nil {
			return 0, err
		}
	}
	return time.Since(started), nil
}

func (d *demo) editTable() (string, error) {
	var cells []event.Cell
	for _, adapter := range []units.AdapterName{"braid", "letter", "lot", "knot", "brim"} {
		callers := "*"
		if adapter == "lot" {
			callers = demoExporter
		}
		cells = append(cells,
			event.Cell{Adapter: adapter, Column: "base", Value: "straw-7b"},
			event.Cell{Adapter: adapter, Column: "versions", Value: "v1:1"},
			event.Cell{Adapter: adapter, Column: "callers", Value: callers},
		)
	}
	took, err := d.edit(cells...)
	return fmt.Sprintf("%d cells on %d entry VMs after %d ms", len(cells), len(d.servers), took.Milliseconds()), err
}

// disableAdapter turns an adapter off and on again.
func (d *demo) disableAdapter() (string, error) {
	took, err := d.edit(event.Cell{Adapter: "knot", Column: "enabled", Value: "false"})
	if err != nil {
		return "", err
	}
	for entryVM := range d.servers {
		if err := d.checkRefusal(entryVM, demoVillage, "knot", "adapter_disabled"); err != nil {
			return "", err
		}
	}
	_, err = d.edit(event.Cell{Adapter: "knot", Column: "enabled", Value: "true"})
	return fmt.Sprintf("adapter knot refused on %d entry VMs after %d ms", len(d.servers), took.Milliseconds()), err
}

// answer is the response that a caller received.
type answer struct {
	status int
	body   string
	// server is the backend server that answered.
	server string
}

const callTimeout = 20 * time.Second

// call sends one POST request as a caller to an entry VM. Headers alternates names and
// values.
func (d *demo) call(entryVM int, caller, path, body string, headers ...string) (answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + d.serveAddresses[entryVM] + path)
	if caller != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+d.tokens[caller])
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBodyString(body)
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	err := client.DoTimeout(req, resp, callTimeout)
	return answer{resp.StatusCode(), string(resp.Body()), string(resp.Header.Peek("X-Backend-Server"))}, err
}

// complete requests a short completion from an adapter.
func (d *demo) complete(entryVM int, adapter string) (answer, error) {
	got, err := d.call(entryVM, demoExporter, "/v1/completions", `{"model":"`+adapter+`","prompt":"x","max_tokens":3}`)
	if err == nil && got.status != fasthttp.StatusOK {
		err = errors.Errorf("adapter %s: status %d: %s", adapter, got.status, got.body)
	}
	return got, err
}

func (d *demo) wholeAnswer() (string, error) {
	got, err := d.call(0, demoVillage, "/v1/completions", `{"model":"braid@v1","prompt":"seven strand braid","max_tokens":6}`)
	if err != nil {
		return "", err
	}
	const want = "[braid@v1] seven strand braid seven <end>"
	if got.status != fasthttp.StatusOK || !strings.Contains(strings.NewReplacer(`\u003c`, "<", `\u003e`, ">").Replace(got.body), want) {
		return "", errors.Errorf("status %d: %s, wanted %s", got.status, got.body, want)
	}
	return want, nil
}

func (d *demo) streamedAnswer() (string, error) {
	got, err := d.call(1, demoVillage, "/v1/chat/completions", `{"model":"letter","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"dear buyer"}]}`)
	if err != nil {
		return "", err
	}
	chunks := strings.Count(got.body, "data: {")
	if got.status != fasthttp.StatusOK || !strings.HasSuffix(got.body, "data: [DONE]\n\n") || chunks != 13 {
		return "", errors.Errorf("status %d, %d chunks: %s", got.status, chunks, got.body)
	}
	return fmt.Sprintf("%d chunks and the end mark", chunks), nil
}

// checkRefusal checks that a request is refused with a code and was not executed.
func (d *demo) checkRefusal(entryVM int, caller, adapter, code string) error {
	got, err := d.call(entryVM, caller, "/v1/completions", `{"model":"`+adapter+`","prompt":"x"}`)
	if err != nil {
		return err
	}
	if !strings.Contains(got.body, `"code":"`+code+`"`) || !strings.Contains(got.body, `"ran":"no"`) {
		return errors.Errorf("status %d: %s, wanted %s", got.status, got.body, code)
	}
	return nil
}

func (d *demo) refusedCaller() (string, error) {
	if err := d.checkRefusal(0, "", "braid", "unauthorized"); err != nil {
		return "", err
	}
	return "unauthorized and caller_not_allowed, ran: no", d.checkRefusal(0, demoVillage, "lot", "caller_not_allowed")
}

func (d *demo) unknownAdapter() (string, error) {
	return "unknown_adapter, ran: no", d.checkRefusal(2, demoVillage, "nobody", "unknown_adapter")
}

// release sends an action with an idempotency key to the ledger service.
func (d *demo) release(entryVM int, key string) (answer, error) {
	got, err := d.call(entryVM, demoExporter, "/services/ledger/release", `{"fund":"galle-7"}`, "Idempotency-Key", key)
	if err == nil && (got.status != fasthttp.StatusOK || !strings.Contains(got.body, `"run":"1"`)) {
		err = errors.Errorf("status %d: %s", got.status, got.body)
	}
	return got, err
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func (d *demo) actionTwice() (string, error) {
	key := newKey()
	for entryVM := range 2 {
		if _, err := d.release(entryVM, key); err != nil {
			return "", err
		}
	}
	if runs := d.standin.Services["ledger"].Runs()[key]; runs != 1 {
		return "", errors.Errorf("it ran %d times", runs)
	}
	return "both callers got the answer of the one run", nil
}

// evictCold requests more adapters than there are slots and checks that some are evicted.
func (d *demo) evictCold() (string, error) {
	for _, adapter := range []string{"lot", "knot", "brim", "braid", "letter"} {
		if _, err := d.complete(0, adapter); err != nil {
			return "", err
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

// drainEngine drains the engine that serves a stream and lets the stream finish.
func (d *demo) drainEngine() (string, error) {
	first, err := d.complete(0, "braid")
	if err != nil {
		return "", err
	}
	streamed := make(chan error, 1)
	go func() { streamed <- d.longStream() }()
	if err := d.waitBusyEngine(); err != nil {
		return "", err
	}
	drained := d.busyEngine()
	cell := event.Cell{Adapter: units.AdapterName(table.ServerRowPrefix + drained), Column: table.StateColumn, Value: string(event.VMLeaving)}
	if _, err := d.edit(cell); err != nil {
		return "", err
	}
	for i := range 6 {
		got, err := d.complete(i%demoEntryVMs, "braid")
		if err != nil {
			return "", err
		}
		if got.server == drained {
			return "", errors.Errorf("%s, drained, got a request (before: %s)", drained, first.server)
		}
	}
	if err := <-streamed; err != nil {
		return "", err
	}
	cell.Value = string(event.VMLive)
	_, err = d.edit(cell)
	return drained + " finished its stream; 6 requests went elsewhere", err
}

const longStreamTokens = 120

func (d *demo) longStream() error {
	got, err := d.call(0, demoVillage, "/v1/completions", fmt.Sprintf(`{"model":"braid","stream":true,"max_tokens":%d,"prompt":"x"}`, longStreamTokens))
	if err == nil && strings.Count(got.body, "data: {") != longStreamTokens+1 {
		err = errors.Errorf("the stream was cut: %s", got.body)
	}
	return err
}

// busyEngine returns the ID of an engine that executes a request, or "".
func (d *demo) busyEngine() string {
	for _, e := range d.standin.Engines {
		if len(e.Report().Requests) > 0 {
			return e.ID
		}
	}
	return ""
}

func (d *demo) waitBusyEngine() error {
	for end := time.Now().Add(callTimeout); d.busyEngine() == ""; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("the stream did not begin")
		}
	}
	return nil
}

// leaveDelay is the time after which a leaving backend server receives no new requests.
const leaveDelay = 3 * time.Second

// drainService marks ledger-2 as leaving and checks that all calls then reach ledger-1.
func (d *demo) drainService() (string, error) {
	d.standin.Instances["ledger-2"].SetLeaving(true)
	defer d.standin.Instances["ledger-2"].SetLeaving(false)
	time.Sleep(leaveDelay)
	for i := range 6 {
		got, err := d.release(i%demoEntryVMs, newKey())
		if err != nil {
			return "", err
		}
		if got.server != "ledger-1" {
			return "", errors.Errorf("%s, leaving, got a call", got.server)
		}
	}
	return "6 calls went to ledger-1", nil
}

// counters checks that the stand-ins counted no violation of a guarantee.
func (d *demo) counters() (string, error) {
	if counters := d.standin.Counters(); counters.Violations > 0 {
		return "", errors.Errorf("counted %+v", counters)
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
