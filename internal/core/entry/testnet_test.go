package entry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// testNet connects several cores by links that lose, delay and cut off messages, and is a
// stand-in for the log service, model engines and one plain service. Its time is virtual.
type testNet struct {
	now      clock.Millis
	sequence int
	queue    jobQueue
	random   *rand.Rand
	vms      []event.VM
	services map[units.ServiceName]Service
	nodes    map[units.EntryVMID]*testNode
	engines  map[units.BackendServerID]*testEngine
	log      testLog
	// cut holds one-way links that lose all messages, as "a>b".
	cut map[string]bool
	// loss is the fraction of messages lost on each link.
	loss float64
	// runsOfKey and runsOfRequest count the executions by the plain service, by key and
	// by request.
	runsOfKey     map[string]int
	runsOfRequest map[units.RequestID]int
	// keys holds the idempotency key of each action and the fingerprint of each model
	// request.
	keys map[units.RequestID]string
	// loseResponses breaks the connections of the plain service after it has run.
	loseResponses bool
	// refusedNotRun holds the refusals with ran: no.
	refusedNotRun map[units.RequestID]*event.Refuse
	// ended holds the effect that ended each request: the Dispatch that an engine served, a
	// Refuse or a Replay. It lacks the actions that the plain service served.
	ended    map[units.RequestID]event.Effect
	edits    map[units.RecordID]event.EditOutcome
	messages map[string]int
	// bytes counts the encoded bytes by message type if it is not nil.
	bytes     map[string]int
	runTime   clock.Millis
	decisions []event.Decision
}

type job struct {
	at       clock.Millis
	sequence int
	run      func()
}

type jobQueue []job

func (q jobQueue) Len() int { return len(q) }
func (q jobQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *jobQueue) Push(x any)   { *q = append(*q, x.(job)) }
func (q *jobQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type testNode struct {
	vm          event.VM
	core        *Core
	incarnation units.Incarnation
	// rate is the speed of the node's clock in thousandths.
	rate        clock.Millis
	pausedUntil clock.Millis
	dead        bool
	left        bool
	logCut      bool
	deferred    []event.Event
	tails       map[units.StreamName]*testTail
}

type testTail struct {
	next  units.Offset
	first bool
}

func (n *testNode) local(now clock.Millis) clock.Millis {
	return clock.Hour + now*n.rate/1000
}

type testLog struct {
	streams map[units.StreamName]*testStream
	// The log's faults: refuses rejects all calls, hangs fails reads and drops appends,
	// and losesReplies accepts appends but loses the confirmation.
	refuses, hangs, losesReplies bool
	retention                    clock.Millis
}

type testStream struct {
	records []peer.Record
	first   units.Offset
}

func newTestNet(seed uint64) *testNet {
	return &testNet{
		random: rand.New(rand.NewPCG(seed, 1)), nodes: map[units.EntryVMID]*testNode{},
		services: map[units.ServiceName]Service{"ledger": {Deadline: 5 * clock.Second}},
		engines:  map[units.BackendServerID]*testEngine{}, log: testLog{streams: map[units.StreamName]*testStream{}},
		cut: map[string]bool{}, runsOfKey: map[string]int{}, runsOfRequest: map[units.RequestID]int{},
		keys: map[units.RequestID]string{}, refusedNotRun: map[units.RequestID]*event.Refuse{},
		ended: map[units.RequestID]event.Effect{}, edits: map[units.RecordID]event.EditOutcome{}, messages: map[string]int{}, runTime: testRunTime,
	}
}

func (w *testNet) after(delay clock.Millis, run func()) {
	w.sequence++
	heap.Push(&w.queue, job{at: w.now + delay, sequence: w.sequence, run: run})
}

// runFor runs the jobs that are due within d.
func (w *testNet) runFor(d clock.Millis) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(job)
		w.now = max(w.now, next.at)
		next.run()
	}
	w.now = end
}

// addDomain adds entry VMs, one instance of the plain service and engines, some checking
// and some ignoring fencing numbers.
func (w *testNet) addDomain(domain units.FailureDomain, entries, checking, ignoring int) {
	w.vms = append(w.vms, event.VM{ID: "ledger-" + string(domain), FailureDomain: domain, Kind: event.KindService, Service: "ledger", State: event.VMLive})
	for i := range checking + ignoring {
		vm := event.VM{
			ID: fmt.Sprintf("engine-%s-%d", domain, i), FailureDomain: domain, Kind: event.KindEngine, Base: "straw-7b",
			State: event.VMLive, ChecksFence: i < checking, Slots: 2, BatchMax: 4,
		}
		w.vms = append(w.vms, vm)
		w.engines[units.BackendServerID(vm.ID)] = newTestEngine(w, vm)
	}
	for i := range entries {
		vm := event.VM{ID: fmt.Sprintf("entry-%s-%d", domain, i), FailureDomain: domain, Entry: true, State: event.VMLive}
		w.vms = append(w.vms, vm)
		w.nodes[units.EntryVMID(vm.ID)] = &testNode{vm: vm, rate: 990 + clock.Millis(w.random.IntN(21))}
	}
}

// start starts or restarts a node with empty state.
func (w *testNet) start(id units.EntryVMID) {
	n := w.nodes[id]
	n.incarnation++
	n.dead, n.left, n.pausedUntil, n.deferred = false, false, 0, nil
	n.tails = map[units.StreamName]*testTail{}
	n.core = New(Config{Self: n.vm, Incarnation: n.incarnation, VMs: w.vms, Services: w.services})
	w.tick(n, n.incarnation)
}

func (w *testNet) startAll() {
	for _, vm := range w.vms {
		if vm.Entry {
			w.start(units.EntryVMID(vm.ID))
		}
	}
}

func (w *testNet) tick(n *testNode, incarnation units.Incarnation) {
	if n.incarnation != incarnation || n.dead {
		return
	}
	w.step(n, event.Tick{})
	for stream := range n.tails {
		w.read(n, stream)
	}
	w.after(event.TickPeriod, func() { w.tick(n, incarnation) })
}

// step passes an event to a node or, while the node is paused, defers it in order.
func (w *testNet) step(n *testNode, ev event.Event) {
	if len(n.deferred) > 0 || w.now < n.pausedUntil {
		n.deferred = append(n.deferred, ev)
		if len(n.deferred) == 1 {
			w.resume(n, n.incarnation)
		}
		return
	}
	w.stepNow(n, ev)
}

// resume passes on the deferred events when the pause ends.
func (w *testNet) resume(n *testNode, incarnation units.Incarnation) {
	w.after(max(1, n.pausedUntil-w.now), func() {
		switch {
		case n.incarnation != incarnation:
		case w.now < n.pausedUntil:
			w.resume(n, incarnation)
		default:
			deferred := n.deferred
			n.deferred = nil
			for _, ev := range deferred {
				w.stepNow(n, ev)
			}
		}
	})
}

func (w *testNet) stepNow(n *testNode, ev event.Event) {
	if n.dead || n.core == nil {
		return
	}
	var out event.Effects
	n.core.Step(n.local(w.now), ev, &out)
	for _, effect := range out.List {
		w.execute(n, effect)
	}
}

// later passes an event to the current incarnation of a node after a delay.
func (w *testNet) later(n *testNode, delay clock.Millis, ev event.Event) {
	incarnation := n.incarnation
	w.after(delay, func() {
		if n.incarnation == incarnation {
			w.step(n, ev)
		}
	})
}

// whenResumed runs f after 1 ms, or as soon as n is no longer paused, unless n restarts
// first.
func (w *testNet) whenResumed(n *testNode, f func()) {
	incarnation := n.incarnation
	w.after(1, func() {
		switch {
		case n.incarnation != incarnation || n.dead:
		case w.now < n.pausedUntil:
			w.whenResumed(n, f)
		default:
			f()
		}
	})
}

func (w *testNet) execute(n *testNode, effect event.Effect) {
	switch effect := effect.(type) {
	case event.SendPeer:
		w.send(n, effect)
	case event.AppendRecord:
		w.whenResumed(n, func() { w.append(n, effect) })
	case event.TailStream:
		n.tails[effect.Stream] = &testTail{next: effect.From, first: true}
	case event.StopTail:
		delete(n.tails, effect.Stream)
	case event.OrderServer:
		w.whenResumed(n, func() { w.engines[effect.Server].order(n, effect) })
	case event.PollServer:
		w.whenResumed(n, func() { w.poll(n, effect.Server) })
	case event.Dispatch:
		w.whenResumed(n, func() { w.dispatch(n, effect) })
	case event.Refuse:
		w.ended[effect.Request] = effect
		if effect.Refusal.Ran == "no" {
			w.refusedNotRun[effect.Request] = &effect
		}
	case event.Replay:
		w.ended[effect.Request] = effect
	case event.AnswerEdit:
		w.edits[effect.Edit] = effect.Outcome
	case event.Decision:
		w.decisions = append(w.decisions, effect)
	case event.LeaveDone:
		n.left, n.dead = true, true
	case event.CancelDispatch:
	}
}

func (w *testNet) send(n *testNode, send event.SendPeer) {
	to := w.nodes[send.To]
	w.messages[fmt.Sprintf("%T", send.Message)]++
	if w.bytes != nil {
		w.count(send.Message)
	}
	if to == nil || w.cut[n.vm.ID+">"+to.vm.ID] || w.random.Float64() < w.loss {
		return
	}
	w.later(to, 1+clock.Millis(w.random.IntN(4)), event.PeerReceived{From: units.EntryVMID(n.vm.ID), Message: send.Message})
}

func (w *testNet) append(n *testNode, effect event.AppendRecord) {
	done := event.AppendDone{Stream: effect.Stream, ID: effect.ID, Result: event.AppendAccepted}
	switch {
	case w.log.refuses || n.logCut:
		done.Result = event.AppendRefused
	case w.log.hangs:
		done.Result = event.AppendUnknown
	default:
		done.Offset = w.log.add(w.now, effect)
		if w.log.losesReplies {
			done.Result, done.Offset = event.AppendUnknown, 0
		}
	}
	w.later(n, 5+clock.Millis(w.random.IntN(20)), done)
}

func (l *testLog) stream(name units.StreamName) *testStream {
	if l.streams[name] == nil {
		l.streams[name] = &testStream{}
	}
	return l.streams[name]
}

// testEpoch is the log service's wall clock at the start of a test.
const testEpoch clock.Millis = 1_780_000_000_000

func (l *testLog) add(now clock.Millis, r event.AppendRecord) units.Offset {
	s := l.stream(r.Stream)
	offset := s.first + units.Offset(len(s.records))
	s.records = append(s.records, peer.Record{Offset: offset, ID: r.ID, At: testEpoch + now, Body: r.Body})
	return offset
}

func (w *testNet) read(n *testNode, name units.StreamName) {
	tail := n.tails[name]
	if w.log.refuses || w.log.hangs || n.logCut {
		w.later(n, 1, event.StreamUnreachable{Stream: name})
		return
	}
	s := w.log.stream(name)
	for w.log.retention > 0 && len(s.records) > 0 && s.records[0].At < testEpoch+w.now-w.log.retention {
		s.records = s.records[1:]
		s.first++
	}
	end := s.first + units.Offset(len(s.records))
	if tail.next < s.first {
		w.later(n, 1, event.StreamGap{Stream: name, From: tail.next, Oldest: s.first})
		tail.next = s.first
	}
	if tail.next >= end && !tail.first {
		return
	}
	tail.first = false
	records := s.records[min(tail.next, end)-s.first:]
	w.later(n, 1, event.RecordsRead{Stream: name, Records: records, Next: max(end, tail.next), End: end})
	tail.next = max(end, tail.next)
}

func (w *testNet) dispatch(n *testNode, d event.Dispatch) {
	if engine := w.engines[d.Server]; engine != nil {
		engine.run(n, d)
		return
	}
	result := event.DispatchResult{Kind: event.ResultServed, Status: 200, Body: []byte("done")}
	if n.local(w.now) > d.Deadline {
		result = event.DispatchResult{Kind: event.ResultNotSent}
	} else {
		w.runsOfKey[w.keys[d.Request]]++
		w.runsOfRequest[d.Request]++
		if w.loseResponses {
			result = event.DispatchResult{Kind: event.ResultBroken}
		}
	}
	w.later(n, 10+clock.Millis(w.random.IntN(300)), event.DispatchDone{Request: d.Request, Attempt: d.Attempt, Result: result})
}
