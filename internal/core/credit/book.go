package credit

import (
	"encoding/binary"
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

const (
	// strictTTL is how long a grant is valid near the limit, relaxedTTL below half of it: as long as
	// the bound on the time until a configuration is in force, since grants follow the old one.
	strictTTL  = 1500 * clock.Millis(1)
	relaxedTTL = 4 * clock.Second
	// expiryMargin is for how long after a grant has expired the keeper waits for the report on it
	// before it counts the grant as spent.
	expiryMargin = clock.Second
	// nearLimit is the part of a limit above which grants are strict, watchLimit that above which
	// silent failure domains matter. They are also watched for watchTime after a book was opened.
	nearLimit  = 0.5
	watchLimit = 0.25
	watchTime  = 3 * clock.Second
	// presentTTL is how long after its last ask an entry VM counts as one that asks here.
	presentTTL = 3 * relaxedTTL
	// paceBurst is the part of a limit that may be granted at once if the quota's burst is smaller,
	// paceFactor the multiple of its mean rate, and paceTime the time for the free credit, at which more
	// may be granted.
	paceBurst  = 0.06
	paceTime   = 1500 * clock.Millis(1)
	paceFactor = 1.25
	// aheadPart is the part of the free credit that is granted ahead of need, aheadShare that of it
	// which one grant may take.
	aheadPart  = 0.5
	aheadShare = 0.125
	// biggestPart bounds the part of a limit that is kept free for the biggest request.
	biggestPart = 1.0 / 16
	// minRetryAfter is the least time after which callers refused for a quota are to return.
	minRetryAfter = 100 * clock.Millis(1)
)

// A history is what a keeper tells of the use of a quota in its replies, so that any entry VM can go
// on with the book: the use in historyParts parts of the window, the newest first, the credit that is
// granted and not yet reported as spent, and the share of each failure domain in the use. All are
// numbers of two bytes, in 1/historyScale of the limit or of the whole.
const (
	historyParts = 8
	historyScale = 20_000
	historySlots = windowSlots / historyParts
	// historyPeriod is the time between two histories to one entry VM near the limit,
	// relaxedHistoryPeriod that below half of it.
	historyPeriod        = clock.Second
	relaxedHistoryPeriod = 3 * clock.Second
)

func historyPart(history []byte, k int) float64 {
	return float64(binary.BigEndian.Uint16(history[2*k:])) / historyScale
}

// book is what the keeper of a customer's quota knows.
type book struct {
	quota topo.Quota
	terms Terms
	// used holds what was used, by the index of the failure domain, then by entry VMs of unknown ones,
	// then by the keeper itself.
	used    []ring
	entries map[units.EntryVMID]*entry
	// stray is credit granted by a former keeper to entry VMs that have not asked since; it expires
	// at strayUntil.
	stray      float64
	strayUntil clock.Millis
	// shares are the parts of the failure domains in the use, as of when all were heard from.
	shares []float64
	// pace is what may be granted at once, as of pacedAt.
	pace    float64
	pacedAt clock.Millis
	// promised is what refused requests need that were told when to return, as of promisedAt.
	promised   float64
	promisedAt clock.Millis

	openedAt clock.Millis
	// active is true once grants may be given: nobody before in rank is alive, and a former keeper has
	// stopped. probes holds those that were asked about that, with the request's number.
	active bool
	// learnedAt is the time of the history that the book began with, 0 if there is none.
	learnedAt clock.Millis
	probes    map[units.EntryVMID]uint32
	probedAt  clock.Millis
	pending   []asked
	usedAt    clock.Millis
}

// entry is what a keeper knows of one entry VM.
type entry struct {
	incarnation     units.Incarnation
	domain          int
	spent, returned units.Amount
	// limit is up to where spent may have risen by expires; what is open of it is counted as spent
	// then, in assumed.
	limit   units.Amount
	expires clock.Millis
	// sequence is that of the last request, which tells what is left of the grant.
	sequence uint32
	assumed  units.Amount
	// share is that of a CreditAsk.
	share     int
	historyAt clock.Millis
	usedAt    clock.Millis
}

func (e *entry) open() float64 { return float64(max(0, e.limit-e.spent)) }

// asked is an ask and the request that it came with.
type asked struct {
	from    units.EntryVMID
	request *peer.CreditRequest
	ask     *peer.CreditAsk
}

func (b *book) setQuota(quota topo.Quota) {
	before, after := b.terms.dealt(b.quota), b.terms.dealt(quota)
	b.quota = quota
	if after < before {
		for i := range b.used {
			b.used[i].scale(after / before)
		}
	}
}

// entry returns the entry of an entry VM, after counting what it reports.
func (b *book) entry(now clock.Millis, r asked, domain int) *entry {
	ask := r.ask
	e := b.entries[r.from]
	// counted is what of Reported this book has counted.
	var counted units.Amount
	if e != nil && (e.incarnation != r.request.Incarnation || ask.Spent < e.spent || ask.Returned < e.returned) {
		// The process that had the credit is gone, and may have spent it.
		b.used[e.domain].add(now, e.open())
		e = nil
	}
	if e == nil {
		e = &entry{incarnation: r.request.Incarnation, domain: domain, spent: ask.Reported, returned: ask.Returned}
		b.entries[r.from] = e
	} else {
		counted = e.spent
	}
	delta := ask.Spent - e.spent
	if ask.Former {
		// The rest was reported to another keeper. It is in the history that the book began with,
		// unless that keeper went on beside this one.
		delta = ask.Spent - max(e.spent, ask.Reported)
		if now-ask.HistoryAge > b.openedAt+settleTime {
			b.addPast(now, domain, float64(max(0, min(ask.Reported-counted, ask.Recent-delta)-e.assumed)))
		}
	}
	// What a former keeper or an expired grant stands for was counted already.
	switch known := min(delta, e.assumed); {
	case e.assumed > known:
		b.used[domain].remove(now, float64(e.assumed-known))
	default:
		delta -= known
		b.used[domain].add(now, float64(delta))
	}
	b.used[domain].remove(now, float64(ask.Returned-e.returned))
	e.assumed, e.spent, e.returned, e.domain, e.usedAt = 0, ask.Spent, ask.Returned, domain, now
	if now >= e.expires {
		e.limit = e.spent
	}
	if r.request.Sequence > e.sequence {
		e.sequence = r.request.Sequence
		if given := e.limit - ask.Spent - ask.Left; given > 0 {
			e.limit -= given
			b.pace += float64(given)
		}
	}
	if ask.Former && ask.Left > 0 {
		e.limit = max(e.limit, ask.Spent+ask.Left)
		e.expires = max(e.expires, now+min(ask.LeftTTL, relaxedTTL)+expiryMargin)
		b.stray = max(0, b.stray-float64(ask.Left))
	}
	if ask.Former {
		b.stray = max(0, b.stray-float64(ask.Spent-ask.Reported))
	}
	e.share = int(ask.Share)
	return e
}

// expire counts grants as spent whose time is over without a report.
func (b *book) expire(now clock.Millis) {
	for id, e := range b.entries {
		if now < e.expires {
			continue
		}
		if open := e.open(); open > 0 {
			b.used[e.domain].add(now, open)
			e.assumed += e.limit - e.spent
			b.pace += open
			e.limit = e.spent
		}
		if now > e.usedAt+2*b.terms.Window {
			delete(b.entries, id)
		}
	}
	if now >= b.strayUntil {
		b.stray = 0
	}
}

// silence tells which failure domains, by index, are cut off, and whether any is or was lately.
type silence struct {
	domains []bool
	any     bool
}

func (s silence) is(domain int) bool { return domain < len(s.domains) && s.domains[domain] }

// totals returns what is used, and what is granted and open, apart from silent failure domains.
func (b *book) totals(now clock.Millis, silent silence) (used, open float64) {
	for i := range b.used {
		if sum := b.used[i].sum(now); !silent.is(i) {
			used += sum
		}
	}
	for _, e := range b.entries {
		if !silent.is(e.domain) {
			open += e.open()
		}
	}
	return used, open + b.stray
}

// present returns the part of the entry VMs that ask here in the use when the fleet was last whole.
func (b *book) present(now clock.Millis, silent silence) float64 {
	sum := 0
	for _, e := range b.entries {
		if now < e.usedAt+presentTTL && !silent.is(e.domain) {
			sum += e.share
		}
	}
	return min(1, float64(sum)/math.MaxUint16)
}

// refill returns what may be granted at once. It lets a burst pass and spreads the use beyond it, so
// that a customer above the limit isn't served for a part of each window and refused in the rest.
func (b *book) refill(now clock.Millis, limit, free, biggest float64) float64 {
	perMS := max(paceFactor*limit/float64(b.terms.Window), free/float64(paceTime))
	burst := max(b.quota.Burst*limit/b.terms.dealt(b.quota), paceBurst*limit, 2*biggest)
	b.pace = min(burst, b.pace+perMS*float64(now-b.pacedAt))
	b.pacedAt = now
	return b.pace
}

// near reports whether the use is no longer far below the limit.
func (b *book) near(now clock.Millis) bool {
	used, open := b.totals(now, silence{})
	return used+open > watchLimit*b.terms.dealt(b.quota) || now < b.openedAt+watchTime
}

// grant answers an ask from the book. silent tells which failure domains are cut off or were lately.
// While any is, only the shares of the entry VMs that ask here are granted: others may use theirs.
func (b *book) grant(now clock.Millis, r asked, domain int, silent silence) peer.CreditGrant {
	b.expire(now)
	b.usedAt = now
	e := b.entry(now, r, domain)
	ask := r.ask
	limit := b.terms.dealt(b.quota)
	if silent.any {
		// Half of the room that is dealt out is for what both sides grant before they know.
		limit = (b.terms.limit(b.quota) + limit) / 2 * b.present(now, silent)
	}
	allUsed, allOpen := b.totals(now, silent)
	free := limit - allUsed - allOpen
	free = min(free, b.refill(now, limit, free, float64(ask.Biggest)))
	g := peer.CreditGrant{Customer: ask.Customer, TTL: strictTTL, CutOff: silent.any}
	period := historyPeriod
	if allUsed < nearLimit*limit {
		g.TTL, period = relaxedTTL, relaxedHistoryPeriod
	}
	if now >= e.historyAt+period {
		e.historyAt, g.History = now, b.history(now)
	}
	short := ask.Need - units.Amount(e.open())
	var added units.Amount
	// Small requests are refused like large ones, for which no credit would be left otherwise.
	biggest := min(float64(ask.Biggest), biggestPart*limit)
	switch {
	case short <= 0:
	case isSmall(short, ask.Biggest) && float64(short) <= free+smallPart*b.terms.room(b.quota):
		added = short
	case free < biggest:
		g.RetryAfter = b.retryAfter(now, biggest, free)
	case float64(short) <= free:
		added = short
	default:
		added = units.Amount(free)
		g.RetryAfter = b.retryAfter(now, biggest, free-float64(added))
	}
	if more := float64(ask.Want) - e.open() - float64(added); more > 0 && g.RetryAfter == 0 {
		ahead := aheadPart*(limit-allUsed) - allOpen - float64(added)
		added += units.Amount(max(0, min(more, aheadShare*ahead, free-float64(added))))
	}
	b.pace -= float64(added)
	e.limit = max(e.limit, e.spent) + added
	if e.limit > e.spent {
		e.expires = now + g.TTL + expiryMargin
	}
	g.Limit = e.limit
	return g
}

// retryAfter returns the time after which there is credit for a request, behind those that were told
// so before.
func (b *book) retryAfter(now clock.Millis, cost, free float64) clock.Millis {
	perMS := b.terms.limit(b.quota) / float64(b.terms.Window)
	b.promised = max(0, b.promised-perMS*float64(now-b.promisedAt))
	b.promisedAt = now
	missing := cost + b.promised - free
	b.promised = min(b.promised+cost, b.terms.limit(b.quota))
	wait := clock.Millis(0)
	for back := int64(windowSlots); back >= 0 && missing > 0; back-- {
		for i := range b.used {
			r := &b.used[i]
			if number := r.at - back; r.has(number) {
				missing -= *r.slot(number)
			}
		}
		wait = clock.Millis(windowSlots+1-back) * b.used[0].width
	}
	return max(minRetryAfter, wait)
}

// history returns the history of the book.
func (b *book) history(now clock.Millis) []byte {
	limit := b.terms.dealt(b.quota)
	var list []byte
	add := func(amount, whole float64) {
		list = binary.BigEndian.AppendUint16(list, uint16(min(math.MaxUint16, math.Round(amount/max(1, whole)*historyScale))))
	}
	_, open := b.totals(now, silence{})
	for k := range int64(historyParts) {
		sum := 0.0
		for i := range b.used {
			for n := range int64(historySlots) {
				if number := b.used[i].at - k*historySlots - n; b.used[i].has(number) {
					sum += *b.used[i].slot(number)
				}
			}
		}
		add(sum, limit)
	}
	add(open, limit)
	for _, share := range b.shares {
		add(share, 1)
	}
	return list
}

// learn takes over what the newest of the histories that were received tells of the time before the
// book was opened.
func (b *book) learn(now clock.Millis, history []byte, age clock.Millis) {
	at := now - age
	if len(history) != 2*(historyParts+1+len(b.shares)) || age >= b.terms.Window || at <= b.learnedAt || at > b.openedAt+settleTime {
		return
	}
	b.learnedAt = at
	for i := range b.shares {
		b.shares[i] = historyPart(history, historyParts+1+i)
	}
	limit := b.terms.dealt(b.quota)
	newest := b.used[0].slotOf(at)
	b.clearPast(now)
	for k := range historyParts {
		amount := historyPart(history, k) * limit / historySlots
		for n := range int64(historySlots) {
			b.addSlot(newest-int64(k)*historySlots-n, amount)
		}
	}
	b.stray, b.strayUntil = 0, at+relaxedTTL
	if now < b.strayUntil {
		b.stray = historyPart(history, historyParts) * limit
	}
}

// clearPast empties the slots before the book was opened.
func (b *book) clearPast(now clock.Millis) {
	for i := range b.used {
		r := &b.used[i]
		r.advance(now)
		for number := r.at - windowSlots; number < r.slotOf(b.openedAt); number++ {
			if r.has(number) {
				*r.slot(number) = 0
			}
		}
	}
}

// addSlot adds to a slot before the book was opened, by the shares of the failure domains.
func (b *book) addSlot(number int64, amount float64) {
	if !b.used[0].has(number) || number >= b.used[0].slotOf(b.openedAt) {
		return
	}
	rest := amount
	for i, share := range b.shares {
		*b.used[i].slot(number) += share * amount
		rest -= share * amount
	}
	*b.used[len(b.shares)].slot(number) += max(0, rest)
}

// addPast adds an amount that was used at unknown times of the last window.
func (b *book) addPast(now clock.Millis, domain int, amount float64) {
	r := &b.used[domain]
	r.advance(now)
	for number := r.at - windowSlots + 1; number <= r.at; number++ {
		if r.has(number) {
			*r.slot(number) += amount / windowSlots
		}
	}
}

// assumeUsed fills the window before an instant as if the limit had been used up evenly.
func (b *book) assumeUsed(now, before clock.Millis) {
	b.clearPast(now)
	for number := b.used[0].at - windowSlots; number < b.used[0].slotOf(before); number++ {
		b.addSlot(number, b.terms.limit(b.quota)/windowSlots)
	}
}
