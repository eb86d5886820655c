package homes

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// OrderKind is the kind of an Order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
)

// OrderID numbers the orders of a Placer, from 1 on.
type OrderID uint64

// Order is an order to a backend server.
type Order struct {
	// ID is unique among the orders of the Placer; an answer counts only for the order with its ID.
	ID      OrderID
	Kind    OrderKind
	Server  units.BackendServerID
	Address string
	Model   units.ModelName
	// Adapter is the full name, empty for an order about the model itself.
	Adapter  units.AdapterName
	Revision topo.AdapterRevision
	// Expected is the number of orders that the backend server is expected to have
	// accepted; it rejects the order if the number differs.
	Expected int64
	// Reason is the reason of the order in the log.
	Reason string
}

// Result is the answer to an order.
type Result uint8

// Results of orders.
const (
	// Taken means that the order is being executed.
	Taken Result = iota + 1
	// Done means that the order is complete.
	Done
	// Conflicts means that the number of orders differs or another order is being
	// executed; nothing was done.
	Conflicts
	// Refused means that the order can't be executed.
	Refused
	// Lost means that no answer was received: the order may have been executed or may be
	// later.
	Lost
	// NotSent means that no byte of the order was sent.
	NotSent
)

// String returns the name of r in log lines.
func (r Result) String() string {
	switch r {
	case Taken:
		return "taken"
	case Done:
		return "done"
	case Conflicts:
		return "conflicts"
	case Refused:
		return "refused"
	case Lost:
		return "lost"
	case NotSent:
		return "not_sent"
	default:
		return "unknown"
	}
}

// HandleOrderResult applies the result of an order and reports whether it was still awaited. The result
// of any other order changes nothing: it is about a process that has ended, or about an order that has
// been taken for lost, and the next order conflicts if that one was executed.
//
// After Conflicts, Refused or the loss of an order about a model the backend server gets no orders until
// it has sent a report at least reportDelay later. After the loss of one about an adapter it gets more:
// if the lost one was executed, or is before the next, the numbers of orders differ and the next
// conflicts; otherwise the next one voids it.
func (p *Placer) HandleOrderResult(now clock.Millis, o Order, result Result) bool {
	p.now = max(p.now, now)
	s := p.servers[o.Server]
	if s == nil || s.pending == nil || s.pending.ID != o.ID {
		return false
	}
	s.pending, s.orderedAt = nil, p.now
	switch result {
	case Taken, Done:
		s.lostOrders = 0
		s.orders = o.Expected + 1
		p.apply(s, o, result)
	case Conflicts, Refused, Lost:
		// A report will show the state, once reports no longer predate the order.
		p.cancelLoad(s, o)
		if result == Lost {
			s.lostOrders++
		}
		if result == Refused && o.Adapter == "" {
			// Another process has its address, and the list follows some time later.
			s.refusedUntil = p.now + refusedModelDelay
			p.models.giveBack(p.now)
		}
		s.synced = s.synced && result == Lost && o.Adapter != ""
		s.nextReportAt = p.now + reportDelay
	case NotSent:
		p.cancelLoad(s, o)
	}
	s.markChanged()
	return true
}

// cancelLoad removes the copy of a load that was not accepted or whose answer was lost.
func (p *Placer) cancelLoad(s *server, o Order) {
	if c := s.copies[o.Adapter]; o.Kind == OrderLoad && c != nil && c.state == copyLoading {
		delete(s.copies, o.Adapter)
	}
}

// apply updates the state of s for an accepted order.
func (p *Placer) apply(s *server, o Order, result Result) {
	switch {
	case o.Adapter == "" && o.Kind == OrderLoad:
		model := s.engine.Model(o.Model)
		s.models[o.Model] = true
		if model != nil && result == Taken {
			s.modelReadyAt = p.now + s.modelLoad(model)
		}
		// The weights may be on the backend server's own disk, which shortens the load.
		s.nextReportAt = p.now + reportDelay
	case o.Kind == OrderLoad:
		p.applyLoad(s, o, result)
	case result == Done:
		delete(s.copies, o.Adapter)
		s.addCached(p.now, o.Adapter)
	default:
		if c := s.copies[o.Adapter]; c != nil {
			c.state = copyUnloading
		}
		s.nextReportAt = p.now + reportDelay
	}
}

func (p *Placer) applyLoad(s *server, o Order, result Result) {
	c := s.copies[o.Adapter]
	if c == nil {
		c = &heldCopy{}
		s.copies[o.Adapter] = c
	}
	c.unconfirmed = false
	c.state, c.revision, c.usedAt = copyLoading, o.Revision, p.now
	c.readyAt = p.now
	if result == Taken {
		c.readyAt += p.loadTime(s, o.Adapter) + loadMargin
	}
	c.dueAt, c.startedAt = c.readyAt, p.now
	_, c.wasCached = s.cached[o.Adapter]
	delete(s.cached, o.Adapter)
}

// loadTime returns the expected time in ms to load an adapter on a backend server.
func (p *Placer) loadTime(s *server, adapter units.AdapterName) clock.Millis {
	expected := p.loadTimeNow()
	if _, ok := s.cached[adapter]; ok {
		return expected / cachedSpeedup
	}
	if over := float64(p.loadsInFlight()) / p.maxLoadsInFlight(); over > 1 {
		expected = clock.Millis(float64(expected) * over)
	}
	return expected
}

// HandleReport applies a backend server's report of its state. Of a report that may predate
// the last order only the start of the process is used, and nothing of one by a previous process.
// Any other report ends the down state.
func (p *Placer) HandleReport(now clock.Millis, id units.BackendServerID, r *topo.Report) {
	p.now = max(p.now, now)
	s := p.servers[id]
	if s == nil {
		return
	}
	s.reportPending = false
	if r.StartedAt > 0 && r.StartedAt < max(s.StartedAt, s.reportedStart) {
		s.nextReportAt = p.now + reportDelay
		return
	}
	s.reportedAt = p.now
	if s.down {
		s.markChanged()
	}
	s.down = false
	s.nextReportAt = p.now + reportPeriod
	if r.StartedAt > max(s.StartedAt, s.reportedStart) {
		s.noteRestart(r.StartedAt)
	}
	if s.pending != nil || s.synced && (p.now < s.orderedAt+reportDelay || r.Orders < s.orders) {
		return
	}
	if !s.synced && s.orderedAt > 0 && p.now < s.orderedAt+reportDelay {
		s.nextReportAt = s.orderedAt + reportDelay
		return
	}
	if r.Busy && p.now < s.modelReadyAt {
		s.nextReportAt = p.now + modelReportPeriod
		return
	}
	p.sync(s, r)
}

// noteRestart forgets the state of the process before the one that started at some time, and the order
// whose answer was awaited from it.
func (s *server) noteRestart(startedAt int64) {
	s.reportedStart, s.heard = startedAt, true
	s.markChanged()
	s.synced, s.orders, s.pending, s.orderedAt = false, 0, nil, 0
	s.copies, s.models = map[units.AdapterName]*heldCopy{}, map[units.ModelName]bool{}
}

// sync replaces the copies, models and number of orders of s by those of a report. Copies
// that s already has keep their state, except that a loaded one is no longer loading. Only
// what changes the placement is published: most reports confirm it.
func (p *Placer) sync(s *server, r *topo.Report) {
	published := p.placementOf(s)
	defer func() {
		if !published.SameCopies(p.placementOf(s)) {
			s.markChanged()
		}
	}()
	s.synced, s.heard, s.orders = true, true, r.Orders
	s.onDisk, s.inMemory = r.OnDisk, r.InMemory
	s.models = map[units.ModelName]bool{}
	for _, m := range r.Models {
		s.models[m] = true
	}
	copies := map[units.AdapterName]*heldCopy{}
	for _, held := range r.Copies {
		c := s.copies[held.Adapter]
		if c == nil {
			c = &heldCopy{state: copyReady, usedAt: p.now}
		}
		if c.state == copyLoading {
			c.state, c.readyAt = copyReady, min(c.readyAt, p.now)
		}
		c.revision, c.unconfirmed = held.Revision, false
		copies[held.Adapter] = c
	}
	for _, loading := range r.Loading {
		if copies[loading.Adapter] == nil {
			copies[loading.Adapter] = &heldCopy{state: copyLoading, revision: loading.Revision, readyAt: p.now + p.policy.AdapterLoad, usedAt: p.now}
		}
	}
	s.copies = copies
	if r.Busy {
		s.modelReadyAt = max(s.modelReadyAt, p.now+reportDelay)
	} else {
		s.modelReadyAt = min(s.modelReadyAt, p.now)
	}
}

// ReportFailed records that a backend server did not answer a report request. It counts as
// down until it reports again.
func (p *Placer) ReportFailed(now clock.Millis, id units.BackendServerID) {
	if s := p.servers[id]; s != nil {
		if !s.down {
			s.markChanged()
		}
		s.reportPending, s.down, s.heard = false, true, true
		s.nextReportAt = now + reportDelay
	}
}

// Resync requests new reports of all backend servers before any order, for an entry VM
// that becomes the placer. One that was the placer before may still have orders under way; the next
// order to the same backend server waits for the answer.
func (p *Placer) Resync(now clock.Millis) {
	p.now = max(p.now, now)
	for _, s := range p.servers {
		s.synced, s.heard, s.reportPending, s.nextReportAt = false, false, false, p.now
		s.markChanged()
	}
}
