package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/admit"
	"mangostile/internal/core/peer"
)

// loadsKey is the key of the weight store's limits among the shared limits.
const loadsKey = "loads"

// backlogPeriod is the time after which an unchanged backlog is announced again.
const backlogPeriod = 5 * clock.Second

// demands returns the demands of this entry VM for its heartbeat.
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
	c.applyDemands(c.Members.SelfID(), demands)
	c.shares.Prune(c.now, c.Members.Members())
	return demands
}

// applyDemands applies the demands of an entry VM and recomputes this entry VM's share of
// the weight store's limits.
func (c *Core) applyDemands(from units.EntryVMID, demands []peer.Demand) {
	c.shares.Receive(c.now, from, demands)
	budget := &c.Owner.Budget
	self, members := c.Members.SelfID(), c.Members.Members()
	budget.SetShare(c.shares.Available(loadsKey, self, members, budget.Capacity()), c.shares.Share(loadsKey, self, members), len(members))
}

// limit counts a request against the limits of its caller and of its adapter.
func (c *Core) limit(r *request) *errs.Refusal {
	if refusal := c.limitCaller(r); refusal != nil {
		return refusal
	}
	if r.row == nil {
		return nil
	}
	limits := admit.Limits{RequestsPerSecond: r.row.RequestsPerSecond, TokensPerSecond: r.row.TokensPerSecond, Concurrency: r.row.Concurrency}
	running := func() int {
		return c.countMatching(func(other *request) bool { return other.row != nil && other.row.Adapter == r.row.Adapter })
	}
	verdict := c.checkLimits(r, admit.AdapterKey(r.row.Adapter), limits, running)
	if verdict.Limit == "" {
		return nil
	}
	return errs.Refuse(errs.CodeLimited, "adapter %s is at its limit %s: send the request again later, or ask an operator to raise it", r.row.Adapter, verdict.Limit).WithRetryAfter(verdict.Wait)
}

// limitCaller counts a request against the limits of its caller. A request that another
// failure domain forwarded was counted there.
func (c *Core) limitCaller(r *request) *errs.Refusal {
	if r.Forwarded {
		return nil
	}
	running := func() int {
		return c.countMatching(func(other *request) bool { return other.Caller == r.Caller && !other.Forwarded })
	}
	verdict := c.checkLimits(r, admit.CallerKey(r.Caller), c.cfg.Callers[r.Caller], running)
	if verdict.Limit == "" {
		return nil
	}
	return errs.Refuse(errs.CodeLimited, "caller %s is at its limit %s: send the request again later, or ask an operator to raise it in the settings", r.Caller, verdict.Limit).WithRetryAfter(verdict.Wait)
}

// checkLimits counts a request against this entry VM's share of some limits.
func (c *Core) checkLimits(r *request, key admit.Key, limits admit.Limits, running func() int) admit.Verdict {
	if limits == (admit.Limits{}) {
		return admit.Verdict{}
	}
	n := 0
	if limits.Concurrency > 0 {
		n = running()
	}
	share := c.shares.Share(string(key), c.Members.SelfID(), c.Members.Members())
	return c.limiter.Admit(c.now, key, limits, share, r.PromptTokens+r.MaxTokens, n)
}

func (c *Core) countMatching(counts func(*request) bool) int {
	n := 0
	for _, r := range c.requests {
		if counts(r) {
			n++
		}
	}
	return n
}
