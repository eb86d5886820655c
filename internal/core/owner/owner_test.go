package owner

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/place"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const holder units.EntryVMID = "entry-2"

func version(n int) units.AdapterVersion {
	return units.AdapterVersion{Adapter: units.AdapterName(fmt.Sprint("a", n)), Version: "v1"}
}

// harness connects one owner to one fake engine and holds the undelivered messages.
type harness struct {
	t     must.T
	now   clock.Millis
	owner Owner
	fence units.Fence
	// resident holds the adapters that the engine has loaded, fence its fencing number.
	resident map[units.AdapterVersion]bool
	// loading holds the loads that an earlier owner has ordered.
	loading []units.AdapterVersion
	// running holds the requests that run on the engine.
	running      map[units.RequestID]execution
	orders       []event.OrderServer
	replies      []*peer.GrantReply
	requestCount int
	requested    map[units.RequestID]units.AdapterVersion
}

type execution struct {
	adapter units.AdapterVersion
	grant   units.GrantNumber
}

func newHarness(t must.T) *harness {
	h := &harness{
		t: t, now: 1, resident: map[units.AdapterVersion]bool{}, running: map[units.RequestID]execution{}, requested: map[units.RequestID]units.AdapterVersion{},
		owner: Owner{Self: "entry-1", Incarnation: 1, Budget: place.Budget{Policy: place.Policy{LoadsInFlight: 2}}},
	}
	var out event.Effects
	h.owner.SetServers([]event.VM{{ID: "engine-1", Kind: event.KindEngine, Slots: 2, BatchMax: 3, ChecksFence: true}}, &out)
	h.report()
	h.deliverOrder(0, event.OrderAccepted)
	return h
}

// do calls f and stores the orders and replies that it emits.
func (h *harness) do(f func(out *event.Effects)) {
	var out event.Effects
	f(&out)
	for _, effect := range out.List {
		switch effect := effect.(type) {
		case event.OrderServer:
			h.orders = append(h.orders, effect)
		case event.SendPeer:
			if reply, ok := effect.Message.(*peer.GrantReply); ok {
				if reply.Grant != 0 {
					must.LessEq(h.t, 3, len(h.owner.servers["engine-1"].grants))
				}
				h.replies = append(h.replies, reply)
			}
		}
	}
}

func (h *harness) report() {
	report := event.ServerReport{Start: "1", Ready: true, Fence: h.fence, Slots: 2, BatchMax: 3, Loading: h.loading}
	for n := range 6 {
		if av := version(n); h.resident[av] {
			report.Resident = append(report.Resident, event.ResidentAdapter{AdapterVersion: av, Running: int32(h.runningOn(av))})
		}
	}
	h.do(func(out *event.Effects) {
		h.owner.Reported(h.now, event.ReportReceived{Server: "engine-1", Report: report, SentAt: h.now}, out)
	})
}

func (h *harness) runningOn(av units.AdapterVersion) int {
	n := 0
	for _, r := range h.running {
		if r.adapter == av {
			n++
		}
	}
	return n
}

// deliverOrder executes the undelivered order i and returns the result to the owner.
func (h *harness) deliverOrder(i int, kind event.OrderResultKind) {
	order := h.orders[i]
	h.orders = append(h.orders[:i], h.orders[i+1:]...)
	av := order.Order.Adapter
	switch {
	case h.now >= order.Order.NotAfter:
		kind = event.OrderNotSent
	case kind == event.OrderRefused || kind == event.OrderNoSlot:
	case order.Order.Kind == event.OrderClaim:
		h.fence = order.Order.Fence
	case order.Order.Kind == event.OrderUnload:
		must.Eq(h.t, 0, h.runningOn(av), must.Sprint("evicted ", av, " with a running request"))
		delete(h.resident, av)
	case order.Order.Kind == event.OrderLoad:
		h.resident[av] = true
		must.LessEq(h.t, 2, len(h.resident))
	}
	h.do(func(out *event.Effects) {
		h.owner.OrderDone(h.now, event.OrderDone{
			Server: "engine-1", Order: order.Order, Result: event.OrderResult{Kind: kind, Fence: h.fence}, SentAt: h.now,
		}, out)
	})
}

func (h *harness) requestGrant(n int) {
	h.requestCount++
	id := units.RequestID(fmt.Sprint("r", h.requestCount))
	h.requested[id] = version(n)
	h.do(func(out *event.Effects) {
		h.owner.RequestGrant(h.now, holder, &peer.GrantRequest{Request: id, Attempt: 1, Server: "engine-1", Adapter: version(n), Remaining: 20 * clock.Second}, out)
	})
}

// deliverReply starts a granted request, or loses the reply. The adapter must be loaded.
func (h *harness) deliverReply(i int, lost bool) {
	reply := h.replies[i]
	h.replies = append(h.replies[:i], h.replies[i+1:]...)
	if lost || reply.Grant == 0 {
		return
	}
	av := h.requested[reply.Request]
	must.True(h.t, h.resident[av], must.Sprint("granted ", av, " that is not loaded"))
	h.running[reply.Request] = execution{av, reply.Grant}
}

// finish ends a running request. If lost is set, its release is not delivered.
func (h *harness) finish(lost bool) {
	for n := range h.requestCount + 1 {
		id := units.RequestID(fmt.Sprint("r", n))
		r, ok := h.running[id]
		if !ok {
			continue
		}
		delete(h.running, id)
		if !lost {
			h.do(func(out *event.Effects) {
				h.owner.Release(h.now, holder, &peer.GrantRelease{Request: id, Attempt: 1, Server: "engine-1", Grant: r.grant}, out)
			})
		}
		return
	}
}

func (h *harness) renew() {
	var held []peer.HeldGrant
	for id, r := range h.running {
		held = append(held, peer.HeldGrant{Request: id, Attempt: 1, Server: "engine-1", Adapter: r.adapter, Grant: r.grant})
	}
	h.owner.Renew(h.now, holder, held)
}

// TestNothingRunningIsEvicted checks that no adapter is evicted under a running request,
// with random requests, lost replies and releases, refused and expired orders, expiring
// grants and pauses.
func TestNothingRunningIsEvicted(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch step := rapid.IntRange(0, 12).Draw(t, "step"); {
			case step <= 2:
				h.requestGrant(rapid.IntRange(0, 5).Draw(t, "adapter"))
			case step == 3 && len(h.orders) > 0:
				kind := rapid.SampledFrom([]event.OrderResultKind{event.OrderAccepted, event.OrderAccepted, event.OrderRefused}).Draw(t, "result")
				h.deliverOrder(rapid.IntRange(0, len(h.orders)-1).Draw(t, "order"), kind)
			case step <= 5 && len(h.replies) > 0:
				h.deliverReply(0, rapid.IntRange(0, 9).Draw(t, "lost") == 0)
			case step == 6:
				h.finish(rapid.IntRange(0, 4).Draw(t, "lost") == 0)
			case step == 7:
				h.renew()
			case step == 8:
				h.report()
			default:
				h.now += clock.Millis(rapid.IntRange(1, 3000).Draw(t, "pause"))
				h.do(func(out *event.Effects) { h.owner.Tick(h.now, out) })
				if rapid.Bool().Draw(t, "reports") {
					h.report()
				}
			}
			must.LessEq(t, 2, h.owner.Budget.InFlight())
		}
	})
}

// TestRankIsBounded checks that a request is overtaken only by requests that arrive
// within a bounded time after it, whatever their priorities and weights.
func TestRankIsBounded(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var f fairness
		var now clock.Millis
		type ranked struct {
			at, rank clock.Millis
			priority units.Priority
		}
		var all []ranked
		for range rapid.IntRange(2, 60).Draw(t, "requests") {
			now += clock.Millis(rapid.IntRange(0, 3000).Draw(t, "gap"))
			a := &queuedRequest{}
			a.Adapter = version(rapid.IntRange(0, 3).Draw(t, "adapter"))
			a.Priority = units.Priority(rapid.IntRange(-10, 10).Draw(t, "priority"))
			a.Weight = int32(rapid.IntRange(0, 5).Draw(t, "weight"))
			all = append(all, ranked{now, f.rank(now, a), a.Priority})
		}
		for i, a := range all {
			for _, b := range all[i+1:] {
				if b.at > a.at+maxFairDelay+clock.Millis(b.priority-a.priority)*priorityStep {
					must.Greater(t, a.rank, b.rank)
				}
			}
		}
	})
}

// TestFailingVersionIsRefusedAfterTries checks that requests for a version whose loads all
// fail are refused after OpenAfter tries, rather than wait until their deadline, and that
// one load is tried again after OpenPeriod.
func TestFailingVersionIsRefusedAfterTries(t *testing.T) {
	h := newHarness(t)
	h.requestGrant(0)
	tries := 0
	for len(h.replies) == 0 {
		must.Less(t, 20*clock.Second, h.now)
		if len(h.orders) > 0 {
			tries++
			h.deliverOrder(0, event.OrderRefused)
		}
		h.now += 100
		h.report()
	}
	must.Eq(t, place.OpenAfter, tries)
	must.Eq(t, "adapter_load_failed", string(h.replies[0].Refusal.Code))
	h.replies = nil
	h.requestGrant(0)
	must.SliceLen(t, 1, h.replies, must.Sprint("a version that fails is refused at once"))
	h.now += place.OpenPeriod
	h.report()
	h.requestGrant(0)
	must.SliceLen(t, 1, h.orders, must.Sprint("one load is tried after a while"))
	h.deliverOrder(0, event.OrderAccepted)
	must.Positive(t, h.replies[1].Grant)
}

// TestOrdersToUnreachableServerAreDelayed checks that orders to a server that cannot be
// reached are retried only at RetryPeriod, for a load into a free slot as for the eviction
// before a load. Without the delay the result of each order would start the next one at once.
func TestOrdersToUnreachableServerAreDelayed(t *testing.T) {
	for _, resident := range []int{0, 2} {
		h := newHarness(t)
		for n := range resident {
			h.resident[version(n)] = true
		}
		h.report()
		h.requestGrant(5)
		orders := 0
		for range 40 {
			for len(h.orders) > 0 {
				orders++
				order := h.orders[0]
				h.orders = h.orders[1:]
				h.do(func(out *event.Effects) {
					h.owner.OrderDone(h.now, event.OrderDone{Server: "engine-1", Order: order.Order, Result: event.OrderResult{Kind: event.OrderNotSent}}, out)
				})
				must.Less(t, 20, orders)
			}
			h.now += 50
			h.report()
			h.do(func(out *event.Effects) { h.owner.Tick(h.now, out) })
		}
		must.Between(t, 2, orders, 3)
	}
}

// TestLoadsOfEarlierOwnerTakeSlots takes over an engine while loads of its earlier owner are in
// flight. They take slots that the new owner must not order loads for.
func TestLoadsOfEarlierOwnerTakeSlots(t *testing.T) {
	h := newHarness(t)
	h.loading = []units.AdapterVersion{version(4), version(5)}
	h.report()
	h.requestGrant(1)
	must.SliceEmpty(t, h.orders)
	h.loading = h.loading[:1]
	h.report()
	must.SliceLen(t, 1, h.orders)
	must.Eq(t, version(1), h.orders[0].Order.Adapter)
}

// TestOwnLoadsTakeNoSlotTwice has a report show the owner's own load in flight. Once that load
// has ended and its copy was evicted, the report must not keep its slot taken.
func TestOwnLoadsTakeNoSlotTwice(t *testing.T) {
	h := newHarness(t)
	h.requestGrant(1)
	must.SliceLen(t, 1, h.orders)
	h.loading = []units.AdapterVersion{version(1)}
	h.report()
	s := h.owner.servers["engine-1"]
	must.One(t, s.takenSlots())
	h.deliverOrder(0, event.OrderRefused)
	must.Zero(t, s.takenSlots())
}

// TestFullEngineIsNotTheAdaptersFault has an engine refuse loads for lack of a slot. The
// adapters must not be given up for it, and the next load must wait for a report.
func TestFullEngineIsNotTheAdaptersFault(t *testing.T) {
	h := newHarness(t)
	h.requestGrant(1)
	for range 2 * place.OpenAfter {
		must.SliceLen(t, 1, h.orders)
		h.deliverOrder(0, event.OrderNoSlot)
		must.SliceEmpty(t, h.orders, must.Sprint("a load follows at once"))
		h.now += RetryPeriod
		h.report()
	}
	must.False(t, h.owner.Failures.InBackoff(h.now, version(1)))
	must.SliceEmpty(t, h.replies)
	must.SliceLen(t, 1, h.orders)
	h.deliverOrder(0, event.OrderAccepted)
	must.SliceLen(t, 1, h.replies)
}

// TestResultsFromBeforeTakeUpAreIgnored guards against a slot that counts as free while it is taken: a
// server was given up and taken up again, and the late result of an order from before was taken for that
// of the order after it.
func TestResultsFromBeforeTakeUpAreIgnored(t *testing.T) {
	for _, late := range []event.OrderResultKind{event.OrderLost, event.OrderNotSent, event.OrderAccepted} {
		h := newHarness(t)
		h.requestGrant(1)
		must.SliceLen(t, 1, h.orders)
		must.Eq(t, event.OrderLoad, h.orders[0].Order.Kind)
		spec := h.owner.servers["engine-1"].spec
		h.do(func(out *event.Effects) {
			h.owner.SetServers(nil, out)
			h.owner.SetServers([]event.VM{spec}, out)
		})
		h.report()
		h.deliverOrder(1, event.OrderAccepted)
		h.requestGrant(1)
		must.SliceLen(t, 2, h.orders)
		must.Eq(t, event.OrderLoad, h.orders[1].Order.Kind)
		h.deliverOrder(0, late)
		c := h.owner.servers["engine-1"].copies[version(1)]
		must.NotNil(t, c, must.Sprint(late))
		must.True(t, c.loading, must.Sprint(late))
	}
}
