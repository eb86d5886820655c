package choose

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// End is how a send ended.
type End uint8

// Ends of sends.
const (
	// EndServed tells that the whole answer came.
	EndServed End = iota + 1
	// EndFailed tells that the backend server answered with an error of its own
	// or with bytes that are no answer.
	EndFailed
	// EndFull tells that the backend server said that it has no place.
	EndFull
	// EndMissing tells that the backend server said that it is not the one that
	// was meant or does not hold the adapter.
	EndMissing
	// EndBroken tells that the connection broke or could not be opened.
	EndBroken
	// EndUnsent tells that no connection could be had, so that the request did not
	// reach the backend server.
	EndUnsent
	// EndCanceled tells nothing of the backend server.
	EndCanceled
)

// String returns the name of e in log lines.
func (e End) String() string {
	switch e {
	case EndServed:
		return "served"
	case EndFailed:
		return "failed"
	case EndFull:
		return "full"
	case EndMissing:
		return "missing"
	case EndBroken:
		return "broken"
	case EndUnsent:
		return "unsent"
	case EndCanceled:
		return "canceled"
	default:
		return "unknown"
	}
}

// Arrived counts a request for the retry budget of its service.
func (c *Core) Arrived(now clock.Millis, service units.ServiceName) {
	c.now = max(c.now, now)
	c.budget(service).request(c.now)
}

func (c *Core) budget(service units.ServiceName) *budget {
	b := c.budgets[service]
	if b == nil {
		b = &budget{window: c.cfg.Policy.RetryWindow}
		c.budgets[service] = b
	}
	return b
}

// Shares of the retry budget that one entry VM takes, so that all together stay under
// the bound although they count apart. The rest is for streams that broke: their
// callers lose what they have.
const (
	ratioShare    = 0.75
	reserveShare  = 0.65
	urgentRatio   = 0.92
	urgentReserve = 0.9
	// unknownMembers is assumed before a placer told how many entry VMs there are.
	unknownMembers = 8
)

func (c *Core) takeExtra(r *Request) bool {
	ratio, reserve := ratioShare, reserveShare
	if r.Begun {
		ratio, reserve = urgentRatio, urgentReserve
	}
	members := max(c.members, unknownMembers)
	return c.budget(r.Service).take(c.now, ratio*c.cfg.Policy.RetryRatio, reserve*c.cfg.Policy.RetryReserve/float64(members))
}

func (c *Core) sent(r *Request, v *view) {
	r.Tried = append(r.Tried, v.ID)
	r.Sends++
	r.charged = r.PromptTokens - min(r.PromptTokens, v.prefixes.cached(r))
	v.own.active++
	v.own.prefill += r.charged
	v.own.tokens += r.PromptTokens + r.MaxTokens
	if r.Adapter != "" {
		a := v.adapters[r.Adapter]
		if a == nil {
			a = &adapterUse{}
			v.adapters[r.Adapter] = a
		}
		a.active++
		a.arrived++
	}
	v.prefixes.note(c.now, r)
}

// Began tells that the first event or the answer of a request has come.
func (c *Core) Began(r *Request, server units.BackendServerID) {
	if v := c.servers[server]; v != nil {
		v.own.prefill = max(0, v.own.prefill-r.charged)
	}
}

// Ended tells how a send ended. began tells whether Began was called for it.
func (c *Core) Ended(now clock.Millis, r *Request, server units.BackendServerID, began bool, end End) {
	c.now = max(c.now, now)
	if end == EndUnsent {
		r.Sends--
	}
	v := c.servers[server]
	if v == nil {
		return
	}
	v.own.active = max(0, v.own.active-1)
	v.own.tokens = max(0, v.own.tokens-r.PromptTokens-r.MaxTokens)
	if !began {
		v.own.prefill = max(0, v.own.prefill-r.charged)
	}
	if a := v.adapters[r.Adapter]; a != nil {
		a.active = max(0, a.active-1)
	}
	switch end {
	case EndServed:
		v.health.succeeded()
	case EndFailed:
		v.health.failed()
	case EndFull:
		v.health.avoidUntil = max(v.health.avoidUntil, c.now+fullPause)
	case EndMissing:
		if topo.IsAdapter(r.Adapter) {
			delete(v.copies, r.Adapter)
			c.missing = append(c.missing, peer.Missing{Server: server, Adapter: r.Adapter})
		}
	case EndBroken:
		v.health.broke(c.now)
	case EndUnsent:
		v.health.unreached(c.now)
		c.unreached[server] = true
	case EndCanceled:
	}
}

// want counts r among the requests that wait for their adapter.
func (c *Core) want(r *Request, shard string) *want {
	w := c.wants[r.Adapter]
	if w == nil {
		w = &want{shard: shard, since: c.now, changed: make(chan struct{}), rank: int8(r.Route.Rank)}
		c.wants[r.Adapter] = w
	}
	if w.shard != shard {
		// The placer that was asked has gone silent, or the own one is back.
		w.shard, w.arrived = shard, w.count
	}
	if !r.waited {
		r.waited = true
		w.count++
		w.arrived++
		w.rank = min(w.rank, int8(r.Route.Rank))
		prefill := clock.Millis(float64(r.PromptTokens) / c.cfg.Policy.PrefillPerMS)
		w.inTimeUntil = max(w.inTimeUntil, r.Arrived+r.Route.Target-prefill)
	}
	return w
}

// unwant takes r from the requests that wait.
func (c *Core) unwant(r *Request) {
	if !r.waited {
		return
	}
	r.waited = false
	if w := c.wants[r.Adapter]; w != nil {
		if w.count--; w.count <= 0 {
			delete(c.wants, r.Adapter)
		}
	}
}

// Abandoned tells that the caller of a request has gone away.
func (c *Core) Abandoned(r *Request) { c.unwant(r) }

// Usage returns the report for the placer of a shard, and forgets what it told.
func (c *Core) Usage(now clock.Millis, shard string, address string) *peer.Usage {
	c.now = max(c.now, now)
	u := &peer.Usage{Shard: shard, Address: address, Region: c.cfg.Region}
	if s := c.shards[shard]; s != nil {
		u.WantFull, s.wantFull = s.wantFull, false
	} else {
		u.WantFull = true
	}
	for _, v := range c.servers {
		if string(v.Region) == shard && v.engine != nil {
			if use, ok := v.usage(); ok {
				u.Servers = append(u.Servers, use)
			}
		}
	}
	sort.Slice(u.Servers, func(i, j int) bool { return u.Servers[i].Server < u.Servers[j].Server })
	c.addWants(u, shard)
	for id := range c.unreached {
		if v := c.servers[id]; v == nil || string(v.Region) == shard {
			u.Unreached = append(u.Unreached, id)
			delete(c.unreached, id)
		}
	}
	sort.Slice(u.Unreached, func(i, j int) bool { return u.Unreached[i] < u.Unreached[j] })
	kept := c.missing[:0]
	for _, m := range c.missing {
		if v := c.servers[m.Server]; v != nil && string(v.Region) == shard {
			u.Missing = append(u.Missing, m)
		} else if v != nil {
			kept = append(kept, m)
		}
	}
	c.missing = kept
	return u
}

func (c *Core) addWants(u *peer.Usage, shard string) {
	for adapter, w := range c.wants {
		if w.shard != shard {
			continue
		}
		u.Wants = append(u.Wants, peer.Want{Adapter: adapter, Count: w.count, Arrived: w.arrived, Rank: w.rank, Waited: c.now - w.since, InTime: w.inTimeUntil - c.now})
		w.arrived = 0
	}
	if shard != string(c.cfg.Region) {
		return
	}
	for adapter, n := range c.elsewhere {
		if c.wants[adapter] == nil {
			u.Wants = append(u.Wants, peer.Want{Adapter: adapter, Arrived: n})
		}
	}
	clear(c.elsewhere)
	sort.Slice(u.Wants, func(i, j int) bool { return u.Wants[i].Adapter < u.Wants[j].Adapter })
}

func (v *view) usage() (peer.ServerUse, bool) {
	u := peer.ServerUse{Server: v.ID, Active: v.own.active, Prefill: v.own.prefill, Tokens: v.own.tokens}
	for adapter, a := range v.adapters {
		if a.active+a.arrived > 0 {
			u.Adapters = append(u.Adapters, peer.AdapterUse{Adapter: adapter, Active: a.active, Arrived: a.arrived})
		}
		a.arrived = 0
		if a.active == 0 {
			delete(v.adapters, adapter)
		}
	}
	sort.Slice(u.Adapters, func(i, j int) bool { return u.Adapters[i].Adapter < u.Adapters[j].Adapter })
	v.reported = v.own
	return u, v.own.active > 0 || len(u.Adapters) > 0
}

// Wanted reports whether requests wait for adapters that no report has told the
// placer of a shard.
func (c *Core) Wanted(shard string) bool {
	for _, w := range c.wants {
		if w.arrived > 0 && w.shard == shard {
			return true
		}
	}
	return false
}

// Homes takes news of a placer.
func (c *Core) Homes(now clock.Millis, m *peer.Homes) {
	c.now = max(c.now, now)
	s := c.shards[m.Shard]
	if s == nil {
		s = &shard{}
		c.shards[m.Shard] = s
	}
	if m.Fence < s.fence {
		return
	}
	if !m.Full && (m.Fence > s.fence || m.Sequence != s.sequence+1) {
		s.wantFull = true
	}
	s.fence, s.sequence, s.heardAt, s.loadWait = m.Fence, m.Sequence, c.now, m.LoadWait
	if m.EntryVMs > 0 {
		c.members = m.EntryVMs
	}
	for i := range m.Servers {
		c.tellHome(&m.Servers[i])
	}
	c.wakeWaiters()
}

// maxTold bounds the backend servers whose homes are remembered.
const maxTold = 8192

// tellHome takes over what a placer says of one backend server.
func (c *Core) tellHome(h *peer.ServerHomes) {
	v := c.servers[h.Server]
	switch {
	case h.Gone:
		delete(c.told, h.Server)
		if v != nil {
			clear(v.copies)
		}
	case !h.LoadOnly:
		told := toldHomes{ServerHomes: h, at: c.now}
		if _, known := c.told[h.Server]; known || len(c.told) < maxTold {
			c.told[h.Server] = told
		}
		if v != nil {
			c.home(v, told)
		}
	case v != nil:
		v.share(h)
	}
}

// home takes over what was told of a backend server's copies.
func (c *Core) home(v *view, told toldHomes) {
	v.placed = true
	v.models = told.Models
	clear(v.copies)
	for _, held := range told.Copies {
		readyAt := clock.Millis(0)
		if held.Ready > 0 {
			readyAt = told.at + held.Ready
		}
		v.copies[held.Adapter] = copyView{revision: topo.AdapterRevision(held.Revision), readyAt: readyAt}
	}
	v.share(told.ServerHomes)
}

// share takes over the load of a backend server, of which a part is the own one.
func (v *view) share(h *peer.ServerHomes) {
	v.others = use{
		active:  max(0, h.Active-v.reported.active),
		prefill: max(0, h.Prefill-v.reported.prefill),
		tokens:  max(0, h.Tokens-v.reported.tokens),
	}
}

// wakeWaiters wakes requests whose adapter has appeared.
func (c *Core) wakeWaiters() {
	for adapter, w := range c.wants {
		for _, v := range c.servers {
			if _, ok := c.holds(v, adapter); ok && !v.Draining {
				close(w.changed)
				w.changed = make(chan struct{})
				break
			}
		}
	}
}

// PlacerHeard returns when a placer was last heard of.
func (c *Core) PlacerHeard(shard string) clock.Millis {
	if s := c.shards[shard]; s != nil {
		return s.heardAt
	}
	return 0
}
