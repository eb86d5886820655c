package entry

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// TestServicesThatLeaveGetNoNewWork checks that an entry VM polls each instance of a
// plain service itself, and avoids one that is leaving or down until a report says
// otherwise. The platform's list shows all of them as live throughout.
func TestServicesThatLeaveGetNoNewWork(t *testing.T) {
	self := event.VM{ID: "entry-1", FailureDomain: "galle", Entry: true, State: event.VMLive}
	instance := func(id, address string) event.VM {
		return event.VM{ID: id, FailureDomain: "galle", Region: "south", Kind: event.KindService, Service: "ledger", State: event.VMLive, Address: address}
	}
	vms := []event.VM{instance("ledger-1", "a"), instance("ledger-2", "b")}
	c := New(Config{Self: self, Incarnation: 1, VMs: vms})
	now := clock.Millis(1000)
	step := func(ev event.Event) int {
		var out event.Effects
		now += 10
		c.Step(now, ev, &out)
		polls := 0
		for _, effect := range out.List {
			if _, ok := effect.(event.PollServer); ok {
				polls++
			}
		}
		return polls
	}
	usable := func() []string {
		var ids []string
		for _, vm := range vms {
			if s := c.Router.Server(units.BackendServerID(vm.ID)); !s.Leaving {
				ids = append(ids, vm.ID)
			}
		}
		return ids
	}
	must.Eq(t, 2, step(event.Tick{}))
	must.Eq(t, 0, step(event.Tick{}))
	must.Eq(t, []string{"ledger-1", "ledger-2"}, usable())
	steps := []struct {
		name  string
		event event.Event
		want  []string
	}{
		{"one leaves", event.ReportReceived{Server: "ledger-1", Report: event.ServerReport{Leaving: true}}, []string{"ledger-2"}},
		{"the list shows the first as live", event.VMsListed{VMs: vms}, []string{"ledger-2"}},
		{"the other gave no answer in time", event.ReportFailed{Server: "ledger-2"}, []string{"ledger-2"}},
		{"the other refuses connections", event.ReportFailed{Server: "ledger-2", Refused: true}, nil},
		{"the other is back", event.ReportReceived{Server: "ledger-2"}, []string{"ledger-2"}},
		{"the first is back", event.ReportReceived{Server: "ledger-1"}, []string{"ledger-1", "ledger-2"}},
	}
	for _, tc := range steps {
		step(tc.event)
		must.Eq(t, tc.want, usable(), must.Sprint(tc.name))
	}
	now += servicePollPeriod
	must.Eq(t, 2, step(event.Tick{}))
}

// poll answers for a backend server. A plain service reports that it is ready.
func (w *testNet) poll(n *testNode, id units.BackendServerID) {
	if e := w.engines[id]; e != nil {
		e.poll(n)
		return
	}
	w.later(n, 2, event.ReportReceived{Server: id, Report: event.ServerReport{Ready: true}, SentAt: n.local(w.now)})
}
