package load

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/engine"
	"mangostile/internal/fake/plain"
	"mangostile/internal/fake/reply"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
)

type instantLoader struct{}

func (instantLoader) Load(context.Context, units.AdapterVersion) error { return nil }

// TestRunAgainstOneEngine checks that every call is accounted for: those for the loaded
// adapter are answered, those for the other one refused, and each action ran once.
func TestRunAgainstOneEngine(t *testing.T) {
	// The HTTP library's cleanup goroutines end some seconds later.
	defer goleak.VerifyNone(t,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
	)
	e := &engine.Engine{ID: "engine-1", Loader: instantLoader{}, Slots: 1, Options: engine.Options{StepTime: time.Millisecond}}
	braid := units.AdapterVersion{Adapter: "braid", Version: "v1"}
	must.NoError(t, e.Order(t.Context(), event.Order{Kind: event.OrderLoad, Adapter: braid}))
	service := (&plain.Service{}).NewInstance()
	server, err := reply.Listen("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {
		if path, ok := strings.CutPrefix(string(ctx.Path()), "/services/ledger"); ok {
			ctx.Request.SetRequestURI(path)
			service.Handle(ctx)
			return
		}
		e.Handle(ctx)
	})
	must.NoError(t, err)
	defer server.Close()
	lists, err := reply.Listen("127.0.0.1:0", service.Handle)
	must.NoError(t, err)
	defer lists.Close()
	plan := testPlan()
	plan.Entries, plan.Engines, plan.Services = []string{server.Address()}, []string{server.Address()}, []string{lists.Address()}
	plan.Rate, plan.Duration, plan.RepeatShare = 400, 200*time.Millisecond, 0
	plan.Adapters = []units.AdapterVersion{braid, {Adapter: "letter", Version: "v1"}}
	var progress strings.Builder
	report, err := Run(t.Context(), plan, &progress)
	must.NoError(t, err)
	must.Eq(t, []string(nil), report.Faults())
	whole, refused := 0, 0
	for _, kind := range report.Kinds {
		whole += kind.Whole
		refused += kind.Refused
	}
	must.EqOp(t, 80, whole+refused)
	must.EqOp(t, refused, report.Refusals["adapter_not_loaded ran=no"])
	must.EqOp(t, report.Actions.Keys, report.Actions.Ran)
	must.Positive(t, report.Actions.Ran)
	writeAll(t, report)
}

func writeAll(t *testing.T, report *Report) {
	t.Helper()
	var table strings.Builder
	must.NoError(t, report.WriteTable(&table))
	must.StrContains(t, table.String(), "lost 0, wrong 0")
	for name, write := range map[string]func(string) error{"load.json": report.WriteJSON, "load.png": report.WritePlot} {
		path := filepath.Join(t.TempDir(), name)
		must.NoError(t, write(path))
		info, err := os.Stat(path)
		must.NoError(t, err)
		must.Positive(t, info.Size())
	}
}
