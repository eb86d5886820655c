package entry

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// otherDomainVM is an entry VM of another failure domain.
var otherDomainVM = event.VM{
	ID: "entry-9", Address: "127.0.0.1:9", ServeAddress: "127.0.0.1:99", FailureDomain: "matara", Region: "south", Entry: true, State: event.VMLive,
}

func modelRequest(id units.RequestID) event.Request {
	return event.Request{ID: id, Caller: "guild", Adapter: units.AdapterVersion{Adapter: "braid"}, Idempotent: true}
}

// dispatches returns the dispatches among the effects and clears the effects.
func dispatches(out *event.Effects) []event.Dispatch {
	var found []event.Dispatch
	for _, effect := range out.List {
		if d, ok := effect.(event.Dispatch); ok {
			found = append(found, d)
		}
	}
	out.Reset()
	return found
}

func refusals(out *event.Effects) []*errs.Refusal {
	var found []*errs.Refusal
	for _, effect := range out.List {
		if r, ok := effect.(event.Refuse); ok {
			found = append(found, r.Refusal)
		}
	}
	return found
}

// TestForwardOnlyWhatTheOwnFailureDomainCantServe makes the only engine of the failure
// domain unusable and checks which requests are forwarded.
func TestForwardOnlyWhatTheOwnFailureDomainCantServe(t *testing.T) {
	c, out := startCore(t)
	c.Step(3010, event.VMsListed{VMs: []event.VM{otherDomainVM}}, out)
	c.Step(3011, event.RequestArrived{Request: modelRequest("kept")}, out)
	must.SliceEmpty(t, dispatches(out))

	c.Router.Avoid("engine-1", clock.Hour)
	c.Step(3020, event.RequestArrived{Request: modelRequest("waits")}, out)
	must.SliceEmpty(t, dispatches(out))
	c.Step(3020+forwardDelay, event.Tick{}, out)
	sent := dispatches(out)
	must.SliceLen(t, 1, sent)
	must.True(t, sent[0].Forward)
	must.Eq(t, "127.0.0.1:99", sent[0].Address)
	must.Eq(t, units.AdapterVersion{Adapter: "braid", Version: "v1"}, sent[0].Adapter)

	c.Step(3020+forwardDelay+1, event.RequestArrived{Request: modelRequest("follows")}, out)
	must.SliceLen(t, 1, dispatches(out))

	request := modelRequest("came_from_elsewhere")
	request.Forwarded = true
	c.Step(4500, event.RequestArrived{Request: request}, out)
	c.Step(9000, event.Tick{}, out)
	must.SliceEmpty(t, dispatches(out))
}

// TestForwardedActionIsNotRetriedIfItMayHaveRun checks that an action is forwarded to
// another entry VM only while it definitely did not run, and never after its intent was
// appended here.
func TestForwardedActionIsNotRetriedIfItMayHaveRun(t *testing.T) {
	for _, tc := range []struct {
		name    string
		kind    event.ResultKind
		retried bool
		ran     errs.Ran
	}{
		{"not reached", event.ResultNotSent, true, ""},
		{"refused there", event.ResultNotRun, true, ""},
		{"broke off", event.ResultBroken, false, errs.RanUnknown},
		{"timed out", event.ResultTimeout, false, errs.RanUnknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			other := otherDomainVM
			other.ID, other.FailureDomain = "entry-8", "kandy"
			c := New(Config{
				Self: event.VM{ID: "entry-1", FailureDomain: "galle", Region: "south", Entry: true}, Incarnation: 1,
				VMs: []event.VM{otherDomainVM, other}, Services: map[units.ServiceName]Service{"ledger": {}},
			})
			out := &event.Effects{}
			c.Step(1000, event.RecordsRead{Stream: event.ConfigStream}, out)
			key := "1780000000000-a"
			c.Step(1001, event.RequestArrived{Request: event.Request{ID: "r", Caller: "guild", Service: "ledger", Key: key}}, out)
			first := dispatches(out)
			must.SliceLen(t, 1, first)
			c.Step(1002, event.DispatchDone{Request: "r", Attempt: 1, Result: event.DispatchResult{Kind: tc.kind}}, out)
			refused := refusals(out)
			second := dispatches(out)
			must.Eq(t, tc.retried, len(second) == 1)
			must.Eq(t, !tc.retried, len(refused) == 1)
			if tc.retried {
				must.NotEq(t, first[0].Server, second[0].Server)
				return
			}
			must.Eq(t, tc.ran, refused[0].Ran)
		})
	}
}

// TestForwardedResponseIsNoServiceTime checks that the response time of another failure
// domain is not counted as a service time of this domain's engines.
func TestForwardedResponseIsNoServiceTime(t *testing.T) {
	c, out := startCore(t)
	c.Step(clock.Hour, event.VMsListed{VMs: []event.VM{otherDomainVM}}, out)
	c.Router.Avoid("engine-1", 2*clock.Hour)
	c.Step(clock.Hour+1, event.RequestArrived{Request: modelRequest("r")}, out)
	c.Step(clock.Hour+1+forwardDelay, event.Tick{}, out)
	must.SliceLen(t, 1, dispatches(out))
	c.Step(clock.Hour+2+forwardDelay, event.DispatchDone{Request: "r", Attempt: 1, Result: event.DispatchResult{Kind: event.ResultServed}}, out)
	must.MapEmpty(t, c.requests)

	now := 3 * clock.Hour
	c.Router.ApplySummary(now, peer.ServerSummary{Server: "engine-1", Fence: 9, Running: 8, BatchMax: 4, Slots: 2, Usable: true})
	choice := c.Router.Engine(now, "straw-7b", units.AdapterVersion{Adapter: "braid", Version: "v1"}, nil)
	must.NotNil(t, choice.Server)
	must.Less(t, clock.Minute, choice.QueueWait)
}
