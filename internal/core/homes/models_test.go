package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestReturnedEnginesLoadFromTheirDisks answers a fifth of the engines that return empty at once: those that
// have kept the weights get their model in one step, and only the others wait for the weight store.
func TestReturnedEnginesLoadFromTheirDisks(t *testing.T) {
	const engines = 18
	services := map[units.ServiceName]*topo.Service{"llm": {Name: "llm", Engine: &topo.Engine{
		Slots: 96, WeightMB: 35000, LoadsPerSecond: 4, Models: []topo.Model{{Name: "m", WeightMB: 34000, Load: 1000, DiskLoad: 500}},
	}}}
	var list []*topo.Server
	for i := range engines {
		list = append(list, &topo.Server{ID: units.BackendServerID(fmt.Sprintf("e%02d", i)), Service: "llm", Region: "r", Slots: 96, StartedAt: 1})
	}
	p := New(Policy{})
	p.SetServers(clock.Hour, list, services)
	for i, s := range list {
		report := &topo.Report{StartedAt: 1}
		if i%2 == 0 {
			report.OnDisk = []units.ModelName{"m"}
		}
		p.HandleReport(clock.Hour, s.ID, report)
	}
	orders := p.Step(clock.Hour+10, true).Orders
	must.Len(t, engines/2+1, orders)
	for _, o := range orders {
		p.HandleOrderResult(clock.Hour+20, o, Taken)
	}
	must.Eq(t, clock.Hour+20+500, p.servers["e00"].modelReadyAt)
	must.Eq(t, clock.Hour+20+1000, p.servers["e01"].modelReadyAt)
}
