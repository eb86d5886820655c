package entry

import (
	"fmt"
	"maps"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// testEngine is a stand-in for a model engine in a testNet.
type testEngine struct {
	net      *testNet
	vm       event.VM
	starts   int
	fence    units.Fence
	resident map[units.AdapterVersion]bool
	// running holds the adapter of each running request.
	running map[units.RequestID]units.AdapterVersion
	// evictedRunning and staleOrders must stay 0. staleOrders counts the accepted loads
	// and evictions with a smaller fencing number than an earlier one.
	evictedRunning, staleOrders int
	// missing counts the requests that arrived for an adapter that was not loaded.
	loads, unloads, missing int
	// crasher is the key of the request that crashes the engine.
	crasher string
	// holders lists the entry VMs whose orders raised the fencing number.
	holders []units.EntryVMID
}

func newTestEngine(w *testNet, vm event.VM) *testEngine {
	e := &testEngine{net: w, vm: vm}
	e.restart()
	return e
}

func (e *testEngine) restart() {
	e.starts++
	e.resident = map[units.AdapterVersion]bool{}
	e.running = map[units.RequestID]units.AdapterVersion{}
}

// Delays of a test engine.
const (
	testLoadTime = 300 * clock.Millis(1)
	testRunTime  = 1500 * clock.Millis(1)
)

func (e *testEngine) order(n *testNode, effect event.OrderServer) {
	order := effect.Order
	sentAt := n.local(e.net.now)
	done := event.OrderDone{Server: effect.Server, Order: order, SentAt: sentAt, Result: event.OrderResult{Kind: event.OrderAccepted}}
	delay := clock.Millis(2)
	switch {
	case sentAt > order.NotAfter:
		done.Result.Kind = event.OrderNotSent
	case order.Fence < e.fence && e.vm.ChecksFence:
		done.Result = event.OrderResult{Kind: event.OrderFenced, Fence: e.fence}
	default:
		delay += e.accept(order, &done)
	}
	e.net.later(n, delay, done)
}

func (e *testEngine) accept(order event.Order, done *event.OrderDone) clock.Millis {
	if order.Fence < e.fence {
		e.staleOrders++
	}
	if order.Fence > e.fence {
		e.holders = append(e.holders, order.Holder)
	}
	e.fence = max(e.fence, order.Fence)
	switch order.Kind {
	case event.OrderLoad:
		if len(e.resident) >= int(e.vm.Slots) {
			done.Result.Kind = event.OrderRefused
			return 0
		}
		e.loads++
		e.resident[order.Adapter] = true
		return testLoadTime
	case event.OrderUnload:
		e.unloads++
		for _, av := range e.running {
			if av == order.Adapter {
				e.evictedRunning++
			}
		}
		delete(e.resident, order.Adapter)
	case event.OrderClaim, event.OrderRole:
	}
	return 0
}

func (e *testEngine) poll(n *testNode) {
	report := event.ServerReport{
		Start: fmt.Sprint(e.starts), Ready: true, Slots: e.vm.Slots, BatchMax: e.vm.BatchMax, Running: int32(len(e.running)),
	}
	if e.vm.ChecksFence {
		report.Fence = e.fence
	}
	for _, av := range slices.SortedFunc(maps.Keys(e.resident), func(a, b units.AdapterVersion) int { return slices.Compare([]byte(a.String()), []byte(b.String())) }) {
		r := event.ResidentAdapter{AdapterVersion: av}
		for _, running := range e.running {
			if running == av {
				r.Running++
			}
		}
		report.Resident = append(report.Resident, r)
	}
	e.net.later(n, 2, event.ReportReceived{Server: units.BackendServerID(e.vm.ID), Report: report, SentAt: n.local(e.net.now)})
}

func (e *testEngine) run(n *testNode, d event.Dispatch) {
	done := event.DispatchDone{Request: d.Request, Attempt: d.Attempt}
	switch {
	case d.NotAfter != 0 && n.local(e.net.now) > d.NotAfter:
		done.Result.Kind = event.ResultNotSent
	case !e.resident[d.Adapter]:
		e.missing++
		done.Result.Kind = event.ResultAdapterMissing
	case e.crasher != "" && e.net.keys[d.Request] == e.crasher:
		e.restart()
		done.Result.Kind = event.ResultBroken
	default:
		e.finish(n, d, done)
		return
	}
	e.net.later(n, 2, done)
}

// finish ends a request after its run time, as broken if the engine crashed meanwhile.
func (e *testEngine) finish(n *testNode, d event.Dispatch, done event.DispatchDone) {
	e.running[d.Request] = d.Adapter
	start := e.starts
	e.net.after(e.net.runTime, func() {
		done.Result.Kind = event.ResultBroken
		if e.starts == start {
			delete(e.running, d.Request)
			done.Result.Kind = event.ResultServed
		}
		e.net.later(n, 1, done)
		if done.Result.Kind == event.ResultServed {
			e.net.ended[d.Request] = d
		}
	})
}
