// Package choose decides, for one entry VM, to which backend server a request is sent and
// whether it waits, is refused or is retried.
package choose

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// Config holds the identity and the policy of a Core.
type Config struct {
	Self   units.EntryVMID
	Domain units.FailureDomain
	Region units.Region
	Policy Policy
}

// Policy holds the settings of a Core. Zero fields take the defaults.
type Policy struct {
	// PrefillPerMS is the number of prompt tokens that an engine reads per ms.
	PrefillPerMS float64
	// RetryRatio and RetryReserve limit the retries of all entry VMs for a service in
	// each RetryWindow: to RetryRatio of its requests plus RetryReserve.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  clock.Millis
	// VersionGrace is how long older copies may still be used after a version was
	// announced, VersionLimit the time after which no request may begin at one; 0 means no limit.
	VersionGrace clock.Millis
	VersionLimit clock.Millis
	// FixedPace makes all backend servers of a service count as equally fast, also those that have
	// just started.
	FixedPace bool
}

// Defaults of Policy.
const (
	defaultPrefillPerMS = 30
	defaultRetryRatio   = 0.1
	defaultRetryReserve = 20
	defaultRetryWindow  = 10 * clock.Second
	defaultVersionGrace = 3 * clock.Second
)

func (p Policy) withDefaults() Policy {
	if p.PrefillPerMS == 0 {
		p.PrefillPerMS = defaultPrefillPerMS
	}
	if p.RetryRatio == 0 {
		p.RetryRatio = defaultRetryRatio
	}
	if p.RetryReserve == 0 {
		p.RetryReserve = defaultRetryReserve
	}
	if p.RetryWindow == 0 {
		p.RetryWindow = defaultRetryWindow
	}
	if p.VersionGrace == 0 {
		p.VersionGrace = defaultVersionGrace
	}
	return p
}

// Part is one part of a prompt. Requests that begin with the same parts share an engine's
// cache of them.
type Part struct {
	ID     uint64
	Tokens units.Tokens
}

// Request is one client attempt.
type Request struct {
	ID      units.RequestID
	Route   *topo.Route
	Service units.ServiceName
	// Customer is whose request it is, empty if the configuration has no customers or the route is
	// open to all.
	Customer units.CustomerName
	// Rank is the priority rank of the customer or, if that has none, of the route; 0 is the most
	// urgent.
	Rank int
	// Adapter is the full name, MODEL/ADAPTER or MODEL, empty for plain services.
	Adapter      units.AdapterName
	PromptTokens units.Tokens
	MaxTokens    units.Tokens
	Parts        []Part
	Arrived      clock.Millis
	// Deadline is the time after which the answer is useless.
	Deadline clock.Millis
	// Tried lists the backend servers to which the request was sent, whether or not it
	// reached them.
	Tried []units.BackendServerID
	// Sends is the number of sends, less those that ended with EndUnsent.
	Sends int
	// Started reports that the caller has a part of the answer, of this or an earlier attempt. The
	// rest may then come only from backend servers of the version Software.
	Started  bool
	Software topo.Software
	// BrokeAt is when a send last ended after Started, 0 if none did.
	BrokeAt clock.Millis
	// charged is the number of prompt tokens that the last send added to the backend
	// server's load: those estimated not to be in its cache.
	charged units.Tokens
	// trial reports that the last send was one to a backend server that returns from a back-off,
	// and has no answer yet.
	trial bool
	// time is that of the last send, for the pace of the backend server.
	time attemptTime
	// turn is its place in the queue for a backend server with a limit.
	turn turn
	// waiting reports that the request counts in the load request waitsFor.
	waiting  bool
	waitsFor loadKey
}

func (r *Request) tried(id units.BackendServerID) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// view is a Core's state of one backend server.
type view struct {
	*topo.Server
	engine *topo.Engine
	models []units.ModelName
	copies map[units.AdapterName]copyView
	// placed reports that a placer has sent a placement of the server.
	placed bool
	// placedStart is the start of the process that has the placement, if it is not listed yet.
	placedStart int64
	// others is the load by other entry VMs, as aggregated by the placer.
	others load
	// own is the load by the requests of this entry VM.
	own load
	// reported is the value of own in the last usage report to the placer.
	reported load
	// adapters holds the own load by adapter.
	adapters map[units.AdapterName]*adapterLoad
	health   health
	prefixes prefixes
	pauses   pauses
	// leaving reports that this process said in an answer that it leaves.
	leaving bool
	backoff backoff
	limit   rateLimit
	pace    serverPace
}

// copyView is a loaded or loading copy of an adapter at a backend server.
type copyView struct {
	revision topo.AdapterRevision
	// readyAt is when the copy is expected to be loaded, 0 if it is loaded already.
	readyAt clock.Millis
}

// load is the load of a backend server: its requests, their prompt tokens not yet read,
// and all their tokens.
type load struct {
	active  int32
	prefill units.Tokens
	tokens  units.Tokens
}

// adapterLoad counts the requests for an adapter at a backend server: those in flight and
// those sent since the last usage report.
type adapterLoad struct{ active, arrived int32 }

// Core chooses backend servers for one entry VM. Create it with New. It does no I/O; calls
// must not overlap.
type Core struct {
	cfg    Config
	now    clock.Millis
	config *topo.Config
	// readyAt is when Ready first returned true, 0 if it has not.
	readyAt      clock.Millis
	servers      map[units.BackendServerID]*view
	byService    map[units.ServiceName][]*view
	shards       map[string]*shard
	loadRequests map[loadKey]*loadRequest
	software     softwareHistory
	versions     topo.AnnouncedVersions
	budgets      map[units.ServiceName]*budget
	// gapTargets holds the shortest objective for pauses of each service whose routes name one, means
	// what the requests of each service have shown.
	gapTargets map[units.ServiceName]clock.Millis
	means      map[units.ServiceName]*streamMeans
	// missing lists the copies that backend servers reported not to hold, until this is
	// reported to the placer.
	missing []peer.Missing
	// unreached holds backend servers to which no connection could be opened, until this
	// is reported to the placer.
	unreached map[units.BackendServerID]bool
	// sharedModels holds the models that several services may hold.
	sharedModels map[units.ModelName]bool
	// otherRegion counts, by adapter, the requests sent to a copy in another region since
	// the last usage report.
	otherRegion map[units.AdapterName]int32
	// comparedAt is when the paces of backend servers were last compared.
	comparedAt clock.Millis
	// paceNews holds the changes of paces not yet logged.
	paceNews []PaceNews
	// members is the number of entry VMs in the last placement update, 0 before.
	members int32
	// others are the other entry VMs that are known to run, sorted by id. othersVersion counts the
	// changes.
	others        []peer.Member
	othersVersion uint64
	// leaving holds the start of the newest process of each backend server that said that it
	// leaves, leavingNews those not yet reported to the placer.
	leaving     map[units.BackendServerID]int64
	leavingNews map[units.BackendServerID]int64
	// backoffNews holds the backend servers whose back-off was not yet reported to the placer.
	backoffNews map[units.BackendServerID]bool
	// placements holds the last placement of each backend server, including servers not
	// listed yet.
	placements map[units.BackendServerID]placement
}

// placement is the placement of one backend server and the time of its receipt.
type placement struct {
	*peer.ServerPlacement
	receivedAt clock.Millis
}

// shard is the state of a shard's placer according to its placement updates.
type shard struct {
	fence        units.Fence
	sequence     uint64
	needsFull    bool
	lastUpdateAt clock.Millis
	// loadWait is the time in ms that a load requested now waits before it starts, loadWaits that by
	// peer.LoadRank.
	loadWait  clock.Millis
	loadWaits []clock.Millis
}

// waitOf returns the time in ms that a load requested now for r waits.
func (s *shard) waitOf(r *Request) clock.Millis {
	if len(s.loadWaits) == 0 {
		return s.loadWait
	}
	return s.loadWaits[min(int(r.loadRank()), len(s.loadWaits)-1)]
}

// loadRank returns the rank of a load for r.
func (r *Request) loadRank() int8 { return peer.LoadRank(r.Rank, r.Route.Rank) }

// loadKey identifies a loadRequest: by an adapter, for streams that have begun by the version at
// which they can go on and, if several services hold the model, by the service.
type loadKey struct {
	adapter  units.AdapterName
	software topo.Software
	service  units.ServiceName
}

// loadKey returns the key of the load request that r counts in while it waits.
func (c *Core) loadKey(r *Request) loadKey {
	key := loadKey{adapter: r.Adapter}
	if r.Started {
		key.software = r.Software
	}
	if c.sharedModels[topo.ModelOf(r.Adapter)] {
		key.service = r.Service
	}
	return key
}

// allows reports whether a copy at v serves the requests for k.
func (k loadKey) allows(v *view) bool {
	return (k.software == "" || v.software() == k.software) && (k.service == "" || v.Service == k.service)
}

// sharedModels returns the models that several services of cfg may hold.
func sharedModels(cfg *topo.Config) map[units.ModelName]bool {
	shared := map[units.ModelName]bool{}
	for _, service := range cfg.Services {
		if service.Engine == nil {
			continue
		}
		for i := range service.Engine.Models {
			name := service.Engine.Models[i].Name
			_, seen := shared[name]
			shared[name] = seen
		}
	}
	return shared
}

// loadRequest asks a placer to load an adapter for which requests wait.
type loadRequest struct {
	// shard is the shard of the placer that receives the load request.
	shard string
	// count is the number of requests that wait now, arrived that of requests not yet in a
	// usage report.
	count, arrived int32
	// rank is the lowest rank, so the most urgent one, of a load for the requests so far.
	rank int8
	// since is when the first request began to wait.
	since clock.Millis
	// loadDeadline is the latest time at which a load may end so that at least one of the
	// requests so far still meets the target of its route.
	loadDeadline clock.Millis
	// changed is closed and replaced by a placement update if a copy is loaded or loading.
	changed chan struct{}
}

// New returns a core without a configuration and backend servers.
func New(cfg Config) *Core {
	cfg.Policy = cfg.Policy.withDefaults()
	return &Core{
		cfg: cfg, servers: map[units.BackendServerID]*view{}, byService: map[units.ServiceName][]*view{}, shards: map[string]*shard{},
		loadRequests: map[loadKey]*loadRequest{}, versions: topo.AnnouncedVersions{}, otherRegion: map[units.AdapterName]int32{}, unreached: map[units.BackendServerID]bool{}, budgets: map[units.ServiceName]*budget{}, placements: map[units.BackendServerID]placement{},
		means:   map[units.ServiceName]*streamMeans{},
		leaving: map[units.BackendServerID]int64{}, leavingNews: map[units.BackendServerID]int64{}, backoffNews: map[units.BackendServerID]bool{},
	}
}

// SetPolicy replaces the policy, except RetryWindow, which the budgets already count in.
func (c *Core) SetPolicy(policy Policy) {
	policy = policy.withDefaults()
	policy.RetryWindow = c.cfg.Policy.RetryWindow
	c.cfg.Policy = policy
}

// Config returns the newest configuration, or nil before the first.
func (c *Core) Config() *topo.Config { return c.config }

// SetConfig applies a configuration if it is newer and reports whether it is.
func (c *Core) SetConfig(cfg *topo.Config) bool {
	if c.config != nil && cfg.Version <= c.config.Version {
		return false
	}
	c.config, c.sharedModels = cfg, sharedModels(cfg)
	c.index()
	c.gapTargets = gapTargets(cfg)
	return true
}

// SetServers replaces the list of backend servers. A server that is no longer listed stays
// as a draining one while requests of this entry VM are in flight there.
func (c *Core) SetServers(now clock.Millis, list []*topo.Server) {
	c.now = max(c.now, now)
	c.software.observe(c.now, c.servers)
	seen := map[units.BackendServerID]bool{}
	for _, s := range list {
		seen[s.ID] = true
		v := c.servers[s.ID]
		switch {
		case v == nil:
			v = newView(s)
			c.servers[s.ID] = v
			c.noteStart(v, true)
			if placed, ok := c.placements[s.ID]; ok {
				c.setPlacement(v, placed)
			}
		case s.StartedAt > v.StartedAt:
			c.software.listed(v, s)
			v = newView(s)
			c.servers[s.ID] = v
			c.noteStart(v, false)
			if placed, ok := c.placements[s.ID]; ok && placed.StartedAt == s.StartedAt {
				c.setPlacement(v, placed)
			} else {
				// The placement is that of a previous process.
				delete(c.placements, s.ID)
			}
		}
		v.Server = s
		since, heard := c.leaving[s.ID]
		v.leaving = heard && s.StartedAt <= since
		if !v.placed {
			v.useListing()
		}
	}
	for id, v := range c.servers {
		if !seen[id] && v.own.active == 0 {
			delete(c.servers, id)
			delete(c.placements, id)
		} else if !seen[id] {
			removed := *v.Server
			removed.Draining = true
			v.Server = &removed
		}
	}
	if c.software.since == 0 && len(c.servers) > 0 {
		c.software.since = c.now
	}
	c.index()
}

func newView(s *topo.Server) *view {
	return &view{Server: s, copies: map[units.AdapterName]copyView{}, adapters: map[units.AdapterName]*adapterLoad{}}
}

// useListing sets models and copies from the server's list entry.
func (v *view) useListing() {
	v.models = v.Models
	clear(v.copies)
	for _, held := range v.Copies {
		v.copies[held.Adapter] = copyView{revision: held.Revision}
	}
}

// index rebuilds byService and sets the engine of each backend server.
func (c *Core) index() {
	clear(c.byService)
	for _, v := range c.servers {
		v.engine = nil
		if c.config != nil && c.config.Services[v.Service] != nil {
			v.engine = c.config.Services[v.Service].Engine
		}
		c.byService[v.Service] = append(c.byService[v.Service], v)
	}
	for _, list := range c.byService {
		sortViews(list)
	}
}

// Announce records that a version of an adapter was announced at some time, or later. Older copies remain
// usable for Policy.VersionGrace, whatever versions follow.
func (c *Core) Announce(at clock.Millis, adapter units.AdapterName, revision topo.AdapterRevision) {
	c.versions.Add(adapter, revision, at)
	c.versions[adapter].Forget(c.now - max(c.cfg.Policy.VersionGrace, c.cfg.Policy.VersionLimit))
}

// BeginBy returns when a request that was sent to a copy of an adapter must have begun there, 0 if no
// newer version was announced or there is no limit.
func (c *Core) BeginBy(adapter units.AdapterName, revision topo.AdapterRevision) clock.Millis {
	at, replaced := c.versions[adapter].ReplacedAt(revision)
	if limit := c.BeginLimit(); replaced && limit > 0 {
		return at + limit
	}
	return 0
}

// BeginLimit returns the time after the announcement of a version in which requests at older copies must
// have begun, less that in which they are canceled; 0 means no limit.
func (c *Core) BeginLimit() clock.Millis { return max(0, c.cfg.Policy.VersionLimit-cancelTime) }

// Ready reports whether requests can be accepted, which requires a configuration and
// a backend server.
func (c *Core) Ready(now clock.Millis) bool {
	ready := c.config != nil && len(c.servers) > 0
	if ready && c.readyAt == 0 {
		c.readyAt = now
	}
	return ready
}
