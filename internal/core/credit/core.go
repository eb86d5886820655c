package credit

import (
	"cmp"
	"maps"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/cespare/xxhash/v2"
)

// Config holds the identity of a Core.
type Config struct {
	Self        units.EntryVMID
	Incarnation units.Incarnation
	Address     string
	Domain      units.FailureDomain
	// Domains lists all failure domains in the same order on all entry VMs.
	Domains []units.FailureDomain
	Terms   Terms
}

// Message is a message to another entry VM.
type Message struct {
	To      units.EntryVMID
	Address string
	peer.Message
}

const (
	// askTimeout is the time without a reply after which a keeper is asked again. It exceeds twice
	// the way between two regions and the delay of a weak machine.
	askTimeout = 150 * clock.Millis(1)
	// suspectAsks is the number of asks without a reply after which the next in rank is asked.
	suspectAsks = 2
	// pingPeriod is the time between two pings to an entry VM that did not reply.
	pingPeriod = 2 * clock.Second
	// redirectTTL is how long another entry VM's word on who the keeper is goes before the own view.
	redirectTTL = 2 * clock.Second
	// maxRanked is the number of entry VMs in line to keep a customer's quota.
	maxRanked = 6
	// standstill is the time between two calls of Tick after which the process counts as one that
	// stood still: replies wait for it, and nobody is to be suspected.
	standstill = clock.Second
)

// Core is an entry VM's part in keeping quotas: what it may spend, and the books of the customers whose
// keeper it is. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	now       clock.Millis
	startedAt clock.Millis
	tickedAt  clock.Millis
	customers map[units.CustomerName]topo.Quota
	accounts  map[units.CustomerName]*account
	books     map[units.CustomerName]*book

	// others are the other entry VMs that are known to run, of which there are about total with
	// this one. ranks caches their order by customer.
	others []peer.Member
	total  int
	// joined is true once about half of the entry VMs have been known.
	joined bool
	ranks  map[units.CustomerName][]peer.Member

	suspects  map[units.EntryVMID]*suspect
	redirects map[units.CustomerName]redirect
	domains   []domainView
	// nearSince is since when a book here has been near its limit, 0 if none is.
	nearSince clock.Millis
	probed    int

	sequence uint32
	out      []Message
}

// suspect is an entry VM that did not reply.
type suspect struct {
	address  string
	timeouts int
	// silent is true if it isn't asked any more until it sends something.
	silent bool
	pingAt clock.Millis
}

type redirect struct {
	to    peer.Member
	until clock.Millis
}

// New returns a Core that knows no customers.
func New(now clock.Millis, cfg Config) *Core {
	if cfg.Terms.Window <= 0 {
		cfg.Terms.Window = DefaultWindow
	}
	c := &Core{
		cfg: cfg, now: now, startedAt: now, tickedAt: now, customers: map[units.CustomerName]topo.Quota{}, accounts: map[units.CustomerName]*account{},
		books: map[units.CustomerName]*book{}, suspects: map[units.EntryVMID]*suspect{}, redirects: map[units.CustomerName]redirect{},
	}
	for range cfg.Domains {
		c.domains = append(c.domains, domainView{heardAt: now})
	}
	return c
}

// SetCustomers replaces the customers. What was used under a higher limit counts in proportion under
// a lower one, so that a customer who used all of it isn't refused everything for a window.
func (c *Core) SetCustomers(now clock.Millis, customers []*topo.Customer) {
	c.now = max(c.now, now)
	next := map[units.CustomerName]topo.Quota{}
	for _, customer := range customers {
		if customer.Quota.Limited() {
			next[customer.Name] = customer.Quota
		}
	}
	for name, b := range c.books {
		quota, ok := next[name]
		if !ok {
			delete(c.books, name)
			continue
		}
		b.setQuota(quota)
	}
	for name, a := range c.accounts {
		if _, ok := next[name]; !ok {
			a.wake()
			delete(c.accounts, name)
		}
	}
	c.customers = next
}

// SetMembers replaces the list of the other entry VMs that are known to run. total is the number of
// entry VMs by another source, such as a placer; 0 if there is none.
func (c *Core) SetMembers(others []peer.Member, total int) {
	others = slices.Clone(others)
	slices.SortFunc(others, func(a, b peer.Member) int { return cmp.Compare(a.ID, b.ID) })
	if total == c.total && slices.Equal(others, c.others) {
		return
	}
	c.others, c.total, c.ranks = others, total, map[units.CustomerName][]peer.Member{}
	for _, m := range others {
		if i := c.domainIndex(m.Domain); i < len(c.domains) {
			c.domains[i].peopled = true
		}
	}
	for id := range c.suspects {
		if !slices.ContainsFunc(others, func(m peer.Member) bool { return m.ID == id }) {
			delete(c.suspects, id)
		}
	}
}

// size returns the number of entry VMs, 0 until enough were known to tell who keeps a quota: one that
// has just started would take itself for the keeper of all.
func (c *Core) size() int {
	known := 1 + len(c.others)
	c.joined = c.joined || c.total > 0 && 2*known > c.total
	if !c.joined {
		return 0
	}
	return max(known, c.total)
}

func score(customer units.CustomerName, id units.EntryVMID) uint64 {
	return xxhash.Sum64String(string(customer) + "\x00" + string(id))
}

// outranks reports whether entry VM a is to keep a customer's quota rather than b.
func outranks(customer units.CustomerName, a, b units.EntryVMID) bool {
	scoreA, scoreB := score(customer, a), score(customer, b)
	return scoreA > scoreB || scoreA == scoreB && a < b
}

// ranked returns the first entry VMs in line to keep a customer's quota.
func (c *Core) ranked(customer units.CustomerName) []peer.Member {
	if list, ok := c.ranks[customer]; ok {
		return list
	}
	all := append(slices.Clone(c.others), peer.Member{ID: c.cfg.Self, Address: c.cfg.Address, Domain: c.cfg.Domain})
	scores := make(map[units.EntryVMID]uint64, len(all))
	for _, m := range all {
		scores[m.ID] = score(customer, m.ID)
	}
	slices.SortFunc(all, func(a, b peer.Member) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	list := slices.Clone(all[:min(len(all), maxRanked)])
	if c.ranks == nil {
		c.ranks = map[units.CustomerName][]peer.Member{}
	}
	c.ranks[customer] = list
	return list
}

// keeper returns the entry VM to ask for a customer's credit. It reports false if none is known.
func (c *Core) keeper(customer units.CustomerName) (peer.Member, bool) {
	if c.size() == 0 {
		return peer.Member{}, false
	}
	if r, ok := c.redirects[customer]; ok && c.now < r.until && !c.isSilent(r.to.ID) {
		return r.to, true
	}
	for _, m := range c.ranked(customer) {
		if !c.isSilent(m.ID) {
			return m, true
		}
	}
	return peer.Member{}, false
}

func (c *Core) isSilent(id units.EntryVMID) bool {
	s := c.suspects[id]
	return s != nil && s.silent
}

// unanswered records that an entry VM did not reply in time.
func (c *Core) unanswered(m peer.Member) {
	s := c.suspects[m.ID]
	if s == nil {
		s = &suspect{address: m.Address}
		c.suspects[m.ID] = s
	}
	if s.timeouts++; s.timeouts >= suspectAsks && !s.silent {
		s.silent, s.pingAt = true, c.now+pingPeriod
	}
}

// heard records a sign of life.
func (c *Core) heard(from units.EntryVMID, domain units.FailureDomain) {
	delete(c.suspects, from)
	if i := c.domainIndex(domain); i < len(c.domains) && from != c.cfg.Self {
		c.domains[i].hear(c.now)
	}
}

// domainOf returns the failure domain of an entry VM, empty if it is not known.
func (c *Core) domainOf(id units.EntryVMID) units.FailureDomain {
	i, found := slices.BinarySearchFunc(c.others, id, func(m peer.Member, id units.EntryVMID) int { return cmp.Compare(m.ID, id) })
	if !found {
		return ""
	}
	return c.others[i].Domain
}

// domainIndex returns the place of a failure domain in cfg.Domains; that of an unknown one is beyond.
func (c *Core) domainIndex(domain units.FailureDomain) int {
	if i := slices.Index(c.cfg.Domains, domain); i >= 0 {
		return i
	}
	return len(c.cfg.Domains)
}

// Messages returns the messages to send since the last call.
func (c *Core) Messages() []Message {
	out := c.out
	c.out = nil
	return out
}

func (c *Core) request() *peer.CreditRequest {
	c.sequence++
	return &peer.CreditRequest{Sequence: c.sequence, Incarnation: c.cfg.Incarnation, Domain: c.cfg.Domain, Address: c.cfg.Address}
}

func (c *Core) send(to units.EntryVMID, address string, m peer.Message) {
	c.out = append(c.out, Message{To: to, Address: address, Message: m})
}

// ReceiveRequest handles a request of another entry VM.
func (c *Core) ReceiveRequest(now clock.Millis, from units.EntryVMID, m *peer.CreditRequest) {
	c.now = max(c.now, now)
	c.heard(from, m.Domain)
	reply := &peer.CreditReply{Sequence: m.Sequence}
	for _, customer := range m.TakesOver {
		reply.Grants = append(reply.Grants, c.yield(peer.Member{ID: from, Address: m.Address, Domain: m.Domain}, customer))
	}
	for i := range m.Asks {
		if grant, ok := c.answer(asked{from: from, request: m, ask: &m.Asks[i]}); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	if len(reply.Grants) > 0 || len(m.Asks) == 0 {
		c.reply(from, m.Address, reply)
	}
}

func (c *Core) reply(to units.EntryVMID, address string, m *peer.CreditReply) {
	if to == c.cfg.Self {
		c.ReceiveReply(c.now, to, m)
		return
	}
	c.send(to, address, m)
}

// ReceiveReply handles a reply of another entry VM.
func (c *Core) ReceiveReply(now clock.Millis, from units.EntryVMID, m *peer.CreditReply) {
	c.now = max(c.now, now)
	c.heard(from, c.domainOf(from))
	for i := range m.Grants {
		grant := &m.Grants[i]
		if b := c.books[grant.Customer]; b != nil && b.probes[from] == m.Sequence && m.Sequence != 0 {
			c.probeAnswered(b, from, grant)
			continue
		}
		if a := c.accounts[grant.Customer]; a != nil && a.asking && a.sequence == m.Sequence {
			c.granted(a, from, grant)
		}
	}
}

// Tick does what is due. It is to be called every TickPeriod.
func (c *Core) Tick(now clock.Millis) {
	c.now = max(c.now, now)
	if len(c.customers) == 0 {
		c.tickedAt = c.now
		return
	}
	stood := c.now-c.tickedAt > standstill
	c.tickedAt = c.now
	if stood {
		// Others have gone on with the books.
		clear(c.books)
	}
	for name, a := range c.accounts {
		c.tickAccount(name, a, stood)
	}
	for name, b := range c.books {
		c.tickBook(name, b)
	}
	c.watchDomains(stood)
	for _, id := range slices.Sorted(maps.Keys(c.suspects)) {
		if s := c.suspects[id]; s.silent && c.now >= s.pingAt {
			s.pingAt = c.now + pingPeriod
			c.send(id, s.address, c.request())
		}
	}
}

// TickPeriod is the time between two calls of Tick.
const TickPeriod = 50 * clock.Millis(1)
