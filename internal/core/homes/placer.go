// Package homes decides which adapters the backend servers of a shard hold. It is
// the part of an entry VM that acts while the entry VM is the placer of the shard.
package homes

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// Policy holds the settings of a Placer. Zero fields take the defaults.
type Policy struct {
	// AdapterLoad is the time that an adapter takes from the weight store.
	AdapterLoad clock.Millis
	// LoadsPerServer is the number of adapters on the way to the shard at the same
	// time for each backend server.
	LoadsPerServer float64
	// Keep is how long an adapter that was used is not evicted for another that
	// is not asked for more often.
	Keep clock.Millis
	// CopyAt is the number of requests at one copy from which on another copy is
	// made.
	CopyAt float64
}

// Defaults of Policy.
const (
	defaultAdapterLoad    = 250 * clock.Millis(1)
	defaultLoadsPerServer = 0.45
	defaultKeep           = 1200 * clock.Millis(1)
	defaultCopyAt         = 6
)

func (p Policy) withDefaults() Policy {
	if p.AdapterLoad == 0 {
		p.AdapterLoad = defaultAdapterLoad
	}
	if p.LoadsPerServer == 0 {
		p.LoadsPerServer = defaultLoadsPerServer
	}
	if p.Keep == 0 {
		p.Keep = defaultKeep
	}
	if p.CopyAt == 0 {
		p.CopyAt = defaultCopyAt
	}
	return p
}

// Times of the placer.
const (
	// retireNotice is how long entry VMs have been told not to use a copy before
	// it is unloaded. It exceeds the time between two usage reports.
	retireNotice = 150 * clock.Millis(1)
	// idleBeforeRetire is how long a copy has not been used before it may be
	// retired.
	idleBeforeRetire = 300 * clock.Millis(1)
	// reportSettles is how old the last order must be for a report to tell the
	// state after it; reports lag.
	reportSettles = 450 * clock.Millis(1)
	// reportPeriod is the time between two reports of one server.
	reportPeriod = 2 * clock.Second
	// usageTerm is how long a usage report counts.
	usageTerm = 2 * clock.Second
	// wantTerm is how long a want counts that is not repeated.
	wantTerm = 600 * clock.Millis(1)
	// maxHeld is the number of adapters that a backend server is taken to keep in
	// its memory after they were unloaded, the latest ones.
	maxHeld = 40
	// reuseSpeed is by how much faster.
	reuseSpeed = 8
	// minLoadsInFlight is the least bound of adapters on the way to a shard.
	minLoadsInFlight = 4
	// maxLoadsPerServer bounds adapters on the way to one backend server, as the
	// engines do.
	maxLoadsPerServer = 4
	// lateLoad is how long after its expected end a load may still be under way, and
	// lateGap how soon after the copy was to be there a request must have missed it
	// for that: one that was there and is missed later was lost.
	lateLoad = 1500 * clock.Millis(1)
	lateGap  = 200 * clock.Millis(1)
	// loadMargin is added to the time of a load, since requests may come a few
	// milliseconds before its end is seen at the backend server.
	loadMargin = 8 * clock.Millis(1)
	// loadAgain is the time until a copy that was not there yet is tried again.
	loadAgain = 120 * clock.Millis(1)
	// slowerBy, fasterBy and maxSlowness follow the time that loads take.
	slowerBy    = 1.12
	fasterBy    = 0.97
	maxSlowness = 4
	// versionGrace is how long after its announcement a new version may wait for
	// the runs of the old one before it replaces it all the same.
	versionGrace = 1500 * clock.Millis(1)
)

// copyState is the state of an adapter at a backend server.
type copyState uint8

const (
	// copyLoading is on its way; it can be used from readyAt on.
	copyLoading copyState = iota + 1
	copyReady
	// copyRetired is loaded, but entry VMs have been told not to use it.
	copyRetired
	// copyUnloading waits for its last runs; it takes its place until a report
	// shows it gone.
	copyUnloading
)

// heldCopy is one adapter at one backend server.
type heldCopy struct {
	state    copyState
	revision topo.AdapterRevision
	readyAt  clock.Millis
	// dueAt is the end of the load as it was first expected.
	dueAt clock.Millis
	// usedAt is the last time at which a request was known to use it.
	usedAt    clock.Millis
	retiredAt clock.Millis
	active    int32
}

// server is what the placer knows of one backend server.
type server struct {
	topo.Server
	engine *topo.Engine
	// synced is set once orders and copies are known; no order is sent before.
	synced bool
	// down is set while the backend server does not answer; what it holds may be
	// there still, but nobody is sent there.
	down   bool
	orders int64
	copies map[units.AdapterName]*heldCopy
	models map[units.ModelName]bool
	// modelReadyAt is the end of the load of a model.
	modelReadyAt clock.Millis
	// waiting is set while the answer to an order is awaited.
	waiting    bool
	orderedAt  clock.Millis
	reportAt   clock.Millis
	reporting  bool
	reportedAt clock.Millis
	active     int32
	prefill    units.Tokens
	tokens     units.Tokens
	// held tells when adapters were unloaded that load faster for it, at most
	// maxHeld.
	held map[units.AdapterName]clock.Millis
	// changed tells, for each reach, whether copies changed since its last news, and
	// told the load that it was told of last.
	changed [reaches]bool
	told    [reaches]load
}

// load is what requests take of a backend server.
type load struct {
	active  int32
	prefill units.Tokens
	tokens  units.Tokens
}

func (s *server) load() load { return load{s.active, s.prefill, s.tokens} }

func (s *server) change() { s.changed = [reaches]bool{true, true} }

// keep notes that an adapter was unloaded that stays in the memory of s.
func (s *server) keep(now clock.Millis, adapter units.AdapterName) {
	s.held[adapter] = now
	if len(s.held) <= maxHeld {
		return
	}
	var oldest units.AdapterName
	for name, at := range s.held {
		if oldest == "" || at < s.held[oldest] || at == s.held[oldest] && name < oldest {
			oldest = name
		}
	}
	delete(s.held, oldest)
}

func (s *server) loading(now clock.Millis) int {
	n := 0
	for _, c := range s.copies {
		if c.state == copyLoading && now < c.readyAt {
			n++
		}
	}
	return n
}

// usable reports whether adapters may be ordered to s now.
func (s *server) usable(now clock.Millis) bool {
	return s.synced && !s.down && !s.waiting && !s.Draining && s.Leaves == 0 && now >= s.modelReadyAt
}

// Placer decides for one shard. Make it with New; all methods must be called from
// one goroutine.
type Placer struct {
	policy  Policy
	now     clock.Millis
	servers map[units.BackendServerID]*server
	// order lists the ids of servers in a fixed order.
	order    []units.BackendServerID
	services map[units.ServiceName]*topo.Service
	usage    map[units.EntryVMID]*usage
	// usageChanged is set while usage reports are not added up; addedAt is when they
	// were last.
	usageChanged bool
	addedAt      clock.Millis
	wants        map[units.AdapterName]*want
	demand       popularity
	revision     map[units.AdapterName]announced
	sequence     [reaches]uint64
	gone         [reaches][]units.BackendServerID
	loadsDue     [reaches]bool
	lastWant     clock.Millis
	models       modelBudget
	// copiedAt is when the last copy was made of an adapter that has one.
	copiedAt clock.Millis
	// slowness is by how much loads take longer than the policy says, at least 1.
	slowness float64
}

type announced struct {
	revision topo.AdapterRevision
	at       clock.Millis
}

type usage struct {
	at      clock.Millis
	servers []peer.ServerUse
}

type want struct {
	peer.Want
	// since is when the oldest request began to wait, seenAt the last report.
	since  clock.Millis
	seenAt clock.Millis
	// inTimeUntil is when the adapter must be there for a request to be in time.
	inTimeUntil clock.Millis
	from        map[units.EntryVMID]int32
}

// New returns a placer that knows no backend server.
func New(policy Policy) *Placer {
	return &Placer{
		policy: policy.withDefaults(), slowness: 1, servers: map[units.BackendServerID]*server{}, usage: map[units.EntryVMID]*usage{},
		wants: map[units.AdapterName]*want{}, revision: map[units.AdapterName]announced{},
	}
}

// SetPolicy takes over settings.
func (p *Placer) SetPolicy(policy Policy) { p.policy = policy.withDefaults() }

// SetServers takes the backend servers of the shard that run models.
func (p *Placer) SetServers(now clock.Millis, list []*topo.Server, services map[units.ServiceName]*topo.Service) {
	p.now = now
	p.services = services
	seen := map[units.BackendServerID]bool{}
	for _, entry := range list {
		service := services[entry.Service]
		if service == nil || service.Engine == nil {
			continue
		}
		seen[entry.ID] = true
		p.setServer(entry, service.Engine)
	}
	for id := range p.servers {
		if !seen[id] {
			delete(p.servers, id)
			for reach := range p.gone {
				p.gone[reach] = append(p.gone[reach], id)
			}
		}
	}
	p.order = p.order[:0]
	for id := range p.servers {
		p.order = append(p.order, id)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i] < p.order[j] })
}

func (p *Placer) setServer(entry *topo.Server, engine *topo.Engine) {
	s := p.servers[entry.ID]
	if s == nil || s.Born != entry.Born && entry.Born > s.Born {
		s = &server{
			copies: map[units.AdapterName]*heldCopy{}, models: map[units.ModelName]bool{},
			held: map[units.AdapterName]clock.Millis{}, reportAt: p.now,
		}
		s.change()
		p.servers[entry.ID] = s
	}
	if s.Draining != entry.Draining {
		s.change()
	}
	s.Server, s.engine = *entry, engine
}

// Announce tells of a version of an adapter that was named.
func (p *Placer) Announce(now clock.Millis, adapter units.AdapterName, revision topo.AdapterRevision) {
	if p.revision[adapter].revision < revision {
		p.revision[adapter] = announced{revision: revision, at: now}
	}
}

// Used takes a usage report of an entry VM.
func (p *Placer) Used(now clock.Millis, from units.EntryVMID, u *peer.Usage) {
	p.now = max(p.now, now)
	p.usage[from] = &usage{at: p.now, servers: u.Servers}
	for i := range u.Servers {
		for _, a := range u.Servers[i].Adapters {
			p.demand.add(p.now, a.Adapter, float64(a.Arrived))
		}
	}
	for i := range u.Wants {
		p.want(from, &u.Wants[i])
	}
	for _, m := range u.Missing {
		p.missing(m)
	}
	for _, id := range u.Unreached {
		if s := p.servers[id]; s != nil {
			// The placer's own question tells whether the server is down.
			s.reportAt = min(s.reportAt, p.now)
		}
	}
	p.usageChanged = true
}

func (p *Placer) want(from units.EntryVMID, asked *peer.Want) {
	w := p.wants[asked.Adapter]
	if w == nil {
		w = &want{since: p.now, from: map[units.EntryVMID]int32{}}
		p.wants[asked.Adapter] = w
	}
	w.since = min(w.since, p.now-asked.Waited)
	w.seenAt = p.now
	w.inTimeUntil = max(w.inTimeUntil, p.now+asked.InTime)
	w.from[from] = asked.Count
	w.Adapter, w.Rank = asked.Adapter, asked.Rank
	p.demand.add(p.now, asked.Adapter, float64(asked.Arrived))
	p.lastWant = p.now
}

// missing takes that a backend server does not hold a copy. A load that should just
// have ended takes longer than expected, and so will others; otherwise the backend
// server is asked what it holds.
func (p *Placer) missing(m peer.Missing) {
	s := p.servers[m.Server]
	if s == nil {
		return
	}
	// Whoever missed it has struck it off; what holds is told again.
	s.change()
	c := s.copies[m.Adapter]
	switch {
	case c == nil || c.state == copyLoading && p.now < c.readyAt || c.state != copyReady && c.state != copyLoading:
	case p.now <= c.readyAt+lateGap && p.now <= c.dueAt+lateLoad:
		p.slowness = min(maxSlowness, p.slowness*slowerBy)
		c.state, c.readyAt = copyLoading, p.now+loadAgain
	default:
		s.synced = false
		s.reportAt = min(s.reportAt, p.now)
	}
}

// addUp adds up what entry VMs have reported, if there is anything new or a report
// may have lapsed.
func (p *Placer) addUp() {
	if !p.usageChanged && p.now < p.addedAt+usageTerm/2 {
		return
	}
	p.usageChanged, p.addedAt = false, p.now
	for _, s := range p.servers {
		s.active, s.prefill, s.tokens = 0, 0, 0
		for _, c := range s.copies {
			c.active = 0
		}
	}
	for id, u := range p.usage {
		if p.now > u.at+usageTerm {
			delete(p.usage, id)
			continue
		}
		for i := range u.servers {
			p.addUse(&u.servers[i])
		}
	}
}

func (p *Placer) addUse(u *peer.ServerUse) {
	s := p.servers[u.Server]
	if s == nil {
		return
	}
	s.active += u.Active
	s.prefill += u.Prefill
	s.tokens += u.Tokens
	for _, a := range u.Adapters {
		if c := s.copies[a.Adapter]; c != nil && a.Active+a.Arrived > 0 {
			c.active += a.Active
			c.usedAt = p.now
		}
	}
}
