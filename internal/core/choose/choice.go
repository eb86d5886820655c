package choose

import (
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/cespare/xxhash/v2"
)

// Choice is what to do with a request. The set of implementations is sealed.
type Choice interface{ choice() }

// Send sends the request to a backend server. The Core has already counted the send.
type Send struct {
	Server  units.BackendServerID
	Address string
	// StartedAt identifies the process of Server, Software is the version that it runs.
	StartedAt int64
	Software  topo.Software
	// Region is that of the backend server.
	Region units.Region
	// Cost is the expected time to the first event in ms.
	Cost clock.Millis
	// Revision is that of the copy, 0 if it is unknown or the request names no adapter.
	Revision topo.AdapterRevision
	// BeginBy is when the request must have begun, since a newer version of its adapter was
	// announced; 0 if none was before the send.
	BeginBy clock.Millis
	// Candidates is the number of backend servers that were compared.
	Candidates int
	// Active, Prefill and Tokens are estimates for the backend server before this send:
	// its requests, their prompt tokens not yet read, and all their tokens.
	Active  int32
	Prefill units.Tokens
	Tokens  units.Tokens
	// Rate is the number of prompt tokens that the backend server is believed to read per ms, 0 for a
	// plain service. PauseRisk is the probability with which the stream is expected to have a pause
	// beyond the objective, 0 if the route names none.
	Rate, PauseRisk float64
	// Cached is the estimated number of prompt tokens in the backend server's cache.
	Cached units.Tokens
}

// Wait keeps the request until Changed is closed or Until is reached; then the entry VM
// calls Choose again.
type Wait struct {
	Changed <-chan struct{}
	Until   clock.Millis
	Reason  string
}

// Refuse rejects a request that has not been executed.
type Refuse struct {
	Reason string
	// RetryAfter is the time in ms after which the caller should retry.
	RetryAfter clock.Millis
}

func (Send) choice()   {}
func (Wait) choice()   {}
func (Refuse) choice() {}

// Costs in ms.
const (
	// activeCost is what each request at an engine adds to another one's time to the
	// first event.
	activeCost = 4
	// otherDomainCost and otherRegionCost favor backend servers of the own failure
	// domain and region.
	otherDomainCost = 3
	otherRegionCost = 200
	// failureCost is added for a backend server at which every request fails.
	failureCost = 2000
	// avoidedCost is added for a backend server that is being avoided, such as one whose
	// last connection broke.
	avoidedCost = 5000
	// triedCost is added for a backend server to which the request was sent before.
	triedCost = 20000
	// memoryCost is multiplied by the requests' tokens beyond memoryFill, as a share of the
	// engine's KV memory.
	memoryCost = 3000
	// plainRequestCost is the time of a request at a plain service.
	plainRequestCost = 40
)

// Bounds of waiting.
const (
	// placerTimeout is the age of its last update at which a placer counts as down.
	placerTimeout = 1500 * clock.Millis(1)
	// firstPlacerTimeout bounds the wait for a first placer after the entry VM became
	// ready.
	firstPlacerTimeout = 1500 * clock.Millis(1)
	// minRemaining is the least time before its deadline at which a request is sent or
	// waits. Requests that arrive with at most twice that time are exempt.
	minRemaining = 150 * clock.Millis(1)
	// waitShare limits the wait for an adapter to a share of the time from the request's
	// arrival to its deadline.
	waitShare = 0.4
	// waitTargets limits the wait for an adapter to a multiple of the route's target.
	waitTargets = 2
	// retryDelay is the time after which refused callers should retry, fullRetryDelay that
	// if capacity is exhausted.
	retryDelay     = 700 * clock.Millis(1)
	fullRetryDelay = 500 * clock.Millis(1)
)

// Choose decides whether r is sent to a backend server, waits or is refused.
func (c *Core) Choose(now clock.Millis, r *Request) Choice {
	c.now = max(c.now, now)
	c.dequeue(r)
	if c.now+minRemaining >= r.Deadline && r.Deadline-r.Arrived > 2*minRemaining {
		return c.refuse(r, "no time is left", 0)
	}
	c.resolveSoftware(r)
	if r.Started && !c.canGoOn(r) {
		return c.refuse(r, noSoftwareReason, 0)
	}
	if r.Adapter != "" && c.isEngine(r.Service) {
		return c.chooseEngine(r)
	}
	best, candidates := c.cheapest(r, c.byService[r.Service], nil)
	if best == nil {
		if choice := c.awaitReturn(r, nil); choice != nil {
			return choice
		}
		return c.refuse(r, "no backend server of the service", retryDelay)
	}
	return c.send(r, best, candidates)
}

func (c *Core) isEngine(service units.ServiceName) bool {
	return c.config != nil && c.config.Services[service] != nil && c.config.Services[service].Engine != nil
}

// chooseEngine decides about r at a service with engines. It sends r to the cheapest loaded
// copy if that is in the own region or every backend server there is draining, avoided or
// was tried, so that waiting for a copy there would be of little use. Otherwise it takes
// the first of these that is possible: r waits for a copy that is loading in the target
// shard, is sent to a loaded copy in another region, or is passed to c.wait, which requests
// a load or refuses r. A request for a model without an adapter is refused in place of the
// last two, even if another region holds the model.
func (c *Core) chooseEngine(r *Request) Choice {
	var soonest clock.Millis
	var next *view
	// elsewhere is the earliest time at which a copy loading in another shard is expected.
	var elsewhere clock.Millis
	shard := c.targetShard(r)
	// usable reports whether v isn't down and holds the model or a loaded copy. It also sets
	// soonest and next to the earliest time at which a copy loading in the target shard is expected,
	// and to its backend server.
	usable := func(v *view) bool {
		readyAt, ok := c.holds(v, r.Adapter)
		if !ok || c.now < v.health.downUntil {
			return false
		}
		if readyAt > c.now {
			if string(v.Region) != shard && !v.isLeaving() && !r.startedElsewhere(v) && (elsewhere == 0 || readyAt < elsewhere) {
				elsewhere = readyAt
			}
			if string(v.Region) == shard && !v.isLeaving() && !r.startedElsewhere(v) && (soonest == 0 || readyAt < soonest) {
				soonest, next = readyAt, v
			}
			return false
		}
		return true
	}
	best, candidates := c.cheapest(r, c.byService[r.Service], usable)
	if best != nil && (best.Region == c.cfg.Region || !c.ownRegionServes(r)) {
		if next != nil && c.isWorthWaiting(r, best, next, soonest) {
			return Wait{Until: soonest, Reason: crowdedReason}
		}
		return c.send(r, best, candidates)
	}
	if soonest > 0 {
		// A copy is loading already, so r needs no further load.
		c.withdrawLoad(r)
		return Wait{Until: soonest, Reason: "adapter is loading"}
	}
	if best == nil {
		if choice := c.awaitCopy(r, shard, usable); choice != nil {
			return choice
		}
	}
	if !topo.IsAdapter(r.Adapter) {
		return c.refuse(r, "no backend server holds the model", retryDelay)
	}
	if best != nil {
		// Sending the prompt to another region is cheaper than a load.
		c.otherRegion[r.Adapter]++
		return c.send(r, best, candidates)
	}
	if c.loadsSooner(r, elsewhere, shard) {
		c.withdrawLoad(r)
		return Wait{Until: elsewhere, Reason: "adapter is loading in another region"}
	}
	return c.wait(r, shard)
}

// awaitCopy is awaitReturn for an adapter all of whose usable copies are at backend servers that ask
// for a back-off or have a limit. If that lasts long, a load elsewhere is requested too.
func (c *Core) awaitCopy(r *Request, shard string, usable func(*view) bool) Choice {
	choice := c.awaitReturn(r, usable)
	if choice == nil || !topo.IsAdapter(r.Adapter) {
		return choice
	}
	pause, waits := choice.(Wait)
	if waits && pause.Until <= c.now+backoffLoadTime {
		return choice
	}
	load, loads := c.wait(r, shard).(Wait)
	switch {
	case loads && waits:
		load.Until = min(load.Until, pause.Until)
		return load
	case loads:
		return load
	default:
		return choice
	}
}

// targetShard returns the shard whose placer receives the load request for r's adapter:
// that of the own region or, while its placer is down and firstPlacerTimeout has passed or
// r can't run there, the one with the shortest load wait among those with servers for r. It
// is empty if none of their placers is up.
func (c *Core) targetShard(r *Request) string {
	own := string(c.cfg.Region)
	if r.Started && !c.hasServers(r, own) {
		own = ""
	}
	if own != "" && (c.placer(own) != nil || c.readyAt > 0 && c.now < c.readyAt+firstPlacerTimeout) {
		return own
	}
	best := ""
	for name := range c.shards {
		s := c.placer(name)
		if s == nil || !c.hasServers(r, name) {
			continue
		}
		if best == "" || s.loadWait < c.shards[best].loadWait || s.loadWait == c.shards[best].loadWait && name < best {
			best = name
		}
	}
	return best
}

// hasServers reports whether a shard has a backend server at which r may run.
func (c *Core) hasServers(r *Request, shard string) bool {
	for _, v := range c.byService[r.Service] {
		if string(v.Region) == shard && !v.isLeaving() && !r.startedElsewhere(v) {
			return true
		}
	}
	return false
}

// waitsUntil returns the end of the longest wait of r before it is sent.
func (r *Request) waitsUntil() clock.Millis {
	since := max(r.Arrived, r.BrokeAt)
	return since + min(clock.Millis(waitShare*float64(r.Deadline-since)), waitTargets*r.Route.Target)
}

// wait requests a load for r, whose adapter has no usable copy, and keeps r waiting while
// a load could still start before the wait ends; otherwise it refuses r.
func (c *Core) wait(r *Request, shard string) Choice {
	until := r.waitsUntil()
	if shard == "" {
		return c.refuse(r, "adapter is not loaded and nobody loads any", retryDelay)
	}
	loadWait := clock.Millis(0)
	if placer := c.placer(shard); placer != nil {
		loadWait = placer.waitOf(r)
	}
	if c.now >= until || c.now+loadWait > until {
		return c.refuse(r, "adapter can't be loaded in time", r.returnsAfter(max(fullRetryDelay, loadWait)))
	}
	w := c.requestLoad(r, shard)
	return Wait{Changed: w.changed, Until: until, Reason: "adapter is not loaded"}
}

// placer returns the state of a shard's placer, or nil if its last update is older than
// placerTimeout.
func (c *Core) placer(name string) *shard {
	if s := c.shards[name]; s != nil && c.now < s.lastUpdateAt+placerTimeout {
		return s
	}
	return nil
}

// ownRegionServes reports whether the own region has a backend server to which r can be
// sent: one that isn't draining or being avoided and to which r wasn't sent before.
func (c *Core) ownRegionServes(r *Request) bool {
	for _, v := range c.byService[r.Service] {
		if v.Region == c.cfg.Region && !v.isLeaving() && !r.startedElsewhere(v) && c.admits(r, v) && c.now >= v.health.avoidUntil && !r.tried(v.ID) {
			return true
		}
	}
	return false
}

// holds reports whether v has a model, or a current copy of an adapter, loaded or loading.
// readyAt is when the copy is expected to be loaded, 0 if it is loaded already.
func (c *Core) holds(v *view, adapter units.AdapterName) (readyAt clock.Millis, ok bool) {
	if !topo.IsAdapter(adapter) {
		for _, m := range v.models {
			if m == units.ModelName(adapter) {
				return 0, true
			}
		}
		return 0, false
	}
	held, ok := v.copies[adapter]
	if !ok || !c.isCurrent(adapter, held) {
		return 0, false
	}
	return held.readyAt, true
}

// isCurrent reports whether a copy's version may still be used.
func (c *Core) isCurrent(adapter units.AdapterName, held copyView) bool {
	at, replaced := c.versions[adapter].ReplacedAt(held.revision)
	return !replaced || c.now < at+c.cfg.Policy.VersionGrace
}

// cheapest returns the backend server with the lowest cost among those that don't leave, admit r and
// for which usable returns true, and their number. A nil usable allows all.
func (c *Core) cheapest(r *Request, list []*view, usable func(*view) bool) (best *view, candidates int) {
	bestCost := 0.0
	for _, v := range list {
		if v.isLeaving() || r.startedElsewhere(v) || usable != nil && !usable(v) || !c.admits(r, v) {
			continue
		}
		candidates++
		cost := c.cost(r, v)
		if best == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best, candidates
}

// cost returns the expected time to the first event at v, plus penalties, in ms.
func (c *Core) cost(r *Request, v *view) float64 {
	cost := c.expected(r, v) + c.pauseCost(r, v) + c.paceCost(r, v)
	if v.Region != c.cfg.Region {
		cost += otherRegionCost
	} else if v.Domain != c.cfg.Domain {
		cost += otherDomainCost
	}
	failed := v.health.share(c.now)
	cost += failureCost * failed * failed
	if c.now < v.health.avoidUntil {
		cost += avoidedCost
	}
	if r.tried(v.ID) {
		cost += triedCost
	}
	return cost + jitter*spread(r.ID, v.ID)
}

// jitter is the largest random cost in ms. It breaks ties by request, so that entry VMs
// don't all choose the same backend server.
const jitter = 2

// expected returns the expected time to the first event of r at v in ms.
func (c *Core) expected(r *Request, v *view) float64 {
	active := float64(v.own.active + v.others.active)
	if v.engine == nil {
		slots := float64(max(1, v.Slots))
		return c.plainTime(v) * (1 + active/slots)
	}
	prompt := float64(r.PromptTokens - min(r.PromptTokens, v.prefixes.cached(r)))
	prefill := float64(v.own.prefill+v.others.prefill) + prompt
	cost := prefill/c.prefillRate(v) + active*activeCost
	if kv := float64(v.engine.KVTokens); kv > 0 {
		used := float64(v.own.tokens+v.others.tokens) + float64(r.PromptTokens+r.MaxTokens)
		cost += memoryCost * max(0, used/kv-memoryFill)
	}
	if slots := float64(v.engine.Slots); active >= slots {
		cost += (active + 1 - slots) / slots * queueCost
	}
	return cost
}

const (
	// memoryFill is the share of an engine's memory up to which requests don't evict each
	// other.
	memoryFill = 0.8
	// queueCost is the duration of a whole batch in ms.
	queueCost = 2000
)

// cancelTime is the time in which a canceled request is dropped by its backend server.
const cancelTime = 300 * clock.Millis(1)

func (c *Core) send(r *Request, v *view, candidates int) Choice {
	expected := clock.Millis(min(c.expected(r, v), c.expectedAtCommonPace(r, v)))
	if c.now+expected >= r.Deadline {
		return c.refuse(r, "backend servers are too busy", r.returnsAfter(fullRetryDelay))
	}
	if r.Sends > 0 && !c.takeRetry(r) {
		return c.refuse(r, "no retry is left in the budget", retryDelay)
	}
	c.withdrawLoad(r)
	choice := Send{
		Server: v.ID, Address: v.Address, StartedAt: v.StartedAt, Software: v.software(), Region: v.Region, Cost: expected, Candidates: candidates,
		Active: v.own.active + v.others.active, Prefill: v.own.prefill + v.others.prefill, Tokens: v.own.tokens + v.others.tokens,
		Cached: v.prefixes.cached(r),
	}
	if v.engine != nil {
		choice.Rate = c.prefillRate(v)
	}
	if gap := r.Route.GapTarget; gap > 0 && choice.Rate > 0 {
		choice.PauseRisk = c.pauseRisk(r, v, gap)
	}
	if topo.IsAdapter(r.Adapter) {
		choice.Revision = v.copies[r.Adapter].revision
		choice.BeginBy = c.BeginBy(r.Adapter, choice.Revision)
	}
	c.recordSend(r, v)
	v.backoff.began(r)
	return choice
}

func (c *Core) refuse(r *Request, reason string, retryAfter clock.Millis) Choice {
	c.withdrawLoad(r)
	return Refuse{Reason: reason, RetryAfter: retryAfter}
}

func sortViews(list []*view) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
}

// spread returns a pseudo-random number from 0 to 1, derived from the request and the
// backend server.
func spread(request units.RequestID, server units.BackendServerID) float64 {
	x := chain(xxhash.Sum64String(string(request)), xxhash.Sum64String(string(server)))
	return float64(x>>11) / (1 << 53)
}
