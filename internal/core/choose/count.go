package choose

import (
	"cmp"
	"slices"
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
	// EndServed means that the whole answer was received.
	EndServed End = iota + 1
	// EndFailed means that the backend server answered with an error of its own or with
	// an invalid answer.
	EndFailed
	// EndFull means that the backend server reported no free capacity.
	EndFull
	// EndMissing means that the backend server reported that it is not the intended one
	// or doesn't hold the adapter.
	EndMissing
	// EndBroken means that the connection broke or that another backend server answered.
	EndBroken
	// EndUnsent means that the request did not reach the backend server, as a rule because
	// no connection could be opened.
	EndUnsent
	// EndWithdrawn means that the request was not sent, since the backend server said
	// meanwhile that it takes none.
	EndWithdrawn
	// EndCanceled means that the send was canceled, which says nothing about the health of
	// the backend server.
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
	case EndWithdrawn:
		return "withdrawn"
	case EndCanceled:
		return "canceled"
	default:
		return "unknown"
	}
}

// Arrived counts a request in the retry budget of its service.
func (c *Core) Arrived(now clock.Millis, service units.ServiceName) {
	c.now = max(c.now, now)
	c.budget(service).request(c.now)
	c.comparePaces()
}

func (c *Core) budget(service units.ServiceName) *budget {
	b := c.budgets[service]
	if b == nil {
		b = &budget{window: c.cfg.Policy.RetryWindow}
		c.budgets[service] = b
	}
	return b
}

// Shares of the retry budget that each entry VM uses, so that all together stay below the
// limit although they count independently. Broken streams have the higher urgent shares:
// their callers would lose the part of the answer that they have.
const (
	ratioShare    = 0.75
	reserveShare  = 0.65
	urgentRatio   = 0.92
	urgentReserve = 0.9
	// minMembers is the least number of entry VMs that shares of the reserve are
	// computed for, also before a placer has reported their number.
	minMembers = 8
)

// takeRetry consumes a retry of r from the budget and reports whether one was left.
func (c *Core) takeRetry(r *Request) bool {
	ratio, reserve := ratioShare, reserveShare
	if r.Started {
		ratio, reserve = urgentRatio, urgentReserve
	}
	members := max(c.members, minMembers)
	return c.budget(r.Service).take(c.now, ratio*c.cfg.Policy.RetryRatio, reserve*c.cfg.Policy.RetryReserve/float64(members))
}

// recordSend counts a send of r to v. Ended reverses the counts of load.
func (c *Core) recordSend(r *Request, v *view) {
	r.Tried = append(r.Tried, v.ID)
	r.Sends++
	c.timeSend(r, v)
	v.takeToken()
	r.charged = r.PromptTokens - min(r.PromptTokens, v.prefixes.cached(r))
	v.own.active++
	v.own.prefill += r.charged
	c.notePrompt(v, r.charged)
	v.own.tokens += r.PromptTokens + r.MaxTokens
	if r.Adapter != "" {
		a := v.adapters[r.Adapter]
		if a == nil {
			a = &adapterLoad{}
			v.adapters[r.Adapter] = a
		}
		a.active++
		a.arrived++
	}
	v.prefixes.add(c.now, r)
}

// Started records that the first event or the answer of a request was received.
func (c *Core) Started(r *Request, server units.BackendServerID) {
	if v := c.servers[server]; v != nil {
		v.own.prefill = max(0, v.own.prefill-r.charged)
		v.backoff.answered(r, true, v.Slots)
	}
}

// Ended records how a send ended. started says whether Started was called for it.
func (c *Core) Ended(now clock.Millis, r *Request, server units.BackendServerID, started bool, end End) {
	c.now = max(c.now, now)
	if end == EndUnsent || end == EndWithdrawn {
		r.Sends--
	}
	if r.Started || started {
		r.BrokeAt = c.now
	}
	v := c.servers[server]
	if v == nil {
		return
	}
	v.backoff.answered(r, end == EndServed || end == EndFailed, v.Slots)
	if end == EndUnsent || end == EndWithdrawn {
		v.returnToken()
	}
	c.learnEnd(r, v, end)
	v.own.active = max(0, v.own.active-1)
	v.own.tokens = max(0, v.own.tokens-r.PromptTokens-r.MaxTokens)
	if !started {
		v.own.prefill = max(0, v.own.prefill-r.charged)
	}
	if a := v.adapters[r.Adapter]; a != nil {
		a.active = max(0, a.active-1)
	}
	switch end {
	case EndServed:
		v.health.succeeded()
	case EndFailed:
		v.health.failed(c.now)
	case EndFull:
		v.health.avoidUntil = max(v.health.avoidUntil, c.now+fullBackoff)
	case EndMissing:
		if topo.IsAdapter(r.Adapter) {
			delete(v.copies, r.Adapter)
			c.missing = append(c.missing, peer.Missing{Server: server, Adapter: r.Adapter})
		}
	case EndBroken:
		v.health.broke(c.now)
	case EndUnsent:
		v.health.unreachable(c.now)
		c.unreached[server] = true
	case EndWithdrawn:
		r.Tried = r.Tried[:max(0, len(r.Tried)-1)]
	case EndCanceled:
	}
}

// Active returns the number of requests of this entry VM in flight at a backend server.
func (c *Core) Active(server units.BackendServerID) int32 {
	if v := c.servers[server]; v != nil {
		return v.own.active
	}
	return 0
}

// requestLoad counts r in the load request for its adapter.
func (c *Core) requestLoad(r *Request, shard string) *loadRequest {
	if key := c.loadKey(r); r.waitsFor != key {
		c.withdrawLoad(r)
		r.waitsFor = key
	}
	w := c.loadRequests[r.waitsFor]
	if w == nil {
		w = &loadRequest{shard: shard, since: c.now, changed: make(chan struct{}), rank: r.loadRank()}
		c.loadRequests[r.waitsFor] = w
	}
	if w.shard != shard {
		// The placer that had the load request is down, or the own region's is up again.
		w.shard, w.arrived = shard, w.count
	}
	if !r.waiting {
		r.waiting = true
		w.count++
		w.arrived++
		w.rank = min(w.rank, r.loadRank())
		prefill := clock.Millis(float64(r.PromptTokens) / c.cfg.Policy.PrefillPerMS)
		w.loadDeadline = max(w.loadDeadline, max(r.Arrived, r.BrokeAt)+r.Route.Target-prefill)
	}
	return w
}

// withdrawLoad removes r from the load request for its adapter.
func (c *Core) withdrawLoad(r *Request) {
	if !r.waiting {
		return
	}
	r.waiting = false
	if w := c.loadRequests[r.waitsFor]; w != nil {
		if w.count--; w.count <= 0 {
			delete(c.loadRequests, r.waitsFor)
		}
	}
}

// Abandoned removes r from the load request for its adapter, so that no load is requested for it any
// more, and ends its wait for its turn. It is for a request whose caller has disconnected or whose
// deadline has passed.
func (c *Core) Abandoned(r *Request) {
	c.dequeue(r)
	c.withdrawLoad(r)
}

// UsageReport returns the usage report for the placer of a shard and resets the counts
// since the last report. address is the peer address of this entry VM.
func (c *Core) UsageReport(now clock.Millis, shard string, address string) *peer.UsageReport {
	c.now = max(c.now, now)
	u := &peer.UsageReport{Shard: shard, Address: address, Region: c.cfg.Region, Domain: c.cfg.Domain}
	if s := c.shards[shard]; s != nil {
		u.NeedsFull, s.needsFull = s.needsFull, false
	} else {
		u.NeedsFull = true
	}
	for _, v := range c.servers {
		if string(v.Region) == shard && v.engine != nil {
			if usage, ok := v.takeUsage(); ok {
				u.Servers = append(u.Servers, usage)
			}
		}
	}
	sort.Slice(u.Servers, func(i, j int) bool { return u.Servers[i].Server < u.Servers[j].Server })
	c.addLoadRequests(u, shard)
	for id := range c.unreached {
		if v := c.servers[id]; v == nil || string(v.Region) == shard {
			u.Unreachable = append(u.Unreachable, id)
			delete(c.unreached, id)
		}
	}
	sort.Slice(u.Unreachable, func(i, j int) bool { return u.Unreachable[i] < u.Unreachable[j] })
	for id, startedAt := range c.leavingNews {
		if v := c.servers[id]; v == nil || string(v.Region) == shard {
			u.Leaving = append(u.Leaving, peer.LeavingServer{Server: id, StartedAt: startedAt})
			delete(c.leavingNews, id)
		}
	}
	sort.Slice(u.Leaving, func(i, j int) bool { return u.Leaving[i].Server < u.Leaving[j].Server })
	u.Backoffs = c.takeBackoffs(shard)
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

// addLoadRequests adds the load requests for a shard. For the own region they include
// adapters for which no request waits but requests were sent to another region.
func (c *Core) addLoadRequests(u *peer.UsageReport, shard string) {
	for key, w := range c.loadRequests {
		if w.shard != shard {
			continue
		}
		u.LoadRequests = append(u.LoadRequests, peer.LoadRequest{Adapter: key.adapter, Software: key.software, Service: key.service, Count: w.count, Arrived: w.arrived, Rank: w.rank, Waited: c.now - w.since, LoadDeadline: w.loadDeadline - c.now})
		w.arrived = 0
	}
	if shard != string(c.cfg.Region) {
		return
	}
	for adapter, n := range c.otherRegion {
		if c.loadRequests[loadKey{adapter: adapter}] == nil {
			u.LoadRequests = append(u.LoadRequests, peer.LoadRequest{Adapter: adapter, Arrived: n})
		}
	}
	clear(c.otherRegion)
	slices.SortFunc(u.LoadRequests, func(a, b peer.LoadRequest) int {
		return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Software, b.Software), cmp.Compare(a.Service, b.Service))
	})
}

// takeUsage returns the own load of v for the next usage report. It reports false if there
// is none; the placer counts a server that a report omits as 0. takeUsage also resets the
// counts of arrivals, drops idle adapters and records the load as reported for setOthers.
func (v *view) takeUsage() (peer.ServerUsage, bool) {
	u := peer.ServerUsage{Server: v.ID, Active: v.own.active, Prefill: v.own.prefill, Tokens: v.own.tokens}
	for adapter, a := range v.adapters {
		if a.active+a.arrived > 0 {
			u.Adapters = append(u.Adapters, peer.AdapterUsage{Adapter: adapter, Active: a.active, Arrived: a.arrived})
		}
		a.arrived = 0
		if a.active == 0 {
			delete(v.adapters, adapter)
		}
	}
	sort.Slice(u.Adapters, func(i, j int) bool { return u.Adapters[i].Adapter < u.Adapters[j].Adapter })
	v.reported = v.own
	v.takePace(&u)
	return u, v.own.active > 0 || len(u.Adapters) > 0 || u.Answers > 0
}

// HasNewLoadRequests reports whether requests have begun to wait for adapters since the
// last usage report to the placer of a shard.
func (c *Core) HasNewLoadRequests(shard string) bool {
	for _, w := range c.loadRequests {
		if w.arrived > 0 && w.shard == shard {
			return true
		}
	}
	return false
}

// ApplyUpdate applies a placement update. Updates of an earlier placer, which have a lower
// fence, are ignored. After a missed update, or if the first one of a new placer is not
// full, the next usage report requests the full state.
func (c *Core) ApplyUpdate(now clock.Millis, m *peer.PlacementUpdate) {
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
		s.needsFull = true
	}
	s.fence, s.sequence, s.lastUpdateAt, s.loadWait, s.loadWaits = m.Fence, m.Sequence, c.now, m.LoadWait, m.LoadWaits
	if m.EntryVMs > 0 {
		c.members = m.EntryVMs
	}
	for i := range m.Servers {
		c.applyServer(&m.Servers[i])
	}
	c.wakeWaiters()
}

// maxPlacements limits the number of backend servers whose placement is stored.
const maxPlacements = 8192

// applyServer applies the part of a placement update about one backend server.
func (c *Core) applyServer(h *peer.ServerPlacement) {
	v := c.servers[h.Server]
	switch {
	case h.Removed:
		delete(c.placements, h.Server)
		if v != nil {
			clear(v.copies)
		}
	case !h.LoadOnly:
		placed := placement{ServerPlacement: h, receivedAt: c.now}
		if _, stored := c.placements[h.Server]; stored || len(c.placements) < maxPlacements {
			c.placements[h.Server] = placed
		}
		if v != nil {
			c.setPlacement(v, placed)
		}
	case v != nil:
		c.setOthers(v, h)
	}
}

// setPlacement sets the models, copies and load of a backend server.
func (c *Core) setPlacement(v *view, placed placement) {
	if v.placedStart != placed.StartedAt {
		c.software.observe(c.now, c.servers)
	}
	v.placed, v.placedStart = true, placed.StartedAt
	v.models = placed.Models
	clear(v.copies)
	for _, held := range placed.Copies {
		readyAt := clock.Millis(0)
		if held.Ready > 0 {
			readyAt = placed.receivedAt + held.Ready
		}
		v.copies[held.Adapter] = copyView{revision: topo.AdapterRevision(held.Revision), readyAt: readyAt}
	}
	c.setOthers(v, placed.ServerPlacement)
}

// setOthers sets the load by other entry VMs, the total load in h less the own load that was
// last reported, and the pace.
func (c *Core) setOthers(v *view, h *peer.ServerPlacement) {
	c.setPace(v, h)
	v.others = load{
		active:  max(0, h.Active-v.reported.active),
		prefill: max(0, h.Prefill-v.reported.prefill),
		tokens:  max(0, h.Tokens-v.reported.tokens),
	}
}

// wakeWaiters wakes the requests whose adapter is loaded or loading at a backend server.
func (c *Core) wakeWaiters() {
	for key, w := range c.loadRequests {
		for _, v := range c.servers {
			if _, ok := c.holds(v, key.adapter); ok && !v.Draining && key.allows(v) {
				close(w.changed)
				w.changed = make(chan struct{})
				break
			}
		}
	}
}

// PlacerUp reports whether the last update of a shard's placer is recent.
func (c *Core) PlacerUp(now clock.Millis, shard string) bool {
	c.now = max(c.now, now)
	return c.placer(shard) != nil
}

// LastUpdateAt returns when the last update of a shard's placer was received, 0 if none
// was.
func (c *Core) LastUpdateAt(shard string) clock.Millis {
	if s := c.shards[shard]; s != nil {
		return s.lastUpdateAt
	}
	return 0
}
