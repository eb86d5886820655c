package fleet

import (
	"context"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/credit"
)

const (
	// quotaUsedReason is the reason of refusing a request of a customer whose quota is used up,
	// quotaUnknownReason that if it is not known whether it is.
	quotaUsedReason    = "the customer's quota is used up"
	quotaUnknownReason = "the customer's quota can't be checked"
	// quotaReportPeriod is the time between two updates of the gauges of quotas.
	quotaReportPeriod = time.Second
)

// credits holds this entry VM's part in keeping customers' quotas.
type credits struct {
	mu   sync.Mutex
	core *credit.Core
}

func newCredits(o *Options) *credit.Core {
	return credit.New(o.Clock.BootNow(), credit.Config{
		Self: o.Settings.ID, Incarnation: o.Incarnation, Address: o.Settings.PeerAddress, Domain: o.Settings.Domain,
		Domains: slices.Sorted(maps.Keys(o.Settings.Regions)), Terms: o.Settings.Quotas,
	})
}

// withCredits calls f with the core of quotas while its lock is held, and sends the messages that come
// of it.
func (n *Node) withCredits(f func(core *credit.Core)) {
	for _, m := range n.creditMessages(f) {
		n.links.Send(m.To, m.Address, m.Message)
	}
}

func (n *Node) creditMessages(f func(core *credit.Core)) []credit.Message {
	n.credits.mu.Lock()
	defer n.credits.mu.Unlock()
	f(n.credits.core)
	return n.credits.core.Messages()
}

// keepCredits does what is due for quotas until ctx is done. The error is always nil.
func (n *Node) keepCredits(ctx context.Context) error {
	ticker := time.NewTicker(credit.TickPeriod.Duration())
	defer ticker.Stop()
	var reportedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.guard("quotas", func() {
				n.withCredits(func(core *credit.Core) { core.Tick(n.clock.BootNow()) })
				if now.Sub(reportedAt) >= quotaReportPeriod {
					reportedAt = now
					n.reportQuotas()
				}
			})
		}
	}
}

// reportQuotas sets the gauges of the customers whose keeper this entry VM is, and 0 for the others. It
// logs the quotas of which much is used.
func (n *Node) reportQuotas() {
	cfg := n.config.Load()
	if cfg == nil {
		return
	}
	for _, customer := range cfg.Customers.All() {
		if !customer.Quota.Limited() {
			continue
		}
		var s credit.Status
		n.withCredits(func(core *credit.Core) { s, _ = core.Status(n.clock.BootNow(), customer.Name) })
		n.meter.Set("quota_used", s.Used, "customer", string(customer.Name))
		if s.Near() {
			n.log.Info("quota_state", "customer", customer.Name, "used", round(s.Used), "granted", round(s.Granted), "paced", round(s.Paced), "cut_off", s.CutOff)
		}
	}
}

// round rounds a share or a rate to three decimals, for a log line.
func round(x float64) float64 { return math.Round(1000*x) / 1000 }

// claimCredit charges the request to its customer's quota, if there is one. If the quota is used up, it
// has answered the caller and reports false.
func (c *exchange) claimCredit() bool {
	if c.customer == nil || !c.customer.Quota.Limited() {
		return true
	}
	n := c.node
	c.claim = credit.Claim{
		Customer: c.customer.Name, Cost: units.Amount(c.customer.Quota.Cost(c.head.PromptTokens, c.head.MaxTokens)),
		Deadline: n.clock.BootNow() + c.req.Deadline - n.clock.Now(),
	}
	for {
		var verdict credit.Verdict
		n.withCredits(func(core *credit.Core) { verdict = core.Admit(n.clock.BootNow(), &c.claim) })
		switch verdict := verdict.(type) {
		case credit.Admitted:
			return true
		case credit.Wait:
			c.awaitCredit(verdict)
		case credit.Refused:
			n.meter.QuotaRefused(string(c.customer.Name), verdict.Unknown)
			if verdict.Unknown {
				c.refuse(quotaUnknownReason, verdict.RetryAfter)
			} else {
				c.refuseAs(http.StatusTooManyRequests, quotaUsedReason, verdict.RetryAfter)
			}
			return false
		}
	}
}

// awaitCredit waits until the verdict may have changed. If the caller leaves, it panics with
// http.ErrAbortHandler.
func (c *exchange) awaitCredit(verdict credit.Wait) {
	n := c.node
	timer := time.NewTimer(max(time.Millisecond, (verdict.Until - n.clock.BootNow()).Duration()))
	defer timer.Stop()
	select {
	case <-verdict.Changed:
	case <-timer.C:
	case <-c.r.Context().Done():
	}
	if c.callerLeft() {
		n.withCredits(func(core *credit.Core) { core.Cancel(&c.claim) })
		c.abort()
	}
}

// returnCredit gives back what was charged if the request has not run.
func (c *exchange) returnCredit() {
	if c.claim.Cost > 0 && !c.ran {
		c.node.withCredits(func(core *credit.Core) { core.Return(&c.claim) })
	}
}
