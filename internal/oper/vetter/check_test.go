package vetter

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// soundConfig returns a configuration without findings.
func soundConfig() *topo.Config {
	cfg := &topo.Config{
		Version: 3,
		Routes: []topo.Route{
			{Name: "ask", Host: "h.example", PathPrefix: "/ask/", Kind: topo.KindStream, Timeout: 5 * clock.Second, Target: clock.Second, GapTarget: 300, Shares: []topo.Share{{Service: "llm", Weight: 1}}, MaxAttempts: 2},
			{Name: "buy", Host: "h.example", PathPrefix: "/ask/buy/", Kind: topo.KindOnce, Timeout: 2 * clock.Second, Shares: []topo.Share{{Service: "shop", Weight: 1}}, MaxAttempts: 1, Open: true},
		},
		Services: map[units.ServiceName]*topo.Service{
			"llm":  {Name: "llm", Engine: &topo.Engine{Slots: 64, AdapterSlots: 8, WeightMB: 1100, Models: []topo.Model{{Name: "m", WeightMB: 1000, AdapterMB: 12, Adapters: 100}}}},
			"shop": {Name: "shop"},
		},
		Limits:    topo.Limits{BodyBytes: 1 << 20},
		Customers: &topo.Customers{},
	}
	cfg.Customers.Add(&topo.Customer{Name: "first", Quota: topo.Quota{Rate: 100, Burst: 200, ByTokens: true, PlainTokens: 200}}, []string{"key-one"})
	cfg.Customers.Add(&topo.Customer{Name: "second", HasRank: true}, []string{"key-two"})
	return cfg
}

func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(cfg *topo.Config)
		memory units.Bytes
		want   Name
		entry  string
	}{
		{name: "sound", change: func(*topo.Config) {}, memory: 2 << 20},
		{name: "same prefix", change: func(cfg *topo.Config) { cfg.Routes[1].Host, cfg.Routes[1].PathPrefix = "H.example", "/ask/" }, want: RouteShadowed, entry: "buy"},
		{name: "late before the target", change: func(cfg *topo.Config) { cfg.Routes[0].Target = 6 * clock.Second }, want: TargetOverTimeout, entry: "ask"},
		{name: "pause over the time-out", change: func(cfg *topo.Config) { cfg.Routes[0].GapTarget = 6 * clock.Second }, want: GapOverTimeout, entry: "ask"},
		{name: "no route", change: func(cfg *topo.Config) { cfg.Services["old"] = &topo.Service{Name: "old"} }, want: ServiceUnused, entry: "old"},
		{name: "model over the memory", change: func(cfg *topo.Config) { cfg.Services["llm"].Engine.WeightMB = 900 }, want: ModelTooLarge, entry: "llm"},
		{name: "no adapter fits", change: func(cfg *topo.Config) { cfg.Services["llm"].Engine.WeightMB = 1010 }, want: NoRoomForAdapters, entry: "llm"},
		{name: "too few adapters fit", change: func(cfg *topo.Config) { cfg.Services["llm"].Engine.AdapterSlots = 9 }, want: SlotsWithoutMemory, entry: "llm"},
		{name: "no key", change: func(cfg *topo.Config) { cfg.Customers.Add(&topo.Customer{Name: "third"}, nil) }, want: CustomerWithoutKeys, entry: "third"},
		{name: "the same key", change: func(cfg *topo.Config) { cfg.Customers.Add(&topo.Customer{Name: "third"}, []string{"key-one"}) }, want: KeyHeldTwice, entry: "first"},
		{name: "all open", change: func(cfg *topo.Config) { cfg.Routes[0].Open = true }, want: CustomersUnused, entry: "first"},
		{name: "quota below a request", change: func(cfg *topo.Config) {
			cfg.Customers.Add(&topo.Customer{Name: "third", Quota: topo.Quota{Rate: 50, Burst: 100, ByTokens: true, PlainTokens: 200}}, []string{"k"})
		}, want: QuotaBelowRequest, entry: "third"},
		{name: "bodies over the memory", change: func(*topo.Config) {}, memory: 1 << 19, want: BodyOverMemory, entry: KindLimits},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := soundConfig()
			tc.change(cfg)
			list := Check(cfg, Options{Memory: tc.memory})
			if tc.want == "" {
				must.SliceEmpty(t, list)
				return
			}
			must.SliceLen(t, 1, list)
			must.Eq(t, tc.want, list[0].Name)
			must.Eq(t, tc.entry, list[0].Entry)
			must.StrNotContains(t, list[0].Text, "key-")
		})
	}
}

// TestPageNamesEveryFinding checks that the operators' page explains each finding.
func TestPageNamesEveryFinding(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/check_configuration.md")
	must.NoError(t, err)
	for _, name := range Names() {
		must.StrContains(t, string(page), "| `"+string(name)+"` |")
	}
}

func TestDiff(t *testing.T) {
	must.SliceEmpty(t, Diff(soundConfig(), soundConfig()))
	next := soundConfig()
	next.Routes[0].Timeout = 4 * clock.Second
	next.Routes[1].Name = "order"
	next.Services["llm"].Engine.AdapterSlots = 7
	next.Customers = &topo.Customers{}
	next.Customers.Add(&topo.Customer{Name: "first", Quota: topo.Quota{Rate: 50, Burst: 200, ByTokens: true, PlainTokens: 200}}, []string{"key-three"})
	var verbs []string
	for _, c := range Diff(soundConfig(), next) {
		verbs = append(verbs, c.Verb+" "+c.Kind+" "+c.Entry)
		must.StrNotContains(t, c.Text, "key-")
	}
	must.Eq(t, []string{"removed route buy", "removed customer second", "changed route ask", "changed service llm", "changed customer first", "added route order"}, verbs)
}

// TestLargeConfigurationIsCheckedAtOnce guards against a check whose time grows with the square of the
// number of routes.
func TestLargeConfigurationIsCheckedAtOnce(t *testing.T) {
	cfg := soundConfig()
	for i := range 5000 {
		cfg.Routes = append(cfg.Routes, topo.Route{Name: fmt.Sprint("r", i), Host: "h.example", PathPrefix: fmt.Sprintf("/r%d/", i), Shares: []topo.Share{{Service: "shop", Weight: 1}}})
		cfg.Customers.Add(&topo.Customer{Name: units.CustomerName(fmt.Sprint("c", i))}, []string{strings.Repeat("k", 8) + fmt.Sprint(i)})
	}
	at := time.Now()
	must.SliceEmpty(t, Check(cfg, Options{}))
	must.SliceEmpty(t, Diff(cfg, cfg))
	t.Logf("5,000 routes and customers: %s", time.Since(at))
}
