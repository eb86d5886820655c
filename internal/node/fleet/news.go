package fleet

import (
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/homes"
)

// tell sends homes to the entry VMs that report.
func (p *placing) tell(now clock.Millis) {
	p.logState(now)
	p.tellReach(now, homes.Near, newsAtOnce, newsPeriod)
	p.tellReach(now, homes.Far, farNewsAtOnce, farNewsPeriod)
}

// tellReach sends news to the entry VMs of a reach: loads each period, changed copies
// as soon as atOnce has passed since the last news.
func (p *placing) tellReach(now clock.Millis, reach homes.Reach, atOnce, period clock.Millis) {
	since := now - p.newsAt[reach]
	wantsFull := p.wantsFull(reach)
	if since < atOnce || since < period && !p.placer.Changed(reach) && !wantsFull {
		return
	}
	if since >= period {
		p.placer.CallForLoads(reach)
	}
	p.newsAt[reach] = now
	if wantsFull {
		p.tellFull(reach)
	}
	news := p.placer.News(now, reach, p.shard, p.lease.Fence(), false)
	news.LeaseNext, news.Left = p.lease.Next(), max(0, p.lease.Until()-p.node.clock.BootNow())
	if reach == p.reachOf(p.node.settings.Region) {
		p.node.homes(news)
	}
	for id, l := range p.heard {
		if now > l.at+listenerTerm {
			delete(p.heard, id)
			continue
		}
		if id != p.node.settings.ID && p.reachOf(l.region) == reach {
			p.node.links.Send(id, l.address, news)
		}
	}
}

func (p *placing) reachOf(region units.Region) homes.Reach {
	if string(region) == p.shard {
		return homes.Near
	}
	return homes.Far
}

func (p *placing) wantsFull(reach homes.Reach) bool {
	for id := range p.fullTo {
		if p.reachOf(p.heard[id].region) == reach {
			return true
		}
	}
	return false
}

func (p *placing) tellFull(reach homes.Reach) {
	full := p.placer.News(p.node.clock.Now(), reach, p.shard, p.lease.Fence(), true)
	for id := range p.fullTo {
		l := p.heard[id]
		if p.reachOf(l.region) != reach {
			continue
		}
		delete(p.fullTo, id)
		if id == p.node.settings.ID {
			p.node.homes(full)
		} else {
			p.node.links.Send(id, l.address, full)
		}
	}
}

// logState tells once a second how the shard fares.
func (p *placing) logState(now clock.Millis) {
	if now < p.loggedAt+statePeriod {
		return
	}
	p.loggedAt = now
	st := p.placer.State()
	p.node.log.Info("placer_state", "shard", p.shard, "fence", uint64(p.lease.Fence()), "servers", st.Servers, "synced", st.Synced,
		"ready", st.Ready, "idle", st.Idle, "loading", st.Loading, "retired", st.Retired, "unloading", st.Unloading,
		"wants", st.Wants, "waiting", st.Waiting, "loads_in_flight", st.InFlight, "slowness", math.Round(st.Slowness*100)/100, "entry_vms", len(p.heard))
}
