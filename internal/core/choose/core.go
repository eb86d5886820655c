// Package choose decides, for one entry VM, which backend server gets a request,
// whether the request waits, is refused, or is tried again.
package choose

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// Config is what a Core knows from the settings.
type Config struct {
	Self   units.EntryVMID
	Domain units.FailureDomain
	Region units.Region
	Policy Policy
}

// Policy holds the settings of a Core. Zero fields take the defaults.
type Policy struct {
	// PrefillPerMS is the number of prompt tokens that an engine reads in a
	// millisecond.
	PrefillPerMS float64
	// RetryRatio and RetryReserve bound second sends: RetryRatio of the requests
	// for a service and RetryReserve in RetryWindow, over all entry VMs.
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  clock.Millis
	// VersionTerm is the time after the announcement of a version in which older
	// copies may still be used.
	VersionTerm clock.Millis
}

// Defaults of Policy.
const (
	defaultPrefillPerMS = 30
	defaultRetryRatio   = 0.1
	defaultRetryReserve = 20
	defaultRetryWindow  = 10 * clock.Second
	defaultVersionTerm  = 3 * clock.Second
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
	if p.VersionTerm == 0 {
		p.VersionTerm = defaultVersionTerm
	}
	return p
}

// Part is one part of a prompt. Requests that begin with the same parts share
// what an engine keeps of them.
type Part struct {
	ID     uint64
	Tokens units.Tokens
}

// Request is what is known of one client attempt.
type Request struct {
	ID      units.RequestID
	Route   *topo.Route
	Service units.ServiceName
	// Adapter is the full name, MODEL/ADAPTER or MODEL, empty for plain services.
	Adapter      units.AdapterName
	PromptTokens units.Tokens
	MaxTokens    units.Tokens
	Parts        []Part
	Arrived      clock.Millis
	// Deadline is the instant after which the answer is of no use.
	Deadline clock.Millis
	// Tried lists backend servers that the request was meant for.
	Tried []units.BackendServerID
	// Sends counts those that it reached.
	Sends int
	// Begun is set once a part of the answer was passed on.
	Begun bool
	// charged is the part of the prompt that was taken to be read at the backend
	// server of the last send: that which the server did not keep.
	charged units.Tokens
	// waited is set while the request counts among those that want its adapter.
	waited bool
}

func (r *Request) tried(id units.BackendServerID) bool {
	for _, t := range r.Tried {
		if t == id {
			return true
		}
	}
	return false
}

// view is what a Core knows of one backend server.
type view struct {
	*topo.Server
	engine *topo.Engine
	models []units.ModelName
	copies map[units.AdapterName]copyView
	// placed is set once a placer told of it.
	placed bool
	// others are the requests of other entry VMs, as the placer added them up.
	others use
	own    use
	// reported is own as it was last reported to the placer.
	reported use
	adapters map[units.AdapterName]*adapterUse
	health   health
	prefixes prefixes
}

// copyView is an adapter at a backend server.
type copyView struct {
	revision topo.AdapterRevision
	readyAt  clock.Millis
}

// use counts requests at a backend server.
type use struct {
	active  int32
	prefill units.Tokens
	tokens  units.Tokens
}

type adapterUse struct{ active, arrived int32 }

// Core is the state of an entry VM's choices. Make it with New. It does no input
// or output; calls must not overlap.
type Core struct {
	cfg    Config
	now    clock.Millis
	config *topo.Config
	// readyAt is when the first request could be taken.
	readyAt  clock.Millis
	servers  map[units.BackendServerID]*view
	byName   map[units.ServiceName][]*view
	shards   map[string]*shard
	wants    map[units.AdapterName]*want
	versions map[units.AdapterName]version
	budgets  map[units.ServiceName]*budget
	missing  []peer.Missing
	// unreached holds backend servers to which no connection could be had, until
	// the placer is told.
	unreached map[units.BackendServerID]bool
	// elsewhere counts requests whose adapter was used in another region, by
	// adapter, since the last report.
	elsewhere map[units.AdapterName]int32
	members   int32
	// told holds the last word on each backend server's copies, also of those that
	// are not listed yet.
	told map[units.BackendServerID]toldHomes
}

// toldHomes is what a placer told of one backend server.
type toldHomes struct {
	*peer.ServerHomes
	at clock.Millis
}

type version struct {
	revision topo.AdapterRevision
	at       clock.Millis
}

// shard is what is known of a placer.
type shard struct {
	fence    units.Fence
	sequence uint64
	wantFull bool
	heardAt  clock.Millis
	loadWait clock.Millis
}

// want is an adapter that requests wait for.
type want struct {
	// shard is that of the placer that is asked.
	shard          string
	count, arrived int32
	rank           int8
	since          clock.Millis
	// inTimeUntil is when the adapter must be there for the latest request to have
	// its first event in time.
	inTimeUntil clock.Millis
	// changed is closed when a copy appears.
	changed chan struct{}
}

// New returns a core that knows nothing.
func New(cfg Config) *Core {
	cfg.Policy = cfg.Policy.withDefaults()
	return &Core{
		cfg: cfg, servers: map[units.BackendServerID]*view{}, byName: map[units.ServiceName][]*view{}, shards: map[string]*shard{},
		wants: map[units.AdapterName]*want{}, versions: map[units.AdapterName]version{}, elsewhere: map[units.AdapterName]int32{}, unreached: map[units.BackendServerID]bool{}, budgets: map[units.ServiceName]*budget{}, told: map[units.BackendServerID]toldHomes{},
	}
}

// SetPolicy takes over settings.
func (c *Core) SetPolicy(policy Policy) {
	policy = policy.withDefaults()
	policy.RetryWindow = c.cfg.Policy.RetryWindow
	c.cfg.Policy = policy
}

// Config returns the newest configuration, nil before one is known.
func (c *Core) Config() *topo.Config { return c.config }

// SetConfig takes a configuration if it is newer and reports whether it is.
func (c *Core) SetConfig(cfg *topo.Config) bool {
	if c.config != nil && cfg.Version <= c.config.Version {
		return false
	}
	c.config = cfg
	c.index()
	return true
}

// SetServers takes the list of backend servers.
func (c *Core) SetServers(list []*topo.Server) {
	seen := map[units.BackendServerID]bool{}
	for _, s := range list {
		seen[s.ID] = true
		v := c.servers[s.ID]
		switch {
		case v == nil:
			v = newView(s)
			c.servers[s.ID] = v
			if told, ok := c.told[s.ID]; ok {
				c.home(v, told)
			}
		case s.Born > v.Born:
			// What was told is of the process before.
			delete(c.told, s.ID)
			v = newView(s)
			c.servers[s.ID] = v
		}
		v.Server = s
		if !v.placed {
			v.listed()
		}
	}
	for id, v := range c.servers {
		if !seen[id] && v.own.active == 0 {
			delete(c.servers, id)
			delete(c.told, id)
		} else if !seen[id] {
			gone := *v.Server
			gone.Draining = true
			v.Server = &gone
		}
	}
	c.index()
}

func newView(s *topo.Server) *view {
	return &view{Server: s, copies: map[units.AdapterName]copyView{}, adapters: map[units.AdapterName]*adapterUse{}}
}

// listed takes models and adapters from the server's entry.
func (v *view) listed() {
	v.models = v.Models
	clear(v.copies)
	for _, held := range v.Copies {
		v.copies[held.Adapter] = copyView{revision: held.Revision}
	}
}

func (c *Core) index() {
	clear(c.byName)
	for _, v := range c.servers {
		v.engine = nil
		if c.config != nil && c.config.Services[v.Service] != nil {
			v.engine = c.config.Services[v.Service].Engine
		}
		c.byName[v.Service] = append(c.byName[v.Service], v)
	}
	for _, list := range c.byName {
		sortViews(list)
	}
}

// Announce tells of a version of an adapter that was named.
func (c *Core) Announce(now clock.Millis, adapter units.AdapterName, revision topo.AdapterRevision) {
	if c.versions[adapter].revision < revision {
		c.versions[adapter] = version{revision: revision, at: now}
	}
}

// Ready reports whether requests can be taken: a configuration and a backend
// server are known.
func (c *Core) Ready(now clock.Millis) bool {
	ready := c.config != nil && len(c.servers) > 0
	if ready && c.readyAt == 0 {
		c.readyAt = now
	}
	return ready
}
