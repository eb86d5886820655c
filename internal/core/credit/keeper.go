package credit

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

const (
	// settleTime bounds the wait for those that were asked whether they keep a quota.
	settleTime = 300 * clock.Millis(1)
	// reprobePeriod is the time between two questions to those before in rank while a book is kept
	// in their place.
	reprobePeriod = 500 * clock.Millis(1)
	// maxBefore and maxBehind are how many before and behind in rank are asked.
	maxBefore = 3
	maxBehind = 2
	// idleBookTTL is how long a book is kept without asks.
	idleBookTTL = 5 * clock.Minute

	// A failure domain of which nothing was heard for silentAfter, while it was probed each
	// probePeriod, is taken for cut off. It is set aside for until returnTime after it is heard again,
	// until its entry VMs know this keeper, but not for longer than forgetAfter.
	probeAfter   = 300 * clock.Millis(1)
	probePeriod  = 200 * clock.Millis(1)
	silentAfter  = 800 * clock.Millis(1)
	returnTime   = 6 * clock.Second
	forgetAfter  = 5 * clock.Minute
	probesAtOnce = 3
	// shareAge is the greatest age of the last message of each failure domain with which their
	// shares are updated.
	shareAge = clock.Second
	// minShareUse is the least part of the limit in use from which shares are computed.
	minShareUse = 0.05
)

// domainView is what is known of a failure domain.
type domainView struct {
	heardAt, probedAt clock.Millis
	// peopled is true if another entry VM of it was ever known.
	peopled bool
	// silent is true while the domain is taken for cut off; asideUntil is until when its share is
	// set aside after that.
	silent     bool
	asideUntil clock.Millis
}

func (d *domainView) hear(now clock.Millis) {
	d.heardAt = now
	if d.silent {
		d.silent, d.asideUntil = false, now+returnTime
	}
}

// silence returns which failure domains may use their share of a limit without this entry VM.
func (c *Core) silence() silence {
	s := silence{domains: make([]bool, len(c.domains))}
	for i := range c.domains {
		d := &c.domains[i]
		s.domains[i] = d.silent && c.now < d.heardAt+forgetAfter
		s.any = s.any || s.domains[i] || c.now < d.asideUntil
	}
	return s
}

// watchDomains probes the failure domains while a book here is near its limit.
func (c *Core) watchDomains(stood bool) {
	near := false
	for _, b := range c.books {
		near = near || b.near(c.now)
	}
	if !near || stood {
		c.nearSince = 0
		if !near {
			return
		}
	}
	if c.nearSince == 0 {
		c.nearSince = c.now
	}
	for i := range c.domains {
		d := &c.domains[i]
		if c.now < d.heardAt+probeAfter || !d.peopled {
			continue
		}
		if c.now >= max(d.heardAt, c.nearSince)+silentAfter {
			d.silent = true
		}
		if c.now >= d.probedAt+probePeriod {
			d.probedAt = c.now
			c.probe(c.cfg.Domains[i])
		}
	}
}

// probe asks some entry VMs of a failure domain for a sign of life, others each time.
func (c *Core) probe(domain units.FailureDomain) {
	var list []peer.Member
	for _, m := range c.others {
		if m.Domain == domain {
			list = append(list, m)
		}
	}
	for i := range min(probesAtOnce, len(list)) {
		m := list[(c.probed+i)%len(list)]
		c.send(m.ID, m.Address, c.request())
	}
	c.probed += probesAtOnce
}

// answer answers an ask. It reports false if the answer has to wait until the book is active.
func (c *Core) answer(r asked) (peer.CreditGrant, bool) {
	customer := r.ask.Customer
	quota, known := c.customers[customer]
	if !known {
		// Another version of the configuration: here, nothing limits it.
		return peer.CreditGrant{Customer: customer, Limit: r.ask.Spent + r.ask.Want, TTL: strictTTL}, true
	}
	b := c.books[customer]
	if b == nil {
		if to, ok := c.redirects[customer]; ok && c.now < to.until && to.to.ID != r.from && to.to.ID != c.cfg.Self && !c.isSilent(to.to.ID) {
			return peer.CreditGrant{Customer: customer, Keeper: to.to.ID, KeeperAddress: to.to.Address}, true
		}
		b = &book{quota: quota, terms: c.cfg.Terms, entries: map[units.EntryVMID]*entry{}, openedAt: c.now, usedAt: c.now, shares: c.memberShares()}
		for range len(c.domains) + 2 {
			b.used = append(b.used, newRing(c.cfg.Terms.Window))
		}
		if a := c.accounts[customer]; a != nil && a.history != nil {
			b.learn(c.now, a.history, c.now-a.historyAt)
		}
		b.pace, b.pacedAt = max(quota.Burst, paceBurst*b.terms.limit(quota)), c.now
		c.books[customer] = b
		c.probeRanks(customer, b, true)
		c.watchDomains(false)
	}
	if r.ask.Former {
		b.learn(c.now, r.ask.History, r.ask.HistoryAge)
	} else if e := b.entries[r.from]; r.ask.Reported > 0 && e == nil && c.now < b.openedAt+2*c.cfg.Terms.Window {
		// The keeper that it knows was an earlier process of this entry VM.
		return peer.CreditGrant{Customer: customer, Keeper: c.cfg.Self, KeeperAddress: c.cfg.Address}, true
	}
	if !b.active && c.settled(b) {
		c.activate(b)
	}
	if !b.active {
		b.pending = append(b.pending, r)
		return peer.CreditGrant{}, false
	}
	return b.grant(c.now, r, c.usedBy(r), c.silence()), true
}

// usedBy returns the index in book.used for an entry VM. This one has its own, since it isn't cut off
// from itself if its failure domain is silent.
func (c *Core) usedBy(r asked) int {
	if r.from == c.cfg.Self {
		return len(c.domains) + 1
	}
	return c.domainIndex(r.request.Domain)
}

// memberShares returns the failure domains' shares of the entry VMs.
func (c *Core) memberShares() []float64 {
	shares := make([]float64, len(c.domains))
	count := func(domain units.FailureDomain) {
		if i := c.domainIndex(domain); i < len(shares) {
			shares[i] += 1 / float64(1+len(c.others))
		}
	}
	count(c.cfg.Domain)
	for _, m := range c.others {
		count(m.Domain)
	}
	return shares
}

// probeRanks asks those before in rank whether they live, and those behind to hand over the book.
func (c *Core) probeRanks(customer units.CustomerName, b *book, behind bool) {
	b.probes, b.probedAt = map[units.EntryVMID]uint32{}, c.now
	before, after := 0, 0
	for _, m := range c.ranked(customer) {
		switch {
		case m.ID == c.cfg.Self:
			continue
		case outranks(customer, m.ID, c.cfg.Self):
			if before++; before > maxBefore {
				continue
			}
		default:
			if after++; after > maxBehind || !behind {
				continue
			}
		}
		m2 := c.request()
		m2.TakesOver = []units.CustomerName{customer}
		b.probes[m.ID] = m2.Sequence
		c.send(m.ID, m.Address, m2)
	}
}

// yield answers an entry VM that takes over a customer. Unless this one is before it in rank, it gives
// up its book.
func (c *Core) yield(to peer.Member, customer units.CustomerName) peer.CreditGrant {
	g := peer.CreditGrant{Customer: customer}
	if outranks(customer, c.cfg.Self, to.ID) {
		g.Keeper, g.KeeperAddress = c.cfg.Self, c.cfg.Address
		return g
	}
	c.redirects[customer] = redirect{to: to, until: c.now + redirectTTL}
	if b := c.books[customer]; b != nil {
		if b.active {
			b.expire(c.now)
			g.History = b.history(c.now)
		}
		c.drop(customer, b)
	}
	return g
}

// drop gives up a book and sends those who wait for it to its new keeper.
func (c *Core) drop(customer units.CustomerName, b *book) {
	delete(c.books, customer)
	to := c.redirects[customer].to
	for _, r := range b.pending {
		grant := peer.CreditGrant{Customer: customer, Keeper: to.ID, KeeperAddress: to.Address}
		c.reply(r.from, r.request.Address, c.replyTo(r, grant))
	}
}

func (c *Core) replyTo(r asked, grant peer.CreditGrant) *peer.CreditReply {
	return &peer.CreditReply{Sequence: r.request.Sequence, Grants: []peer.CreditGrant{grant}}
}

// probeAnswered handles the reply to a question of probeRanks.
func (c *Core) probeAnswered(b *book, from units.EntryVMID, g *peer.CreditGrant) {
	delete(b.probes, from)
	if g.Keeper != "" && outranks(g.Customer, g.Keeper, c.cfg.Self) {
		c.redirects[g.Customer] = redirect{to: peer.Member{ID: g.Keeper, Address: g.KeeperAddress}, until: c.now + redirectTTL}
		c.drop(g.Customer, b)
		return
	}
	if !b.active {
		b.learn(c.now, g.History, 0)
		if c.settled(b) {
			c.activate(b)
		}
	}
}

// settled reports whether a book may become active: those in rank were heard or had the time to answer,
// and it is known which failure domains are cut off.
func (c *Core) settled(b *book) bool {
	switch {
	case c.now >= b.openedAt+silentAfter+2*TickPeriod:
		return true
	case len(b.probes) > 0 && c.now < b.openedAt+settleTime:
		return false
	}
	for i := range c.domains {
		if c.domains[i].peopled && c.now > c.domains[i].heardAt+settleTime && b.openedAt > c.domains[i].heardAt {
			return false
		}
	}
	return true
}

// activate begins to grant credit from a book.
func (c *Core) activate(b *book) {
	b.active = true
	if b.learnedAt == 0 && c.now < c.startedAt+c.cfg.Terms.Window {
		// All may have been restarted, and what they spent before is not known.
		b.assumeUsed(c.now, c.startedAt)
	}
	pending := b.pending
	b.pending = nil
	for _, r := range pending {
		grant := b.grant(c.now, r, c.usedBy(r), c.silence())
		c.reply(r.from, r.request.Address, c.replyTo(r, grant))
	}
}

func (c *Core) tickBook(customer units.CustomerName, b *book) {
	b.expire(c.now)
	switch {
	case !b.active && c.settled(b):
		c.activate(b)
	case c.now > b.usedAt+idleBookTTL:
		delete(c.books, customer)
		return
	case b.active && c.now >= b.probedAt+reprobePeriod && c.ranked(customer)[0].ID != c.cfg.Self:
		c.probeRanks(customer, b, false)
	}
	c.updateShares(b)
}

// updateShares computes the failure domains' shares while all of them are heard from: what a domain
// used that was cut off a moment ago still shows its share.
func (c *Core) updateShares(b *book) {
	for i := range c.domains {
		if b.shares[i] > 0 && c.cfg.Domains[i] != c.cfg.Domain && c.now > c.domains[i].heardAt+shareAge {
			return
		}
	}
	all, _ := b.totals(c.now, silence{})
	if all < minShareUse*b.terms.dealt(b.quota) {
		return
	}
	for i := range b.shares {
		b.shares[i] = b.used[i].sum(c.now) / all
	}
}

// Status is the state of a quota at its keeper, in parts of the limit in a window.
type Status struct {
	// Used is what was used, Granted what was granted and is not known to be used, Paced what may be
	// granted at once.
	Used, Granted, Paced float64
	// CutOff is true if only the shares of the entry VMs in touch are granted.
	CutOff bool
}

// Near reports whether much of the limit is used.
func (s *Status) Near() bool { return s.Used > nearLimit }

// Status returns the state of a customer's quota. It reports false if this entry VM is not its keeper.
func (c *Core) Status(now clock.Millis, customer units.CustomerName) (s Status, keeps bool) {
	b := c.books[customer]
	if b == nil || !b.active {
		return Status{}, false
	}
	used, granted := b.totals(max(c.now, now), silence{})
	limit := b.terms.limit(b.quota)
	return Status{Used: used / limit, Granted: granted / limit, Paced: b.pace / limit, CutOff: c.silence().any}, true
}
