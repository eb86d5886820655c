package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/homes"
	"mangostile/internal/core/peer"
	"mangostile/internal/node/links"
)

// publish sends placement updates to the subscribers and applies those for the scope of
// this entry VM's region.
func (p *placerWorker) publish(now clock.Millis) {
	p.logState(now)
	for _, news := range p.placer.TakePaceNews() {
		p.node.log.Info("server_pace", "shard", p.shard, "server", news.Server, "pace", math.Round(news.Step.Speed()*100)/100, "window", news.Window)
	}
	spacing := clock.FromDuration(time.Duration(len(p.subscribers)) * changeIntervalPerSubscriber)
	p.publishTo(now, homes.SameRegion, max(minChangeInterval, spacing), loadUpdatePeriod)
	p.publishTo(now, homes.OtherRegions, max(remoteMinChangeInterval, spacing), remoteLoadUpdatePeriod)
}

// publishTo sends placement updates to the subscribers in a scope: loads once per period,
// changed copies once minInterval has passed since the last update, and both less often if
// they are many. Changes don't put off the loads: in a large shard there are always some. It
// removes subscribers without a usage report within subscriberTTL.
func (p *placerWorker) publishTo(now clock.Millis, scope homes.Scope, minInterval, period clock.Millis) {
	since, pacing := now-p.publishedAt[scope], &p.pacing[scope]
	loads := pacing.LoadsDue(now)
	if since < minInterval || !pacing.Due(now) || since < period && !loads && !p.needsFull(scope) && !p.placer.Changed(scope) {
		return
	}
	recipients := p.recipients(now, scope)
	p.publishedAt[scope] = now
	p.publishFull(now, scope)
	if loads {
		p.placer.IncludeLoads(scope)
		pacing.SentLoads(now, period)
	}
	capacity := float64(p.node.settings.Capacity)
	update := p.placer.Update(now, scope, p.shard, p.lease.Fence(), homes.MaxEntries(scope, capacity, len(recipients)))
	p.addLease(update)
	if now >= p.membersSentAt[scope]+memberListPeriod {
		p.membersSentAt[scope] = now
		update.Members = p.memberList()
	}
	if scope == p.scopeOf(p.node.settings.Region) {
		p.node.applyPlacement(update)
	}
	p.node.links.Broadcast(recipients, update)
	entries, loadsOnly := update.Count()
	pacing.Sent(now, scope, capacity, entries, loadsOnly, len(recipients))
}

// recipients returns the other entry VMs in a scope that are subscribers.
func (p *placerWorker) recipients(now clock.Millis, scope homes.Scope) []links.Recipient {
	var list []links.Recipient
	for id, sub := range p.subscribers {
		if now > sub.lastReportAt+subscriberTTL {
			delete(p.subscribers, id)
			continue
		}
		if id != p.node.settings.ID && p.scopeOf(sub.region) == scope {
			list = append(list, sub.recipient(id))
		}
	}
	return list
}

// addLease adds what the receivers need to know of the lease.
func (p *placerWorker) addLease(update *peer.PlacementUpdate) {
	update.Address, update.KeepsStarts, update.KeepsLedger = p.node.settings.PeerAddress, true, true
	update.LeaseNext, update.Remaining = p.lease.Next(), max(0, p.lease.ValidUntil()-p.node.clock.BootNow())
}

// memberList returns the subscribers sorted by id.
func (p *placerWorker) memberList() []peer.Member {
	list := make([]peer.Member, 0, len(p.subscribers))
	for id, sub := range p.subscribers {
		list = append(list, peer.Member{ID: id, Address: sub.address, Region: sub.region, Domain: sub.domain, Capacity: float64(sub.capacity)})
	}
	slices.SortFunc(list, func(a, b peer.Member) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (p *placerWorker) scopeOf(region units.Region) homes.Scope {
	if string(region) == p.shard {
		return homes.SameRegion
	}
	return homes.OtherRegions
}

func (p *placerWorker) needsFull(scope homes.Scope) bool {
	for id := range p.fullTo {
		if p.scopeOf(p.subscribers[id].region) == scope {
			return true
		}
	}
	return false
}

// maxFullUpdates is the number of full updates that are sent to single subscribers at a time.
// If more ask for one, such as after a change of the placer, all get the state by the following
// updates.
const maxFullUpdates = 3

// publishFull answers the subscribers in a scope that have requested a full placement update.
func (p *placerWorker) publishFull(now clock.Millis, scope homes.Scope) {
	var recipients []links.Recipient
	own := false
	for id := range p.fullTo {
		sub := p.subscribers[id]
		if p.scopeOf(sub.region) != scope {
			continue
		}
		delete(p.fullTo, id)
		if id == p.node.settings.ID {
			own = true
		} else {
			recipients = append(recipients, sub.recipient(id))
		}
	}
	if len(recipients) > maxFullUpdates {
		p.placer.Republish(scope)
		recipients, p.membersSentAt[scope] = nil, now-memberListPeriod
	}
	if len(recipients) == 0 && !own {
		return
	}
	full := p.placer.FullUpdate(now, scope, p.shard, p.lease.Fence())
	p.addLease(full)
	full.Members = p.memberList()
	if own {
		p.node.applyPlacement(full)
	}
	p.node.links.Broadcast(recipients, full)
	p.pacing[scope].Sent(now, scope, float64(p.node.settings.Capacity), len(full.Servers), 0, len(recipients))
}

// logState logs the state of the shard once per stateLogPeriod.
func (p *placerWorker) logState(now clock.Millis) {
	if now < p.loggedAt+stateLogPeriod {
		return
	}
	p.loggedAt = now
	st := p.placer.State()
	p.node.meter.SetLoads(p.shard, st.InFlight, st.Queued, st.LoadLimit)
	p.node.log.Info("placer_state", "shard", p.shard, "fence", uint64(p.lease.Fence()), "servers", st.Servers, "synced", st.Synced,
		"ready", st.Ready, "idle", st.Idle, "loading", st.Loading, "retired", st.Retired, "unloading", st.Unloading,
		"wants", st.LoadRequests, "waiting", st.Waiting, "queued", st.Queued, "loads_in_flight", st.InFlight, "load_limit", math.Round(st.LoadLimit), "slowness", math.Round(st.Slowness*100)/100, "entry_vms", len(p.subscribers), "slow_servers", st.SlowServers, "starting_servers", st.Starting)
	p.node.meter.Set("slow_servers", float64(st.SlowServers), "shard", p.shard)
	p.node.meter.Set("starting_servers", float64(st.Starting), "shard", p.shard)
}
