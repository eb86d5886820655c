package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/admit"
	"mangostile/internal/core/peer"
)

// loadsKey names the weight store's bounds among the shared limits.
const loadsKey = "loads"

// backlogPeriod is the time after which a backlog that did not change is
// announced again.
const backlogPeriod = 5 * clock.Second

// demands returns the own demands for the heartbeat.
func (c *Core) demands() []peer.Demand {
	demands := c.limiter.Demands(c.now)
	backlog := c.Owner.Backlog(c.now)
	if backlog != c.backlog {
		c.backlog = backlog
		c.backlogAt = 0
	}
	if c.now-c.backlogAt >= backlogPeriod {
		c.backlogAt = c.now
		demands = append(demands, peer.Demand{Key: loadsKey, Rate: float32(backlog)})
	}
	c.heardDemands(c.Members.SelfID(), demands)
	c.shares.Prune(c.now, c.Members.Members())
	return demands
}

// heardDemands takes the demands of an entry VM and divides the store anew.
func (c *Core) heardDemands(from units.EntryVMID, demands []peer.Demand) {
	c.shares.Heard(c.now, from, demands)
	budget := &c.Owner.Budget
	self, members := c.Members.SelfID(), c.Members.Members()
	budget.SetShare(c.shares.Left(loadsKey, self, members, budget.Capacity()), c.shares.Part(loadsKey, self, members), len(members))
}

// limit counts a request against the limits of its adapter.
func (c *Core) limit(r *request) *errs.Refusal {
	limits := admit.Limits{RequestsPerSecond: r.row.RequestsPerSecond, TokensPerSecond: r.row.TokensPerSecond, Concurrency: r.row.Concurrency}
	if limits == (admit.Limits{}) {
		return nil
	}
	running := 0
	if limits.Concurrency > 0 {
		running = c.countRequests(r.row.Adapter)
	}
	part := c.shares.Part(admit.LimitKey(r.row.Adapter), c.Members.SelfID(), c.Members.Members())
	verdict := c.limiter.Admit(c.now, r.row.Adapter, limits, part, r.PromptTokens+r.MaxTokens, running)
	if verdict.Limit == "" {
		return nil
	}
	return errs.Refuse(errs.CodeLimited, "adapter %s is at its limit %s: send the request again later, or ask an operator to raise it", r.row.Adapter, verdict.Limit).After(verdict.Wait)
}

func (c *Core) countRequests(adapter units.AdapterName) int {
	n := 0
	for _, r := range c.requests {
		if r.row != nil && r.row.Adapter == adapter {
			n++
		}
	}
	return n
}
