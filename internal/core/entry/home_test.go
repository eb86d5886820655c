package entry

import (
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// TestColdAdapterIsForwardedToHomeDomain checks that a request for a rarely requested
// adapter that is not loaded here is forwarded to the adapter's home domain, and that the
// adapter is loaded here if the home domain refuses.
func TestColdAdapterIsForwardedToHomeDomain(t *testing.T) {
	c, out := startCore(t)
	c.cfg.Self.Region = "south"
	remoteEngine := event.VM{ID: "engine-9", FailureDomain: "matara", Region: "south", Kind: event.KindEngine, Base: "straw-7b", State: event.VMLive}
	c.Step(3010, event.VMsListed{VMs: []event.VM{otherDomainVM, remoteEngine}}, out)
	out.Reset()

	c.Step(3011, event.RequestArrived{Request: modelRequest("first")}, out)
	sent := dispatches(out)
	must.SliceLen(t, 1, sent)
	must.Eq(t, "127.0.0.1:99", sent[0].Address)
	must.Eq(t, units.AdapterVersion{Adapter: "braid", Version: "v1"}, sent[0].Adapter)

	c.Step(3012, event.DispatchDone{Request: "first", Attempt: 1, Result: event.DispatchResult{Kind: event.ResultNotRun}}, out)
	must.Eq(t, "braid", findOrder(t, out, event.OrderLoad).Adapter.Adapter)
}

// TestPopularAdapterIsLoadedHere checks that a request for a frequently requested adapter
// is not forwarded and that the adapter is loaded here.
func TestPopularAdapterIsLoadedHere(t *testing.T) {
	c, out := startCore(t)
	remoteEngine := event.VM{ID: "engine-9", FailureDomain: "matara", Kind: event.KindEngine, Base: "straw-7b", State: event.VMLive}
	sameRegion := otherDomainVM
	sameRegion.Region = ""
	c.Step(3010, event.VMsListed{VMs: []event.VM{sameRegion, remoteEngine}}, out)
	for range 10 {
		c.popularity.Record(3010, units.AdapterVersion{Adapter: "braid", Version: "v1"})
	}
	out.Reset()
	c.Step(3011, event.RequestArrived{Request: modelRequest("often")}, out)
	must.Eq(t, "braid", findOrder(t, out, event.OrderLoad).Adapter.Adapter)
	must.SliceEmpty(t, dispatches(out))
}
