package credit

import (
	"fmt"
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/cespare/xxhash/v2"
)

// Verdict is what becomes of a request with regard to its customer's quota. The set of
// implementations is sealed.
type Verdict interface{ verdict() }

// Admitted lets the request go on. Its cost was charged.
type Admitted struct{}

// Wait keeps the request until Changed is closed or Until is reached; then Admit is called again.
type Wait struct {
	Changed <-chan struct{}
	Until   clock.Millis
}

// Refused turns the request away.
type Refused struct {
	// Unknown is true if no keeper was reached, so that the quota may not be used up.
	Unknown bool
	// RetryAfter is the time after which there is credit.
	RetryAfter clock.Millis
}

func (Admitted) verdict() {}
func (Wait) verdict()     {}
func (Refused) verdict()  {}

const (
	// maxWait is how long a request waits for credit: for two asks of a keeper that is gone, and for
	// the next one to take over.
	maxWait = 800 * clock.Millis(1)
	// renewSpacing, times the number of entry VMs, is the least time between two requests for credit
	// ahead of need, at least minRenewSpacing: it bounds the requests that a keeper gets a second.
	renewSpacing    = 3 * clock.Millis(1)
	minRenewSpacing = 250 * clock.Millis(1)
	// wantFactor is the part of the demand expected within a grant's time that is asked for: twice
	// the mean, since the requests of one entry VM come unevenly.
	wantFactor = 2
	// lowUse is the part of a limit up to which entry VMs need not ask before they spend a little.
	lowUse = 0.5
	// lowUseTTL is how long a reply that tells of low use is relied on, lowUsePart the part of the
	// limit that all entry VMs together may spend ahead of asking.
	lowUseTTL  = 30 * clock.Second
	lowUsePart = 0.25
	// shareTTL is how long the own share of a customer's use is kept without a keeper.
	shareTTL = 5 * clock.Minute
	// refusalPause, times the number of entry VMs, is how long an entry VM that got no credit refuses
	// without asking again, within minRefusalPause and maxRefusalPause: it bounds the asks that the
	// keeper of an exhausted quota gets a second.
	refusalPause    = 5 * clock.Millis(1)
	minRefusalPause = 100 * clock.Millis(1)
	maxRefusalPause = 2 * clock.Second
	// unknownRetryAfter is the retry delay if no keeper was reached.
	unknownRetryAfter = 500 * clock.Millis(1)
	// idleAccountTTL is how long an account is kept without requests: as long as it can be of use.
	idleAccountTTL = shareTTL
)

// Claim is one request's claim on its customer's quota. The zero value, with Customer and Cost set,
// is new.
type Claim struct {
	Customer units.CustomerName
	Cost     units.Amount
	// Deadline bounds the wait for credit.
	Deadline clock.Millis

	since   clock.Millis
	waiting bool
	charged bool
}

// account is what this entry VM may spend of a customer's quota.
type account struct {
	// spent, returned and reported are those of a CreditAsk.
	spent, returned, reported units.Amount
	// limit is up to where spent may rise before expires; granted is what was left of it at the last
	// reply, ttl how long that was valid.
	limit   units.Amount
	expires clock.Millis
	granted units.Amount
	ttl     clock.Millis
	// own is what was spent here.
	own ring
	// biggest is the cost of the biggest request since biggestAt, biggestBefore that in the time before.
	biggest, biggestBefore units.Amount
	biggestAt              clock.Millis

	// asking is true while the request of that sequence number to askedOf, sent at askedAt, has no
	// reply. askedSpent is spent as of then.
	asking     bool
	sequence   uint32
	askedOf    peer.Member
	askedAt    clock.Millis
	askedSpent units.Amount
	// reportDue is true if something is to be reported that no grant covers.
	reportDue bool

	// keeper sent the last reply, at repliedAt, and the last history, at historyAt. usedPart is the part
	// of the limit that was in use then, share that of this entry VM in it when the fleet was last whole.
	keeper    units.EntryVMID
	repliedAt clock.Millis
	history   []byte
	historyAt clock.Millis
	usedPart  float64
	share     float64

	// need is the sum of the costs of waiting requests, changed is closed when they may go on.
	need    units.Amount
	changed chan struct{}
	// refusedUntil is until when requests without credit are refused at once; retryAt is when there
	// is credit.
	refusedUntil, retryAt clock.Millis
	usedAt                clock.Millis
}

func (a *account) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Admit decides about a request, and charges its cost if it is admitted.
func (c *Core) Admit(now clock.Millis, r *Claim) Verdict {
	c.now = max(c.now, now)
	quota, limited := c.customers[r.Customer]
	if !limited || r.charged {
		return Admitted{}
	}
	a := c.account(r.Customer)
	c.dequeue(a, r)
	c.noteCost(a, r.Cost)
	if c.charge(a, r, quota) {
		return Admitted{}
	}
	refused := r.since > 0 && !a.asking && a.askedAt >= r.since
	if c.now < a.refusedUntil && (refused || !isSmall(r.Cost, max(a.biggest, a.biggestBefore))) {
		return Refused{RetryAfter: max(0, a.retryAt-c.now)}
	}
	if r.since == 0 {
		r.since = c.now
	}
	until := min(r.since+maxWait, r.since+max(0, r.Deadline-r.since)/3)
	if c.now < until {
		c.enqueue(a, r)
		c.ask(r.Customer, a)
		if !a.asking && a.changed == nil {
			// The keeper is this entry VM, which has replied already.
			c.dequeue(a, r)
			if c.charge(a, r, quota) {
				return Admitted{}
			}
			return Refused{RetryAfter: max(0, a.retryAt-c.now)}
		}
		return Wait{Changed: a.changed, Until: until}
	}
	if c.spendAlone(a, r, quota) {
		return Admitted{}
	}
	return Refused{Unknown: true, RetryAfter: unknownRetryAfter}
}

// Cancel ends the wait of a request whose caller has left.
func (c *Core) Cancel(r *Claim) {
	if a := c.accounts[r.Customer]; a != nil {
		c.dequeue(a, r)
	}
}

// Return gives back what was charged for a request that no backend server has run.
func (c *Core) Return(r *Claim) {
	if a := c.accounts[r.Customer]; a != nil && r.charged {
		a.returned += r.Cost
		a.own.remove(c.now, float64(r.Cost))
		a.reportDue = true
	}
	r.charged = false
}

// renewSpacing returns the least time between two requests for credit ahead of need.
func (c *Core) renewSpacing() clock.Millis {
	return max(minRenewSpacing, renewSpacing*clock.Millis(c.size()))
}

// noteCost records that a request of some cost came.
func (c *Core) noteCost(a *account, cost units.Amount) {
	if c.now >= a.biggestAt+c.cfg.Terms.Window {
		a.biggest, a.biggestBefore, a.biggestAt = 0, a.biggest, c.now
	}
	a.usedAt, a.biggest = c.now, max(a.biggest, cost)
}

func (c *Core) account(customer units.CustomerName) *account {
	a := c.accounts[customer]
	if a == nil {
		a = &account{own: newRing(c.cfg.Terms.Window)}
		c.accounts[customer] = a
	}
	return a
}

func (c *Core) enqueue(a *account, r *Claim) {
	r.waiting = true
	a.need += r.Cost
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
}

func (c *Core) dequeue(a *account, r *Claim) {
	if r.waiting {
		r.waiting = false
		a.need = max(0, a.need-r.Cost)
	}
}

// left returns what may still be spent of the last grant.
func (a *account) left(now clock.Millis) units.Amount {
	if now >= a.expires {
		return 0
	}
	return max(0, a.limit-a.spent)
}

// charge charges a request to the last grant or, while little of the limit is in use, ahead of one.
func (c *Core) charge(a *account, r *Claim, quota topo.Quota) bool {
	left := a.left(c.now)
	switch {
	case r.Cost <= left:
		c.spend(a, r)
		if a.left(c.now) < a.granted/2 && c.now >= a.askedAt+c.renewSpacing() {
			c.ask(r.Customer, a)
		}
		return true
	case c.spendsAhead(a, r.Cost, quota):
		c.spend(a, r)
		a.reportDue = true
		c.ask(r.Customer, a)
		return true
	default:
		return false
	}
}

func (c *Core) spend(a *account, r *Claim) {
	r.charged = true
	a.spent += r.Cost
	a.own.add(c.now, float64(r.Cost))
}

// spendsAhead reports whether a request may be charged before the keeper is asked.
func (c *Core) spendsAhead(a *account, cost units.Amount, quota topo.Quota) bool {
	size := c.size()
	if size == 0 || a.repliedAt == 0 || a.usedPart > lowUse || c.now > a.historyAt+lowUseTTL {
		return false
	}
	return float64(a.spent-a.reported+cost) <= lowUsePart*c.cfg.Terms.dealt(quota)/float64(size)
}

// spendAlone charges a request without a keeper: to the part of the limit that this entry VM used
// lately, or to a small part of the room above the limit.
func (c *Core) spendAlone(a *account, r *Claim, quota topo.Quota) bool {
	size := c.size()
	if size == 0 {
		return false
	}
	budget := alonePart * c.cfg.Terms.room(quota) / float64(size)
	if a.repliedAt > 0 && c.now < a.repliedAt+shareTTL {
		budget = max(budget, a.share*c.cfg.Terms.limit(quota))
	}
	own := a.own.sum(c.now)
	if own+float64(r.Cost) > budget && (own > 0 || c.draw(r) >= budget/float64(r.Cost)) {
		return false
	}
	c.spend(a, r)
	a.reportDue = true
	return true
}

// draw returns a number from 0 to 1 that is the same within a window: of the entry VMs whose budget is
// less than one request, as many admit one as their budgets add up to.
func (c *Core) draw(r *Claim) float64 {
	text := fmt.Sprintf("%s\x00%s\x00%d", r.Customer, c.cfg.Self, c.now/c.cfg.Terms.Window)
	return float64(xxhash.Sum64String(text)>>11) / (1 << 53)
}

// want returns what this entry VM could use while a grant is valid.
func (c *Core) want(a *account) units.Amount {
	window := c.cfg.Terms.Window
	rate := max(a.own.sum(c.now)/window.Duration().Seconds(), a.own.lately(c.now, clock.Second))
	return units.Amount(wantFactor * (rate*max(a.ttl, strictTTL).Duration().Seconds() + float64(max(a.biggest, a.biggestBefore))))
}

// ask sends the keeper a request unless one is under way.
func (c *Core) ask(customer units.CustomerName, a *account) {
	if a.asking {
		return
	}
	to, ok := c.keeper(customer)
	if !ok {
		return
	}
	ask := peer.CreditAsk{Customer: customer, Share: uint16(a.share * math.MaxUint16), Spent: a.spent, Reported: a.reported, Returned: a.returned, Need: a.need, Biggest: max(a.biggest, a.biggestBefore)}
	if c.now < a.usedAt+max(a.ttl, strictTTL) {
		ask.Want = max(a.need, c.want(a))
	}
	// Credit that isn't spent soon is missing elsewhere. Near the limit all of it is given up, and the
	// keeper grants it anew where it is of use.
	kept := a.left(c.now)
	if a.ttl < relaxedTTL {
		kept = min(kept, a.need)
	}
	ask.Left = min(kept, ask.Want)
	a.limit = a.spent + ask.Left
	if a.keeper != to.ID {
		ask.Former, ask.Recent = true, units.Amount(a.own.sum(c.now))
		ask.LeftTTL = max(0, a.expires-c.now)
		if a.history != nil {
			ask.History, ask.HistoryAge = a.history, c.now-a.historyAt
		}
	}
	m := c.request()
	m.Asks = []peer.CreditAsk{ask}
	a.asking, a.sequence, a.askedOf, a.askedAt, a.askedSpent, a.reportDue = true, m.Sequence, to, c.now, a.spent, false
	if to.ID == c.cfg.Self {
		c.ReceiveRequest(c.now, to.ID, m)
		return
	}
	c.send(to.ID, to.Address, m)
}

// granted handles a keeper's reply.
func (c *Core) granted(a *account, from units.EntryVMID, g *peer.CreditGrant) {
	a.asking = false
	if g.Keeper != "" {
		// The sender is not the keeper, or knows nothing of what an earlier process of it granted.
		if g.Keeper == from {
			a.keeper = ""
		} else {
			c.redirects[g.Customer] = redirect{to: peer.Member{ID: g.Keeper, Address: g.KeeperAddress}, until: c.now + redirectTTL}
		}
		a.reportDue = true
		if !c.isSilent(g.Keeper) {
			c.ask(g.Customer, a)
		}
		return
	}
	quota := c.customers[g.Customer]
	a.keeper, a.reported, a.repliedAt = from, max(a.reported, a.askedSpent), c.now
	// The time of a grant counts from the request, of which the keeper knows no more than that it
	// was sent before it arrived.
	a.limit, a.expires, a.ttl = g.Limit, a.askedAt+g.TTL, g.TTL
	a.granted = a.left(c.now)
	if used, ok := usedPart(g.History); ok {
		a.history, a.historyAt, a.usedPart = g.History, c.now, used
		if total := used * c.cfg.Terms.dealt(quota); total > 0 && !g.CutOff {
			a.share = min(1, a.own.sum(c.now)/total)
		}
	}
	if g.CutOff || g.RetryAfter > 0 || g.TTL < relaxedTTL {
		// Nothing may be spent ahead.
		a.usedPart = 1
	}
	a.refusedUntil, a.retryAt = 0, 0
	if g.RetryAfter > 0 {
		pause := min(maxRefusalPause, max(minRefusalPause, refusalPause*clock.Millis(c.size())), g.RetryAfter)
		a.refusedUntil, a.retryAt = c.now+pause, c.now+g.RetryAfter
	}
	a.wake()
}

// usedPart returns the part of the limit that was in use according to a history.
func usedPart(history []byte) (float64, bool) {
	if len(history) < 2*historyParts {
		return 0, false
	}
	total := 0.0
	for k := range historyParts {
		total += historyPart(history, k)
	}
	return total, true
}

func (c *Core) tickAccount(name units.CustomerName, a *account, stood bool) {
	if a.asking && c.now >= a.askedAt+askTimeout {
		a.asking = false
		if !stood && a.askedOf.ID != c.cfg.Self {
			c.unanswered(a.askedOf)
		}
		a.reportDue = a.reportDue || a.spent > a.reported
	}
	if a.asking {
		return
	}
	spentSince := a.spent > a.askedSpent
	idle := c.now >= a.askedAt+c.renewSpacing()
	switch {
	case a.need > 0 && c.now >= a.refusedUntil:
	case a.reportDue && idle:
	case c.now < a.expires && spentSince && idle && a.expires-c.now < a.ttl/3:
	case c.now >= a.expires && a.expires > 0 && a.askedAt < a.expires && (a.limit > a.spent || spentSince):
		// Credit that expired unused is reported, so that it isn't taken for spent.
	case c.now > a.usedAt+idleAccountTTL:
		a.wake()
		delete(c.accounts, name)
		return
	default:
		return
	}
	c.ask(name, a)
}
