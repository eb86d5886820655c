package homes

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestModelFromDiskIsUsedEarly plays a crash of many backend servers that load their model from their
// own disks, in less time than from the weight store. A report shows the end of a load; until then no
// adapter is loaded there, and no second order for the model is sent.
func TestModelFromDiskIsUsedEarly(t *testing.T) {
	p := New(Policy{})
	p.SetServers(1000, []*topo.Server{testServer("s1")}, testServices(8))
	p.HandleReport(1000, "s1", &topo.Report{})
	orders := p.Step(1010, true).Orders
	must.SliceLen(t, 1, orders)
	p.HandleOrderResult(1010, orders[0], Taken)
	p.services["llm"].Engine.Models[0].Load = 3000
	p.servers["s1"].modelReadyAt = 1010 + 3000
	readyAt := clock.Millis(0)
	for now := clock.Millis(1020); now < 3000; now += 10 {
		plan := p.Step(now, true)
		must.SliceEmpty(t, plan.Orders)
		for range plan.ReportRequests {
			r := &topo.Report{Orders: 1, Busy: now < 1700}
			if !r.Busy {
				r.Models = append(r.Models, testModel)
			}
			p.HandleReport(now, "s1", r)
		}
		if readyAt == 0 && p.servers["s1"].usable(now) {
			readyAt = now
		}
	}
	must.Between(t, 1700, readyAt, 1700+modelReportPeriod+10)
}

// TestRefusedModelLoadIsNoneOfTheBudget plays a crash after which the new process has another id: the
// old one's order is refused. The next server must not wait for the budget, and the old one gets no
// second order at once.
func TestRefusedModelLoadIsNoneOfTheBudget(t *testing.T) {
	p := New(Policy{})
	p.SetServers(1000, []*topo.Server{testServer("s1"), testServer("s2")}, testServices(8))
	p.HandleReport(1000, "s1", &topo.Report{})
	p.HandleReport(1000, "s2", &topo.Report{})
	first := p.Step(1010, true).Orders
	must.SliceLen(t, 1, first)
	p.HandleOrderResult(1012, first[0], Refused)
	second := p.Step(1020, true).Orders
	must.SliceLen(t, 1, second)
	must.NotEq(t, first[0].Server, second[0].Server)
	p.HandleOrderResult(1022, second[0], Taken)
	p.HandleReport(1012+reportDelay, first[0].Server, &topo.Report{})
	must.SliceEmpty(t, p.Step(1012+reportDelay+clock.Second, true).Orders)
}
