package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/relay"
)

// coldRate is the request rate over the failure domain, in requests per second, below
// which an adapter is loaded only in its home domain.
const coldRate = 1.0 / 60

// countEngines counts the engines of this region by base model and failure domain.
func (c *Core) countEngines(vms []event.VM) {
	c.engines = map[units.ModelName]relay.Engines{}
	for i := range vms {
		vm := &vms[i]
		if vm.Entry || vm.Kind != event.KindEngine || vm.Region != c.cfg.Self.Region || vm.State == event.VMLeaving {
			continue
		}
		if c.engines[vm.Base] == nil {
			c.engines[vm.Base] = relay.Engines{}
		}
		c.engines[vm.Base][vm.FailureDomain]++
	}
}

// sendToHomeDomain sends a request for a rarely requested adapter that is not loaded in
// this failure domain to the adapter's home domain in the region. It reports false if the
// request stays here.
func (c *Core) sendToHomeDomain(r *request, out *event.Effects) bool {
	if r.Forwarded || c.leaving || r.attempt > 0 {
		return false
	}
	if c.popularity.Rate(c.now, r.adapter)*float64(len(c.Members.Members())) >= coldRate {
		return false
	}
	home := c.engines[r.row.Base].Home(r.adapter)
	if home == "" || home == c.cfg.Self.FailureDomain {
		return false
	}
	to := c.relay.ChooseIn(c.now, c.cfg.Self, home, c.Members.Peers(), r.ID)
	if to == nil {
		return false
	}
	c.dispatchToPeer(r, to, "home_of_adapter", out)
	return true
}

// prunePopularity drops adapters that are now rarely requested, once a minute.
func (c *Core) prunePopularity() {
	if c.now-c.popularityPrunedAt >= clock.Minute {
		c.popularityPrunedAt = c.now
		c.popularity.Prune(c.now)
	}
}
