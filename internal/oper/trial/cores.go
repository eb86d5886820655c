package trial

import (
	"fmt"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/place"

	"github.com/vmihailenco/msgpack/v5"
)

// Delays in ms. messageDelay applies to messages between entry VMs, dispatches and stream
// reads, orderDelay to orders and polls.
const (
	messageDelay clock.Millis = 1
	orderDelay   clock.Millis = 2
)

// cores is the policy under test: the cores of the entry VMs of one failure domain, each
// with its own delayed view of the engines.
type cores struct {
	policy place.Policy
	w      *world
	vms    []event.VM
	cores  []*entry.Core
	// index holds the index in vms and cores of each entry VM.
	index map[units.EntryVMID]int
	calls map[units.RequestID]*call
	// attempts holds the current attempt number of each running request.
	attempts map[*call]int32
	config   []peer.Record
	// onDecision receives the decision lines; nil drops them.
	onDecision func(entry int, d event.Decision)
}

var _ policy = (*cores)(nil)

// newCores returns a policy of cores with placement settings p.
func newCores(p place.Policy) policy { return &cores{policy: p} }

func (p *cores) start(w *world) {
	p.w = w
	p.index = map[units.EntryVMID]int{}
	p.calls = map[units.RequestID]*call{}
	p.attempts = map[*call]int32{}
	for i := range w.calls {
		p.calls[w.calls[i].id] = &w.calls[i]
	}
	p.listVMs()
	p.config = configRecords(w.trace, w.scenario)
	for i := range w.scenario.Entries {
		p.cores = append(p.cores, entry.New(entry.Config{Self: p.vms[i], Incarnation: 1, VMs: p.vms, Policy: p.policy}))
	}
	for i := range p.cores {
		p.tick(i)
	}
}

// listVMs fills vms with the entry VMs, then the engines, all in one failure domain.
func (p *cores) listVMs() {
	for i := range p.w.scenario.Entries {
		id := fmt.Sprintf("entry-%d", i)
		p.vms = append(p.vms, event.VM{ID: id, Address: id, FailureDomain: "a", Region: "a", State: event.VMLive, Entry: true})
		p.index[units.EntryVMID(id)] = i
	}
	for _, e := range p.w.engines {
		p.vms = append(p.vms, event.VM{
			ID: e.id, Address: e.id, FailureDomain: "a", Region: "a", State: event.VMLive, Kind: event.KindEngine, Base: "base",
			ChecksFence: true, Slots: int32(e.slots), BatchMax: int32(e.batchMax),
		})
	}
}

// configRecords returns the edit that fills the table with the adapters of a trace.
func configRecords(t *trace, s Scenario) []peer.Record {
	edit := event.Edit{ID: "table", Author: "trial"}
	for _, av := range t.adapters {
		for _, cell := range [][2]string{
			{"base", "base"},
			{"versions", string(av.Version) + ":1"},
			{"callers", "*"},
			{"deadline_ms", fmt.Sprint(int64(s.Deadline))},
		} {
			edit.Cells = append(edit.Cells, event.Cell{Adapter: av.Adapter, Column: cell[0], Value: cell[1]})
		}
	}
	body, err := msgpack.Marshal(edit)
	if err != nil {
		panic("trial: edit can't be encoded: " + err.Error())
	}
	return []peer.Record{{ID: edit.ID, Body: body}}
}

func (p *cores) tick(i int) {
	p.step(i, event.Tick{})
	p.w.after(event.TickPeriod, func() { p.tick(i) })
}

// step passes an event to core i and executes its effects.
func (p *cores) step(i int, ev event.Event) {
	var out event.Effects
	p.cores[i].Step(p.w.now, ev, &out)
	for _, effect := range out.List {
		p.execute(i, effect)
	}
}

func (p *cores) execute(i int, effect event.Effect) {
	switch effect := effect.(type) {
	case event.Dispatch:
		p.w.after(messageDelay, func() { p.dispatch(i, effect) })
	case event.Refuse:
		p.w.end(p.calls[effect.Request], false)
	case event.CancelDispatch:
		p.w.cancel(p.calls[effect.Request])
	case event.SendPeer:
		to := p.index[effect.To]
		from := units.EntryVMID(p.vms[i].ID)
		p.w.after(messageDelay, func() { p.step(to, event.PeerReceived{From: from, Message: effect.Message}) })
	case event.TailStream:
		if effect.Stream == event.ConfigStream {
			p.w.after(messageDelay, func() {
				p.step(i, event.RecordsRead{Stream: effect.Stream, Records: p.config, Next: 1, End: 1})
			})
		}
	case event.OrderServer:
		sentAt := p.w.now
		p.w.after(orderDelay, func() { p.order(i, effect, sentAt) })
	case event.PollServer:
		sentAt := p.w.now
		p.w.after(orderDelay, func() { p.report(i, effect.Server, sentAt) })
	case event.Decision:
		if p.onDecision != nil {
			p.onDecision(i, effect)
		}
	case event.AppendRecord, event.StopTail, event.Replay, event.AnswerEdit, event.LeaveDone:
	}
}

func (p *cores) engine(id units.BackendServerID) *engine {
	at := slices.IndexFunc(p.w.engines, func(e *engine) bool { return e.id == string(id) })
	return p.w.engines[at]
}

func (p *cores) dispatch(i int, d event.Dispatch) {
	c, e := p.calls[d.Request], p.engine(d.Server)
	if c.ended {
		p.step(i, p.done(c, d.Attempt, event.ResultTimeout))
		return
	}
	if !e.up {
		p.step(i, p.done(c, d.Attempt, event.ResultNotSent))
		return
	}
	p.attempts[c] = d.Attempt
	if !p.w.run(c, e) {
		p.step(i, p.done(c, d.Attempt, event.ResultAdapterMissing))
	}
}

func (p *cores) done(c *call, attempt int32, kind event.ResultKind) event.DispatchDone {
	return event.DispatchDone{Request: c.id, Attempt: attempt, Result: event.DispatchResult{Kind: kind}}
}

// entryOf returns the index of the entry VM that the balancer sends a call to: round
// robin by the number in the request id.
func (p *cores) entryOf(c *call) int {
	var n int
	if _, err := fmt.Sscanf(string(c.id), "r%d", &n); err != nil {
		panic("trial: request id " + string(c.id) + " has no number")
	}
	return n % len(p.cores)
}

func (p *cores) order(i int, effect event.OrderServer, sentAt clock.Millis) {
	e := p.engine(effect.Server)
	answer := func(kind event.OrderResultKind) {
		p.step(i, event.OrderDone{
			Server: effect.Server, Order: effect.Order, Result: event.OrderResult{Kind: kind, Fence: e.fence}, SentAt: sentAt,
		})
	}
	switch {
	case !e.up:
		answer(event.OrderNotSent)
		return
	case effect.Order.Fence < e.fence:
		answer(event.OrderFenced)
		return
	}
	e.fence = effect.Order.Fence
	switch effect.Order.Kind {
	case event.OrderLoad:
		p.orderLoad(e, effect.Order.Adapter, answer)
	case event.OrderUnload:
		p.w.unload(e, effect.Order.Adapter)
		answer(event.OrderAccepted)
	case event.OrderClaim, event.OrderRole:
		answer(event.OrderAccepted)
	}
}

// orderLoad starts a load and answers its order when the load ends, or at once if it can't
// start.
func (p *cores) orderLoad(e *engine, av units.AdapterVersion, answer func(event.OrderResultKind)) {
	if !p.w.load(e, av) {
		answer(event.OrderRefused)
		return
	}
	e.whenLoaded(av, func(ok bool) {
		if ok {
			answer(event.OrderAccepted)
			return
		}
		answer(event.OrderRefused)
	})
}

func (p *cores) report(i int, id units.BackendServerID, sentAt clock.Millis) {
	e := p.engine(id)
	if !e.up {
		p.step(i, event.ReportFailed{Server: id, Refused: true})
		return
	}
	report := event.ServerReport{
		Start: fmt.Sprint(e.incarnation), Ready: true, Fence: e.fence, Slots: int32(e.slots), BatchMax: int32(e.batchMax),
		Running: int32(len(e.batch)), Waiting: int32(len(e.queue)),
	}
	for av := range e.resident {
		report.Resident = append(report.Resident, event.ResidentAdapter{AdapterVersion: av, Running: int32(e.running[av])})
	}
	slices.SortFunc(report.Resident, func(a, b event.ResidentAdapter) int { return compareVersions(a.AdapterVersion, b.AdapterVersion) })
	for av := range e.loading {
		report.Loading = append(report.Loading, av)
	}
	slices.SortFunc(report.Loading, compareVersions)
	p.step(i, event.ReportReceived{Server: id, Report: report, SentAt: sentAt})
}

func (p *cores) arrived(c *call) {
	p.step(p.entryOf(c), event.RequestArrived{Request: event.Request{
		ID: c.id, Caller: "caller", Adapter: units.AdapterVersion{Adapter: c.adapter.Adapter}, Idempotent: true,
		MaxTokens: units.Tokens(c.tokens), Deadline: c.deadline, Priority: c.priority,
	}})
}

func (p *cores) loaded(e *engine, av units.AdapterVersion, ok bool) { e.notifyLoaded(av, ok) }

func (p *cores) finished(c *call, _ *engine, broken bool) {
	kind := event.ResultServed
	switch {
	case broken:
		kind = event.ResultBroken
	case !c.served:
		kind = event.ResultTimeout
	}
	p.step(p.entryOf(c), p.done(c, p.attempts[c], kind))
}

// expired does nothing: the core enforces deadlines itself.
func (p *cores) expired(*call) {}

func (p *cores) restarted(e *engine) {
	for _, av := range e.awaitedVersions() {
		e.notifyLoaded(av, false)
	}
}
