package fleet

import (
	"context"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/claim"
	"mangostile/internal/core/homes"

	"github.com/pkg/errors"
)

// releaseTimeout bounds the release of a lease by an exiting process.
const releaseTimeout = 250 * time.Millisecond

// release releases the lease, so that others need not wait until it expires.
func (p *placerWorker) release() {
	a := p.lease.Release(p.node.clock.BootNow())
	if a == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	result, err := p.node.system.AppendLease(ctx, p.shard, *a)
	p.node.log.Info("placer_released", "shard", p.shard, "fence", uint64(p.lease.Fence()), "accepted", result == claim.Accepted, "error", err)
}

// handlePlacement handles an update of the shard's placer, which may be one that this entry
// VM has not found in the store.
func (p *placerWorker) handlePlacement(in placementInput) {
	holder := claim.Record{Kind: claim.KindRenew, Holder: in.from, Address: in.update.Address}
	if id, address := p.holder(); holder.Address == "" && id == in.from {
		holder.Address = address
	}
	if holder.Address != "" && in.update.Remaining > 0 {
		p.lease.ObserveHolder(p.node.clock.BootNow(), holder, in.update.Fence, in.update.LeaseNext, in.update.Remaining)
	}
	recorder := holderInfo{id: in.from, address: in.update.Address, keepsLedger: in.update.KeepsLedger}
	if r := p.recorder.Load(); in.update.KeepsStarts && (r == nil || *r != recorder) {
		p.recorder.Store(&recorder)
	}
	if len(in.update.Members) > 0 && in.update.Fence >= p.lease.Fence() {
		p.members = in.update.Members
	}
}

func (p *placerWorker) handleLeaseRead(in leaseInput) {
	p.readPending = false
	boot := p.node.clock.BootNow()
	p.readFailures++
	if in.err == nil || in.expired != nil {
		p.readFailures = 0
	}
	p.nextReadAt += leaseReadPeriod * clock.Millis(min(p.readFailures, maxReadBackoff))
	switch {
	case in.expired != nil:
		p.enterEra(boot, in.expired.Era)
		if p.lease.Gap(boot, in.expired.Oldest) {
			p.nextReadAt = boot
		}
	case in.err == nil && !p.enterEra(boot, in.records.Era):
		p.lease.Fold(boot, in.records.From, in.records.Records, in.records.End)
	}
}

// enterEra handles the era of an answer of the store. It reports whether the store was restored, so that
// the lease is to be read from its beginning.
func (p *placerWorker) enterEra(boot clock.Millis, era units.Era) bool {
	readTo := p.lease.Next()
	if !p.lease.EnterEra(boot, era) || p.lease.Next() == readTo {
		return false
	}
	p.nextReadAt = boot
	p.node.log.Warn("lease_restored", "shard", p.shard, "era", int64(era), "read_to", readTo, "placing", p.lease.Holds(boot))
	return true
}

// append makes an append of the lease without waiting for its result.
func (p *placerWorker) append(ctx context.Context, a claim.Append) {
	go func() {
		in := appendInput{append: a, result: claim.Unknown}
		p.node.guard("lease append", func() { in.result, in.err = p.node.system.AppendLease(ctx, p.shard, a) })
		p.inputs.Push(in)
	}()
}

// yield hands the lease over to a stronger entry VM.
func (p *placerWorker) yield(ctx context.Context, boot clock.Millis) {
	a := p.lease.Yield(boot, OrderTimeout)
	if a == nil {
		return
	}
	p.node.log.Info("placer_yielded", "shard", p.shard, "fence", uint64(p.lease.Fence()), "capacity", p.node.settings.Capacity, "strongest", p.strongestSubscriber())
	p.append(ctx, *a)
}

// strongestMember returns the highest capacity among this entry VM and the members that the
// placer of the shard listed last in the shard's region, 0 if it has listed none.
func (p *placerWorker) strongestMember() claim.Capacity {
	var strongest claim.Capacity
	for _, m := range p.members {
		if p.scopeOf(m.Region) == homes.SameRegion {
			strongest = max(strongest, claim.Capacity(m.Capacity), p.node.settings.Capacity)
		}
	}
	return strongest
}

// strongestSubscriber returns the highest capacity among the subscribers in the shard's region.
func (p *placerWorker) strongestSubscriber() claim.Capacity {
	var strongest claim.Capacity
	for _, sub := range p.subscribers {
		if p.scopeOf(sub.region) == homes.SameRegion {
			strongest = max(strongest, sub.capacity)
		}
	}
	return strongest
}

// setLeaseHeld handles the gain and the loss of the lease.
func (p *placerWorker) setLeaseHeld(now clock.Millis, holds bool) {
	if holds == p.leaseHeld {
		return
	}
	p.leaseHeld = holds
	p.node.meter.SetPlacing(p.shard, holds)
	p.relaysFeeds.Store(holds && p.shard == string(p.node.settings.Region))
	holder, _ := p.lease.Holder()
	p.node.log.Info("placer_changed", "shard", p.shard, "placing", holds, "holder", holder, "fence", uint64(p.lease.Fence()), "from_offset", p.lease.Next())
	if holds {
		p.placer.Resync(now)
		p.subscribeMembers(now)
	}
}

// subscribeMembers makes the entry VMs that reported to the last placer subscribers of this
// one, until they report themselves or subscriberTTL has passed.
func (p *placerWorker) subscribeMembers(now clock.Millis) {
	clear(p.subscribers)
	for _, m := range p.members {
		p.subscribers[m.ID] = subscriber{address: m.Address, region: m.Region, domain: m.Domain, capacity: claim.Capacity(m.Capacity), lastReportAt: now}
	}
}

// readLease requests a lease read if no placement update was received for placerTimeout
// or the lease must be read before an append. The leaseholder itself requests one only
// while the result of an append is pending.
func (p *placerWorker) readLease(now, boot clock.Millis) {
	var lastUpdateAt clock.Millis
	p.node.withCore(func(core *choose.Core) { lastUpdateAt = core.LastUpdateAt(p.shard) })
	noUpdate := now >= lastUpdateAt+placerTimeout || p.lease.Stale()
	if p.readPending || boot < p.nextReadAt || !noUpdate || p.lease.Holds(boot) && !p.lease.Pending() {
		return
	}
	p.readPending, p.nextReadAt = true, boot+leaseReadPeriod
	if p.shard != string(p.node.settings.Region) {
		p.nextReadAt += remoteReadDelay
	}
	select {
	case p.readRequests <- p.lease.Next():
	default:
		p.readPending = false
	}
}

// followLease reads the lease whenever readLease requests it.
func (p *placerWorker) followLease(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case from := <-p.readRequests:
			in := leaseInput{err: errPanic}
			p.node.guard("lease read", func() { in.records, in.err = p.node.system.ReadLease(ctx, p.shard, from) })
			errors.As(in.err, &in.expired)
			p.inputs.Push(in)
		}
	}
}
