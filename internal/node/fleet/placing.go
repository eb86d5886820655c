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
	"mangostile/internal/node/links"
)

// placerWorker places adapters in one shard while the entry VM holds the shard's lease.
// Only its own goroutine uses lease and placer.
type placerWorker struct {
	node   *Node
	shard  string
	inputs *ring.Ring[workerInput]
	lease  claim.Lease
	placer *homes.Placer
	// leaseHeld is true while this entry VM holds the lease.
	leaseHeld bool
	// subscribers holds the entry VMs that send usage reports.
	subscribers map[units.EntryVMID]subscriber
	// members are the last Members of the shard's placer.
	members []peer.Member
	// claimDelay is the part of the lease's ClaimDelay that does not depend on members.
	claimDelay clock.Millis
	yielding   claim.Yielding
	// publishedAt is the time of the last placement update for each scope, membersSentAt
	// that of the last one with Members.
	publishedAt   [2]clock.Millis
	membersSentAt [2]clock.Millis
	pacing        [2]homes.Pacing
	// loggedAt is the time of the last state log line.
	loggedAt clock.Millis
	// fullTo holds the subscribers that have requested a full placement update.
	fullTo map[units.EntryVMID]bool
	// readPending is true while a lease read is in flight; nextReadAt is the earliest
	// time of the next one, by clock.Clock.BootNow. readFailures counts the last reads in a
	// row that failed.
	readPending  bool
	nextReadAt   clock.Millis
	readFailures int
	// readRequests holds requests to read the lease from an offset on.
	readRequests chan units.Offset
	// relaysFeeds is true while the lease is held and the shard is that of this entry
	// VM's region.
	relaysFeeds atomic.Bool
	// The last usage report went to reportedTo at reportedAt; reportedContent is true if
	// it had content. Only the goroutine that reports uses them.
	reportedTo      units.EntryVMID
	reportedAt      clock.Millis
	reportedContent bool
	// lastHolder is the last known leaseholder, for other goroutines; recorder is the last one that
	// said that it puts starts of streams into the store.
	lastHolder, recorder atomic.Pointer[holderInfo]
}

type holderInfo struct {
	id      units.EntryVMID
	address string
	// keepsLedger reports that it keeps the ledger.
	keepsLedger bool
}

// holder returns the last known leaseholder and its peer address, empty if unknown.
func (p *placerWorker) holder() (units.EntryVMID, string) {
	if last := p.lastHolder.Load(); last != nil {
		return last.id, last.address
	}
	return "", ""
}

// startRecorder returns the leaseholder and its peer address if it puts starts of streams into the store for
// others.
func (p *placerWorker) startRecorder() (id units.EntryVMID, address string, ok bool) {
	last, _ := p.holder()
	r := p.recorder.Load()
	if r == nil || r.id != last {
		return last, "", false
	}
	return r.id, r.address, true
}

// ledgerKeeper returns the leaseholder, and reports whether it keeps the ledger.
func (p *placerWorker) ledgerKeeper() (id units.EntryVMID, keeps bool) {
	last, _ := p.holder()
	r := p.recorder.Load()
	return last, last != "" && r != nil && r.id == last && r.keepsLedger
}

func (p *placerWorker) storeHolder() {
	id, address := p.lease.Holder()
	if last := p.lastHolder.Load(); last == nil || last.id != id || last.address != address {
		p.lastHolder.Store(&holderInfo{id: id, address: address})
	}
}

// subscriber is an entry VM that placement updates and feed updates are sent to.
type subscriber struct {
	address      string
	region       units.Region
	domain       units.FailureDomain
	capacity     claim.Capacity
	lastReportAt clock.Millis
}

// recipient returns the subscriber as the recipient of a message. Entry VMs of releases that don't
// tell their failure domain don't read compressed frames.
func (s *subscriber) recipient(id units.EntryVMID) links.Recipient {
	return links.Recipient{ID: id, Address: s.address, Packs: s.domain != ""}
}

// workerInput is an event for a placerWorker. The set of implementations is sealed.
type workerInput interface{ workerInput() }

type usageInput struct {
	from  units.EntryVMID
	usage *peer.UsageReport
}

type serversInput struct {
	servers  []*topo.Server
	services map[units.ServiceName]*topo.Service
}

type versionInput struct{ NamedVersion }

type orderInput struct {
	order  homes.Order
	result homes.Result
	// err is the reason why the order was not sent or got no answer.
	err error
}

type reportInput struct {
	server units.BackendServerID
	// report is nil if the request for it failed.
	report *topo.Report
}

type leaseInput struct {
	records *LeaseRecords
	// expired is set if err is one.
	expired *ExpiredError
	err     error
}

type appendInput struct {
	append claim.Append
	result claim.Result
	// err is the error of Store.AppendLease.
	err error
}

// placementInput is a placement update of the shard's placer.
type placementInput struct {
	from   units.EntryVMID
	update *peer.PlacementUpdate
}

// relayInput is a feed update to be relayed to the subscribers.
type relayInput struct{ update *peer.FeedUpdate }

type policyInput struct {
	policy           homes.Policy
	handoverInterval clock.Millis
}

func (usageInput) workerInput()     {}
func (serversInput) workerInput()   {}
func (versionInput) workerInput()   {}
func (orderInput) workerInput()     {}
func (reportInput) workerInput()    {}
func (leaseInput) workerInput()     {}
func (appendInput) workerInput()    {}
func (placementInput) workerInput() {}
func (relayInput) workerInput()     {}
func (policyInput) workerInput()    {}

// Timing and limits of a placerWorker.
const (
	inputCapacity = 2048
	stepPeriod    = 25 * time.Millisecond
	// minStepInterval is the minimum time between a step and the next one that an
	// input causes, so that a placer with many subscribers handles several reports in
	// one step.
	minStepInterval = 3 * time.Millisecond
	// stepIntervalPerSubscriber is added to minStepInterval for each subscriber: a step sums
	// up the usage of all.
	stepIntervalPerSubscriber = 50 * time.Microsecond
	// Placement updates: the period of those with loads and the minimum interval
	// between those with changed copies, in the own region and to other regions.
	loadUpdatePeriod        = 250 * clock.Millis(1)
	minChangeInterval       = 20 * clock.Millis(1)
	remoteLoadUpdatePeriod  = 700 * clock.Millis(1)
	remoteMinChangeInterval = 150 * clock.Millis(1)
	// changeIntervalPerSubscriber bounds the rate of messages that a placer of many
	// subscribers sends: their minimum interval grows with their number.
	changeIntervalPerSubscriber = 500 * time.Microsecond
	subscriberTTL               = 3 * clock.Second
	stateLogPeriod              = clock.Second
	leaseReadPeriod             = 450 * clock.Millis(1)
	// maxReadBackoff is the number of leaseReadPeriods by which a read is at most delayed
	// after failed ones.
	maxReadBackoff = 4
	// memberListPeriod is the time between two updates with Members.
	memberListPeriod = 5 * clock.Second
	// OrderTimeout bounds a call of Engines.Order: no byte of an order is sent later.
	OrderTimeout = 500 * clock.Millis(1)
	// remoteReadDelay is added to leaseReadPeriod for shards of other regions.
	remoteReadDelay = clock.Second
	// placerTimeout is the time without a placement update after which the lease is
	// read.
	placerTimeout = 900 * clock.Millis(1)
	// remoteClaimDelay delays claims on shards of other regions. Every claim is
	// delayed further by up to claimSpread, depending on the entry VM's id.
	remoteClaimDelay = 4 * clock.Second
	claimSpread      = 800 * clock.Millis(1)
)

func newPlacerWorker(n *Node, shard string) *placerWorker {
	p := &placerWorker{
		node: n, shard: shard, inputs: ring.New[workerInput](inputCapacity), placer: homes.New(n.settings.Homes),
		subscribers: map[units.EntryVMID]subscriber{}, fullTo: map[units.EntryVMID]bool{}, readRequests: make(chan units.Offset, 1),
	}
	// Entry VMs claim one after the other, so that few appends conflict.
	claimDelay := clock.Millis(hashID(units.RequestID(n.settings.ID)) % uint64(claimSpread))
	if shard != string(n.settings.Region) {
		claimDelay += remoteClaimDelay
	}
	p.claimDelay = claimDelay
	p.lease = claim.Lease{Self: n.settings.ID, Address: n.settings.PeerAddress, Incarnation: n.incarnation, HandoverInterval: n.settings.HandoverInterval, Rejoins: n.settings.Rejoins}
	return p
}

func (p *placerWorker) run(ctx context.Context) error {
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	inputs := make(chan workerInput)
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
	// due fires at the end of minStepInterval if an input was handled before it.
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
			p.node.guard("placer input", func() { p.handle(in) })
			interval := minStepInterval + time.Duration(len(p.subscribers))*stepIntervalPerSubscriber
			if wait := interval - time.Since(steppedAt); wait > 0 {
				if due == nil {
					due = time.After(wait)
				}
				continue
			}
		case <-due:
		case <-ticker.C:
		}
		due, steppedAt = nil, time.Now()
		if !p.node.guard("placer step", func() { p.step(ctx) }) {
			// What the placer knows of the servers may be half changed.
			p.placer.Resync(p.node.clock.Now())
		}
	}
}

func (p *placerWorker) handle(in workerInput) {
	now := p.node.clock.Now()
	switch in := in.(type) {
	case usageInput:
		p.handleUsage(now, in)
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
	case orderInput:
		p.node.meter.OrderAnswered(string(in.order.Kind), in.result.String())
		awaited := p.placer.HandleOrderResult(now, in.order, in.result)
		p.node.log.Info("order_answered", "shard", p.shard, "server", in.order.Server, "order", in.order.Kind, "adapter", in.order.Adapter,
			"revision", int64(in.order.Revision), "expected", in.order.Expected, "fence", uint64(p.lease.Fence()), "result", in.result, "awaited", awaited, "reason", in.order.Reason, "error", in.err)
	case reportInput:
		if in.report == nil {
			p.placer.ReportFailed(now, in.server)
		} else {
			p.placer.HandleReport(now, in.server, in.report)
		}
	case leaseInput:
		p.handleLeaseRead(in)
	case appendInput:
		if in.append.Record.Kind == claim.KindClaim || in.result != claim.Accepted {
			p.node.log.Info("lease_append", "shard", p.shard, "kind", in.append.Record.Kind, "offset", in.append.At, "result", in.result, "error", in.err)
		}
		p.lease.HandleResult(in.append, in.result)
	case placementInput:
		p.handlePlacement(in)
	case relayInput:
		p.relay(in.update)
	case policyInput:
		p.placer.SetPolicy(in.policy)
		p.lease.HandoverInterval = in.handoverInterval
	}
}

// relay sends a feed update to the subscribers while the lease is held.
func (p *placerWorker) relay(update *peer.FeedUpdate) {
	if !p.leaseHeld {
		return
	}
	recipients := make([]links.Recipient, 0, len(p.subscribers))
	for id, sub := range p.subscribers {
		if id != p.node.settings.ID {
			recipients = append(recipients, sub.recipient(id))
		}
	}
	p.node.links.Broadcast(recipients, update)
}

func (p *placerWorker) handleUsage(now clock.Millis, in usageInput) {
	if !p.leaseHeld {
		return
	}
	sub := p.subscribers[in.from]
	sub.address, sub.region, sub.domain, sub.capacity, sub.lastReportAt = in.usage.Address, in.usage.Region, in.usage.Domain, claim.Capacity(in.usage.Capacity), now
	if in.usage.NeedsFull {
		p.fullTo[in.from] = true
	}
	p.subscribers[in.from] = sub
	p.placer.HandleUsage(now, in.from, in.usage)
}

// step does what is due: it reads, claims or renews the lease and, while the lease is
// held, executes the placer's plan and publishes placement updates.
func (p *placerWorker) step(ctx context.Context) {
	now, boot := p.node.clock.Now(), p.node.clock.BootNow()
	p.readLease(now, boot)
	p.lease.ClaimDelay = p.claimDelay + claim.WeakDelay(p.node.settings.Capacity, p.strongestMember())
	if due := p.lease.Due(boot); due != nil {
		p.append(ctx, *due)
	}
	if p.leaseHeld && p.yielding.Due(now, p.node.settings.Capacity, p.strongestSubscriber()) {
		p.yield(ctx, boot)
	}
	p.storeHolder()
	p.setLeaseHeld(now, p.lease.Holds(boot))
	if !p.leaseHeld {
		return
	}
	p.execute(ctx, p.placer.Step(now, p.lease.MayOrder(boot)))
	p.publish(now)
}

func (p *placerWorker) execute(ctx context.Context, plan homes.Plan) {
	boot := p.node.clock.BootNow()
	holder := Holder{ID: p.node.settings.ID, Fence: p.lease.Fence(), NotAfter: min(p.lease.ValidUntil(), boot+OrderTimeout)}
	for _, o := range plan.Orders {
		go func() {
			in := orderInput{order: o, result: homes.Lost}
			p.node.guard("order", func() { in.result, in.err = p.node.system.Order(ctx, o, holder) })
			p.inputs.Push(in)
		}()
	}
	for _, a := range plan.ReportRequests {
		go func() {
			in := reportInput{server: a.Server}
			p.node.guard("report", func() {
				report, err := p.node.system.Report(ctx, a)
				if err != nil {
					p.node.log.Warn("report_failed", "server", a.Server, "error", err)
				}
				in.report = report
			})
			p.inputs.Push(in)
		}()
	}
}
