package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/ring"
	"mangostile/internal/base/units"
	"mangostile/internal/core/claim"
	"mangostile/internal/core/homes"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/pkg/errors"
)

// placing is the duty that places adapters in one shard while the entry VM holds
// the shard's lease. Only its own goroutine touches lease and placer.
type placing struct {
	node   *Node
	shard  string
	inputs *ring.Ring[placingInput]
	lease  claim.Lease
	placer *homes.Placer
	// holding is set while the lease is held.
	holding bool
	// heard holds when and from where entry VMs last reported.
	heard map[units.EntryVMID]listener
	// newsAt is the time of the last news for each reach.
	newsAt [2]clock.Millis
	// loggedAt is the time of the last line on the state.
	loggedAt clock.Millis
	fullTo   map[units.EntryVMID]bool
	// reading is set while the lease is being read; readAt is when to read it.
	reading bool
	readAt  clock.Millis
	// reads takes requests to read the lease.
	reads chan units.Offset
	// relays is set while the lease is held and the shard is the own region's.
	relays atomic.Bool
	// toldTo is the holder that got the last usage report, toldAt when, and told
	// whether that report had content. They belong to the goroutine that reports.
	toldTo units.EntryVMID
	toldAt clock.Millis
	told   bool
	// known is the holder as last read, for other goroutines.
	known atomic.Pointer[holderKnown]
}

type holderKnown struct {
	id      units.EntryVMID
	address string
}

// holder returns the entry VM that holds the lease as last read.
func (p *placing) holder() (units.EntryVMID, string) {
	if known := p.known.Load(); known != nil {
		return known.id, known.address
	}
	return "", ""
}

func (p *placing) noteHolder() {
	id, address := p.lease.Holder()
	if known := p.known.Load(); known == nil || known.id != id || known.address != address {
		p.known.Store(&holderKnown{id: id, address: address})
	}
}

type listener struct {
	address string
	region  units.Region
	at      clock.Millis
}

// placingInput is something that happened. The set of implementations is sealed.
type placingInput interface{ placingInput() }

type usedInput struct {
	from  units.EntryVMID
	usage *peer.Usage
}

type serversInput struct {
	servers  []*topo.Server
	services map[units.ServiceName]*topo.Service
}

type versionInput struct{ NamedVersion }

type orderedInput struct {
	order  homes.Order
	result homes.Result
	// err tells why the order was not sent or got no answer.
	err error
}

type reportedInput struct {
	server units.BackendServerID
	// report is nil if there was none.
	report *topo.Report
}

type leaseInput struct {
	records *LeaseRecords
	// oldest is set instead if records have expired.
	oldest units.Offset
	err    error
}

type appendedInput struct {
	append claim.Append
	result claim.Result
	// err tells why the store did not accept, unless it said so itself.
	err error
}

// toldInput is news of the shard's placer.
type toldInput struct {
	from units.EntryVMID
	news *peer.Homes
}

// relayInput is news of the store that others are to be told.
type relayInput struct{ news *peer.FeedNews }

type policyInput struct {
	policy homes.Policy
	turn   clock.Millis
}

func (usedInput) placingInput()     {}
func (serversInput) placingInput()  {}
func (versionInput) placingInput()  {}
func (orderedInput) placingInput()  {}
func (reportedInput) placingInput() {}
func (leaseInput) placingInput()    {}
func (appendedInput) placingInput() {}
func (toldInput) placingInput()     {}
func (relayInput) placingInput()    {}
func (policyInput) placingInput()   {}

// Times of a placer's duty.
const (
	placingRing = 2048
	stepPeriod  = 25 * time.Millisecond
	// stepSpacing is the least time between two steps, so that a placer with many
	// listeners acts on several reports at once.
	stepSpacing = 3 * time.Millisecond
	// newsPeriod is the time between two messages with loads, newsAtOnce the least
	// time between two with changed copies; the others are for other regions.
	newsPeriod     = 250 * clock.Millis(1)
	newsAtOnce     = 20 * clock.Millis(1)
	farNewsPeriod  = 700 * clock.Millis(1)
	farNewsAtOnce  = 150 * clock.Millis(1)
	listenerTerm   = 3 * clock.Second
	statePeriod    = clock.Second
	leaseReadPause = 450 * clock.Millis(1)
	// farReadPause is added for shards of other regions.
	farReadPause = clock.Second
	// placerSilence is how long nothing is heard of another placer before the
	// lease is read.
	placerSilence = 900 * clock.Millis(1)
	// farStandby delays claims on shards of other regions, nearStandby spreads
	// claims of the own region.
	farStandby  = 4 * clock.Second
	nearStandby = 800 * clock.Millis(1)
)

func newPlacing(n *Node, shard string) *placing {
	p := &placing{
		node: n, shard: shard, inputs: ring.New[placingInput](placingRing), placer: homes.New(n.settings.Homes),
		heard: map[units.EntryVMID]listener{}, fullTo: map[units.EntryVMID]bool{}, reads: make(chan units.Offset, 1),
	}
	// Entry VMs claim one after the other, so that few appends fail.
	standby := clock.Millis(hashID(units.RequestID(n.settings.ID)) % uint64(nearStandby))
	if shard != string(n.settings.Region) {
		standby += farStandby
	}
	p.lease = claim.Lease{Self: n.settings.ID, Address: n.settings.PeerAddress, Run: n.run, Turn: n.settings.Turn, Standby: standby}
	return p
}

func (p *placing) run(ctx context.Context) error {
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	inputs := make(chan placingInput)
	go func() {
		defer close(inputs)
		for {
			in, ok := p.inputs.Pop(ctx)
			if !ok {
				return
			}
			select {
			case inputs <- in:
			case <-ctx.Done():
				return
			}
		}
	}()
	var steppedAt time.Time
	// due is when inputs are acted on that came right after a step.
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			p.release()
			return nil
		case in, ok := <-inputs:
			if !ok {
				p.release()
				return nil
			}
			p.take(in)
			if wait := stepSpacing - time.Since(steppedAt); wait > 0 {
				if due == nil {
					due = time.After(wait)
				}
				continue
			}
		case <-due:
		case <-ticker.C:
		}
		due, steppedAt = nil, time.Now()
		p.step(ctx)
	}
}

// releaseTimeout bounds the release of a lease by a process that ends.
const releaseTimeout = 250 * time.Millisecond

// release gives the lease up, so that others need not wait until it lapses.
func (p *placing) release() {
	a := p.lease.Release(p.node.clock.BootNow())
	if a == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	result, err := p.node.system.AppendLease(ctx, p.shard, *a)
	p.node.log.Info("placer_released", "shard", p.shard, "fence", uint64(p.lease.Fence()), "accepted", result == claim.Accepted, "error", err)
}

func (p *placing) take(in placingInput) {
	now := p.node.clock.Now()
	switch in := in.(type) {
	case usedInput:
		p.used(now, in)
	case serversInput:
		var own []*topo.Server
		for _, s := range in.servers {
			if string(s.Region) == p.shard {
				own = append(own, s)
			}
		}
		p.placer.SetServers(now, own, in.services)
	case versionInput:
		p.placer.Announce(now, in.Adapter, in.Revision)
	case orderedInput:
		p.node.meter.OrderAnswered(string(in.order.Kind), in.result.String())
		p.node.log.Info("order_answered", "shard", p.shard, "server", in.order.Server, "order", in.order.Kind, "adapter", in.order.Adapter,
			"revision", int64(in.order.Revision), "expected", in.order.Expected, "fence", uint64(p.lease.Fence()), "result", in.result, "reason", in.order.Reason, "error", in.err)
		p.placer.Ordered(now, in.order, in.result)
	case reportedInput:
		if in.report == nil {
			p.placer.ReportFailed(now, in.server)
		} else {
			p.placer.Reported(now, in.server, in.report)
		}
	case leaseInput:
		p.leaseRead(in)
	case appendedInput:
		if in.append.Record.Kind == claim.KindClaim || in.result != claim.Accepted {
			p.node.log.Info("lease_append", "shard", p.shard, "kind", in.append.Record.Kind, "offset", in.append.At, "result", in.result, "error", in.err)
		}
		p.lease.Answered(in.append, in.result)
	case toldInput:
		holder := claim.Record{Kind: claim.KindRenew, Holder: in.from}
		if known, address := p.holder(); known == in.from {
			holder.Address = address
		}
		if holder.Address != "" && in.news.Left > 0 {
			p.lease.Told(p.node.clock.BootNow(), holder, in.news.Fence, in.news.LeaseNext, in.news.Left)
		}
	case relayInput:
		for id, l := range p.heard {
			if p.holding && id != p.node.settings.ID {
				p.node.links.Send(id, l.address, in.news)
			}
		}
	case policyInput:
		p.placer.SetPolicy(in.policy)
		p.lease.Turn = in.turn
	}
}

func (p *placing) used(now clock.Millis, in usedInput) {
	if !p.holding {
		return
	}
	l := p.heard[in.from]
	l.address, l.region, l.at = in.usage.Address, in.usage.Region, now
	if in.usage.WantFull {
		p.fullTo[in.from] = true
	}
	p.heard[in.from] = l
	p.placer.Used(now, in.from, in.usage)
}

func (p *placing) leaseRead(in leaseInput) {
	p.reading = false
	boot := p.node.clock.BootNow()
	switch {
	case in.oldest > 0:
		p.lease.Gap(boot, in.oldest)
		p.readAt = boot
	case in.err == nil:
		p.lease.Fold(boot, in.records.From, in.records.Records, in.records.End)
	}
}

// step lets time pass.
func (p *placing) step(ctx context.Context) {
	now, boot := p.node.clock.Now(), p.node.clock.BootNow()
	p.readLease(now, boot)
	if due := p.lease.Due(boot); due != nil {
		a := *due
		go func() {
			result, err := p.node.system.AppendLease(ctx, p.shard, a)
			p.inputs.Push(appendedInput{append: a, result: result, err: err})
		}()
	}
	p.noteHolder()
	p.noteHolding(now, p.lease.Holds(boot))
	if !p.holding {
		return
	}
	p.carry(ctx, p.placer.Step(now, p.lease.MayOrder(boot)))
	p.tell(now)
}

// noteHolding follows the change of the right to place.
func (p *placing) noteHolding(now clock.Millis, holds bool) {
	if holds == p.holding {
		return
	}
	p.holding = holds
	p.node.meter.Placing(p.shard, holds)
	p.relays.Store(holds && p.shard == string(p.node.settings.Region))
	holder, _ := p.lease.Holder()
	p.node.log.Info("placer_changed", "shard", p.shard, "placing", holds, "holder", holder, "fence", uint64(p.lease.Fence()), "from_offset", p.lease.Next())
	if holds {
		p.placer.Resync(now)
		clear(p.heard)
	}
}

// readLease has the lease read while nothing else tells who holds it.
func (p *placing) readLease(now, boot clock.Millis) {
	p.node.mu.Lock()
	heardAt := p.node.core.PlacerHeard(p.shard)
	p.node.mu.Unlock()
	quiet := now >= heardAt+placerSilence || p.lease.Stale()
	if p.reading || boot < p.readAt || !quiet || p.lease.Holds(boot) && !p.lease.Pending() {
		return
	}
	p.reading, p.readAt = true, boot+leaseReadPause
	if p.shard != string(p.node.settings.Region) {
		p.readAt += farReadPause
	}
	select {
	case p.reads <- p.lease.Next():
	default:
		p.reading = false
	}
}

// followLease reads the lease when it is asked to.
func (p *placing) followLease(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-p.reads:
			records, err := p.node.system.ReadLease(ctx, p.shard, from)
			in := leaseInput{records: records, err: err}
			var expired *ExpiredError
			if errors.As(err, &expired) {
				in.oldest = expired.Oldest
			}
			p.inputs.Push(in)
		}
	}
}

func (p *placing) carry(ctx context.Context, plan homes.Plan) {
	holder := Holder{ID: p.node.settings.ID, Fence: p.lease.Fence(), NotAfter: p.lease.Until()}
	for _, o := range plan.Orders {
		go func() {
			result, err := p.node.system.Order(ctx, o, holder)
			p.inputs.Push(orderedInput{order: o, result: result, err: err})
		}()
	}
	for _, a := range plan.Asks {
		go func() {
			report, err := p.node.system.Report(ctx, a)
			if err != nil {
				p.node.log.Warn("report_failed", "server", a.Server, "error", err)
			}
			p.inputs.Push(reportedInput{server: a.Server, report: report})
		}()
	}
}
