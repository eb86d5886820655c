package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/relay"
)

// coldRate is the rate, in requests a second over the failure domain, below which
// an adapter is loaded only in its home.
const coldRate = 1.0 / 60

// countEngines counts the engines of the own region by base model.
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

// sendHome sends a request for an adapter that is loaded nowhere in the own
// failure domain, and is seldom asked for, to the failure domain of the region
// that is the adapter's home. It reports false if the request stays.
func (c *Core) sendHome(r *request, out *event.Effects) bool {
	if r.Forwarded || c.leaving || r.attempt > 0 {
		return false
	}
	if c.asked.Rate(c.now, r.adapter)*float64(len(c.Members.Members())) >= coldRate {
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
	c.sendOn(r, to, "home_of_adapter", out)
	return true
}

// pruneAsked forgets adapters that are hardly asked for any more.
func (c *Core) pruneAsked() {
	if c.now-c.askedPrunedAt >= clock.Minute {
		c.askedPrunedAt = c.now
		c.asked.Prune(c.now)
	}
}
