// Package homes decides which adapters the backend servers of a shard hold. It runs on
// the entry VM that is the placer of the shard.
package homes

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/pace"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// Policy holds the settings of a Placer. Zero fields take the defaults.
type Policy struct {
	// AdapterLoad is the time in ms to load an adapter from the weight store.
	AdapterLoad clock.Millis
	// LoadsPerServer is the limit of concurrent loads of the shard for each backend server
	// at the start; loadLimit adapts it. minLoadsInFlight are always allowed.
	LoadsPerServer float64
	// EvictionGrace is the time in ms after the last use of a copy in which recentUseBonus is
	// added to its demand when a copy is chosen for eviction. Slots are freed until twice
	// that time after the last load request.
	EvictionGrace clock.Millis
	// CopyThreshold has no effect; minRequestsToCopy is the number of requests at one copy
	// from which another copy is loaded.
	CopyThreshold float64
	// FixedPace makes all backend servers of a service count as equally fast, also those that have
	// just started.
	FixedPace bool
}

// Defaults of Policy.
const (
	defaultAdapterLoad    = 250 * clock.Millis(1)
	defaultLoadsPerServer = 0.45
	defaultEvictionGrace  = 1200 * clock.Millis(1)
	defaultCopyThreshold  = 6
)

func (p Policy) withDefaults() Policy {
	if p.AdapterLoad == 0 {
		p.AdapterLoad = defaultAdapterLoad
	}
	if p.LoadsPerServer == 0 {
		p.LoadsPerServer = defaultLoadsPerServer
	}
	if p.EvictionGrace == 0 {
		p.EvictionGrace = defaultEvictionGrace
	}
	if p.CopyThreshold == 0 {
		p.CopyThreshold = defaultCopyThreshold
	}
	return p
}

// Times of the placer.
const (
	// unloadDelay is the least time between the retirement of a copy and its unloading.
	// In between, entry VMs must not use it. The delay exceeds the usage report period.
	unloadDelay = 150 * clock.Millis(1)
	// orderPatience is how long the answer to an order is awaited before its adapter is loaded on
	// another backend server too: a few round trips between regions.
	orderPatience = 150 * clock.Millis(1)
	// orderAnswerTimeout is the time after which an order without an answer is taken for lost. It
	// exceeds that of the call, whose result is always passed on unless it is dropped.
	orderAnswerTimeout = clock.Second
	// idleBeforeRetire is how long a copy must be unused before it may be retired.
	idleBeforeRetire = 300 * clock.Millis(1)
	// reportDelay is how long after an order a report may still show the state before it;
	// reports lag.
	reportDelay = 450 * clock.Millis(1)
	// reportPeriod is the time between two reports of one backend server.
	reportPeriod = 2 * clock.Second
	// modelReportPeriod is the time between two reports of one that loads a model.
	modelReportPeriod = 250 * clock.Millis(1)
	// refusedModelDelay is the time after which a refused load of a model is tried again: about
	// that in which the list follows the restart of a process.
	refusedModelDelay = 2 * clock.Second
	// usageTTL is how long a usage report counts.
	usageTTL = 2 * clock.Second
	// loadRequestTTL is how long a load request counts unless it is repeated.
	loadRequestTTL = 600 * clock.Millis(1)
	// maxCached is the number of adapters, the last unloaded ones, that a backend server
	// is assumed to have cached in its memory.
	maxCached = 40
	// cachedSpeedup is by which factor a load of cached weights is faster.
	cachedSpeedup = 8
	// minLoadsInFlight is the least limit of concurrent loads of a shard.
	minLoadsInFlight = 4
	// maxLoadsPerServer limits concurrent loads on one backend server, as the engines do.
	maxLoadsPerServer = 4
	// A request that misses a copy shows a slow load rather than a lost copy if it comes
	// at most lateLoadWindow after the load was first expected to end and at most
	// lateMissWindow after the copy was last expected to be ready.
	lateLoadWindow = 1500 * clock.Millis(1)
	lateMissWindow = 200 * clock.Millis(1)
	// loadMargin is added to the time of a load, since requests may arrive a few
	// milliseconds before the backend server registers its end.
	loadMargin = 8 * clock.Millis(1)
	// lateLoadDelay is how long a copy is not used after a request found it not ready.
	lateLoadDelay = 40 * clock.Millis(1)
	// versionGrace is how long after the announcement of a new version a copy of an old
	// one stays for the executions that use it.
	versionGrace = 1500 * clock.Millis(1)
)

// copyState is the state of an adapter at a backend server.
type copyState uint8

const (
	// copyLoading is a copy that is being loaded; it can be used from readyAt on.
	copyLoading copyState = iota + 1
	copyReady
	// copyRetired is a loaded copy that entry VMs must no longer use.
	copyRetired
	// copyUnloading is a copy whose last executions are awaited; it occupies its adapter
	// slot until a report shows that it was removed.
	copyUnloading
)

// heldCopy is one adapter at one backend server.
type heldCopy struct {
	state    copyState
	revision topo.AdapterRevision
	readyAt  clock.Millis
	// unconfirmed reports that the order of its load has no answer yet. Entry VMs don't hear of such
	// a copy: they would send requests to it when the load should have ended.
	unconfirmed bool
	// startedAt is when the order of its load was answered, wasCached reports that the backend server
	// had its weights.
	startedAt clock.Millis
	wasCached bool
	// dueAt is the end of the load as first expected.
	dueAt clock.Millis
	// usedAt is when the copy was loaded, revived or last shown in use by a usage report.
	usedAt    clock.Millis
	retiredAt clock.Millis
	// active is the number of requests in flight according to the usage reports.
	active int32
}

// server is the placer's state of one backend server.
type server struct {
	// Server is its entry in the list; Draining is set too if saidLeaving is.
	topo.Server
	// reportedStart is the start of the process that reported last, which may not be listed yet.
	reportedStart int64
	// saidLeaving reports that it said in an answer that it leaves.
	saidLeaving bool
	// backoffUntil is until when it asked an entry VM for no requests. Until then its copies don't
	// count for load requests, and it gets no load.
	backoffUntil clock.Millis
	engine       *topo.Engine
	// synced reports that orders and copies are known; no order is sent before.
	synced bool
	// heard reports that copies and models may be published: since this entry VM has become the
	// placer, a report has arrived, the request for one has failed, or the process has been
	// replaced. Before, those that entry VMs have from the last placer or from the list are newer.
	heard bool
	// down reports that the backend server does not answer. It may still hold its copies,
	// but they are not published.
	down bool
	// orders is the number of orders that the backend server has accepted.
	orders int64
	copies map[units.AdapterName]*heldCopy
	models map[units.ModelName]bool
	// onDisk and inMemory list the models whose weights it has kept.
	onDisk, inMemory []units.ModelName
	// modelReadyAt is when the load of a model ends at the latest; a report may show its end before.
	modelReadyAt clock.Millis
	// refusedUntil is until when no model is loaded, after the last order to do so was refused.
	refusedUntil clock.Millis
	// pending is the order whose answer is awaited, nil if there is none: no second order is sent to
	// a process before. orderedAt is when the last order was sent or answered.
	pending   *Order
	orderedAt clock.Millis
	// lostOrders counts the orders without an answer since the last one with an answer.
	lostOrders int
	// nextReportAt is the earliest time of the next report request; reportPending reports
	// that the answer to one is awaited.
	nextReportAt  clock.Millis
	reportPending bool
	reportedAt    clock.Millis
	active        int32
	prefill       units.Tokens
	tokens        units.Tokens
	// cached maps the adapters whose weights are cached, at most maxCached, to the time
	// of their unloading.
	cached map[units.AdapterName]clock.Millis
	// changed reports, by scope, whether the placement must be sent; lastSent
	// is the load that was last sent.
	changed  [scopes]bool
	lastSent [scopes]load
	pace     pace.Server
	// hidden reports, by scope, whether the placement that was last sent left out models since their
	// load was not over.
	hidden [scopes]bool
}

// software returns the version that the process of s runs.
func (s *server) software() topo.Software { return s.SoftwareOf(s.reportedStart) }

func (s *server) markChanged() { s.changed = [scopes]bool{true, true} }

// addCached records that an adapter was unloaded and its weights are cached by s.
func (s *server) addCached(now clock.Millis, adapter units.AdapterName) {
	s.cached[adapter] = now
	if len(s.cached) <= maxCached {
		return
	}
	var oldest units.AdapterName
	for name, at := range s.cached {
		if oldest == "" || at < s.cached[oldest] || at == s.cached[oldest] && name < oldest {
			oldest = name
		}
	}
	delete(s.cached, oldest)
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

// usable reports whether orders may be sent to s now.
func (s *server) usable(now clock.Millis) bool {
	return s.synced && !s.down && s.pending == nil && !s.Draining && s.Remaining == 0 && now >= s.modelReadyAt
}

// Placer decides about the copies of one shard. Create it with New; all methods must be
// called from one goroutine.
type Placer struct {
	policy  Policy
	now     clock.Millis
	servers map[units.BackendServerID]*server
	// order lists the IDs of servers in ascending order.
	order    []units.BackendServerID
	services map[units.ServiceName]*topo.Service
	usage    map[units.EntryVMID]*usageReport
	// usageChanged reports that usage reports were received after the last aggregation,
	// which was at aggregatedAt.
	usageChanged bool
	aggregatedAt clock.Millis
	loadRequests map[loadKey]*loadRequest
	demand       demand
	announced    topo.AnnouncedVersions
	// sequence is the number of the last update by scope, removed lists the backend servers
	// removed since, includeLoads reports whether the next one includes loads, and cursor is
	// the index in order at which it begins.
	sequence          [scopes]uint64
	removed           [scopes][]units.BackendServerID
	includeLoads      [scopes]bool
	cursor            [scopes]int
	lastLoadRequestAt clock.Millis
	// lastOrder is the ID of the last order.
	lastOrder OrderID
	queue     loadQueue
	// models limits the rate of model loads.
	models modelBudget
	loadPace
	loadLimit loadLimit
	step      stepIndex
	// comparedAt is when paces were last compared, paceNews holds their changes not yet logged.
	comparedAt clock.Millis
	paceNews   []PaceNews
}

// usageReport is the last usage report of one entry VM.
type usageReport struct {
	receivedAt clock.Millis
	servers    []peer.ServerUsage
}

// New returns a placer without backend servers.
func New(policy Policy) *Placer {
	return &Placer{
		policy: policy.withDefaults(), loadPace: loadPace{slowness: initialSlowness}, servers: map[units.BackendServerID]*server{}, usage: map[units.EntryVMID]*usageReport{},
		loadRequests: map[loadKey]*loadRequest{}, announced: topo.AnnouncedVersions{},
	}
}

// SetPolicy replaces the policy.
func (p *Placer) SetPolicy(policy Policy) { p.policy = policy.withDefaults() }

// SetServers replaces the backend servers of the shard; those of services without an
// engine are ignored.
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
			for scope := range p.removed {
				p.removed[scope] = append(p.removed[scope], id)
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
	if s == nil || entry.StartedAt > max(s.StartedAt, s.reportedStart) {
		s = &server{
			copies: map[units.AdapterName]*heldCopy{}, models: map[units.ModelName]bool{},
			cached: map[units.AdapterName]clock.Millis{}, nextReportAt: p.now,
			// What the process before held is gone.
			heard: s != nil,
		}
		s.markChanged()
		p.noteStart(s, p.servers[entry.ID] == nil, entry)
		p.servers[entry.ID] = s
	}
	draining := entry.Draining || s.saidLeaving
	if s.Draining != draining || s.StartedAt != entry.StartedAt {
		s.markChanged()
	}
	s.Server, s.engine = *entry, engine
	s.Draining = draining
}

// Announce records that a version of an adapter was announced.
func (p *Placer) Announce(now clock.Millis, adapter units.AdapterName, revision topo.AdapterRevision) {
	p.announced.Add(adapter, revision, now)
	p.announced[adapter].Forget(now - versionGrace)
}

// HandleUsage handles a usage report of an entry VM.
func (p *Placer) HandleUsage(now clock.Millis, from units.EntryVMID, u *peer.UsageReport) {
	p.now = max(p.now, now)
	p.usage[from] = &usageReport{receivedAt: p.now, servers: u.Servers}
	for i := range u.Servers {
		p.learnPace(&u.Servers[i])
		for _, a := range u.Servers[i].Adapters {
			p.demand.add(p.now, a.Adapter, float64(a.Arrived))
		}
	}
	for i := range u.LoadRequests {
		p.addLoadRequest(from, &u.LoadRequests[i])
	}
	for _, m := range u.Missing {
		p.handleMissing(m)
	}
	for _, id := range u.Unreachable {
		if s := p.servers[id]; s != nil {
			// The server's answer to the placer shows whether it is down.
			s.nextReportAt = min(s.nextReportAt, p.now)
		}
	}
	for _, l := range u.Leaving {
		p.noteLeaving(l)
	}
	for _, b := range u.Backoffs {
		if s := p.servers[b.Server]; s != nil && s.StartedAt == b.StartedAt {
			s.backoffUntil = max(s.backoffUntil, p.now+b.Remaining)
		}
	}
	p.usageChanged = true
}

// noteLeaving treats a backend server as draining from now on, if l is about its process.
func (p *Placer) noteLeaving(l peer.LeavingServer) {
	s := p.servers[l.Server]
	if s == nil || s.StartedAt > l.StartedAt || s.saidLeaving {
		return
	}
	s.saidLeaving, s.Draining = true, true
	s.markChanged()
}

// handleMissing handles that a request found no copy at a backend server. If the placer
// has no usable copy there either, it only sends the placement again. If the load should
// just have ended, the copy counts as loading for lateLoadDelay and slowness rises, since
// other loads are likely to take longer as well. Otherwise the copy may be lost: a report
// is requested, the backend server gets no orders before it, and the copy is published as
// loading meanwhile, so that no request is sent there again.
func (p *Placer) handleMissing(m peer.Missing) {
	s := p.servers[m.Server]
	if s == nil {
		return
	}
	// The entry VM has removed the copy from its view; send it the state again.
	s.markChanged()
	c := s.copies[m.Adapter]
	switch {
	case c == nil || c.state == copyLoading && p.now < c.readyAt || c.state != copyReady && c.state != copyLoading:
	case p.now <= c.readyAt+lateMissWindow && p.now <= c.dueAt+lateLoadWindow:
		if !c.wasCached && p.late(p.now-c.startedAt, p.policy.AdapterLoad) {
			p.loadLimit.late(p.now)
		}
		c.state, c.readyAt = copyLoading, p.now+lateLoadDelay
	default:
		c.state, c.readyAt = copyLoading, p.now+lateLoadDelay
		s.synced = false
		s.nextReportAt = min(s.nextReportAt, p.now)
	}
}

// aggregateUsage sums up the usage reports of entry VMs, if there are new ones or one may
// have expired.
func (p *Placer) aggregateUsage() {
	if !p.usageChanged && p.now < p.aggregatedAt+usageTTL/2 {
		return
	}
	p.usageChanged, p.aggregatedAt = false, p.now
	for _, s := range p.servers {
		s.active, s.prefill, s.tokens = 0, 0, 0
		for _, c := range s.copies {
			c.active = 0
		}
	}
	for id, u := range p.usage {
		if p.now > u.receivedAt+usageTTL {
			delete(p.usage, id)
			continue
		}
		for i := range u.servers {
			p.addUsage(&u.servers[i])
		}
	}
}

func (p *Placer) addUsage(u *peer.ServerUsage) {
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
