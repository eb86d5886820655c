package owner

import (
	"cmp"
	"math"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/place"
)

// loadAging is the time after which a request that waits weighs twice as much
// in the choice of the next load.
const loadAging = 5 * clock.Second

// soonWithin is the time in which further requests are expected to come and to be
// spared a wait by a load.
const soonWithin = 30 * clock.Second

// urgentLeft is the part of a request's time from which on it weighs urgentWeight
// times as much in the choice of the next load.
const (
	urgentLeft    = 0.4
	urgentWeight  = 20
	urgentBacklog = 5
)

// wantedLoad names a load that could start.
type wantedLoad struct {
	server  *server
	adapter units.AdapterVersion
}

func (o *Owner) loadDone(now clock.Millis, s *server, ev event.OrderDone, out *event.Effects) {
	av := ev.Order.Adapter
	c := s.copies[av]
	if c == nil || !c.loading {
		return
	}
	c.loading = false
	if ev.Result.Kind == event.OrderTaken {
		c.usedAt = now
		o.Failures.Loaded(av)
		out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: "loaded", Pairs: []any{"backend_server", s.spec.ID}})
		return
	}
	out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: "load_" + ev.Result.Kind.String(), Pairs: []any{"backend_server", s.spec.ID, "text", ev.Result.Reason}})
	o.loadFailed(now, s, ev, out)
}

// loadFailed removes the copy. The requests that wait for it go on waiting for
// the next try, until the version has failed too often. A later report adds the
// copy again if a lost order was carried out after all.
func (o *Owner) loadFailed(now clock.Millis, s *server, ev event.OrderDone, out *event.Effects) {
	av := ev.Order.Adapter
	delete(s.copies, av)
	if ev.Result.Kind != event.OrderRefused {
		s.retryAt = now + RetryPeriod
	}
	if ev.Result.Kind != event.OrderRefused || !o.Failures.Failed(now, av) {
		return
	}
	out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: "load_given_up", Pairs: []any{"failures", place.OpenAfter, "for", place.OpenPeriod}})
	for _, s := range o.order {
		s.asks = slices.DeleteFunc(s.asks, func(a *ask) bool {
			if a.Adapter != av || s.copies[av] != nil {
				return false
			}
			o.reply(a.from, &a.GrantAsk, 0, loadRefusal(av, place.OpenPeriod), out)
			return true
		})
	}
}

func loadRefusal(av units.AdapterVersion, wait clock.Millis) *errs.Refusal {
	return errs.Refuse(errs.CodeLoadFailed, "adapter %s could not be loaded in %d tries: check that this version is in the weight store", av, place.OpenAfter).After(wait)
}

// pump starts the loads that the budget allows, the most wanted first.
func (o *Owner) pump(now clock.Millis, out *event.Effects) {
	for o.Budget.Ready(now) {
		next, ok := o.nextLoad(now)
		if !ok {
			if !o.loadWanted(now, out) {
				o.prefetch(now, out)
			}
			return
		}
		o.startLoad(now, next, "load", out)
	}
}

// nextLoad returns the load that the requests waiting for it need the most.
func (o *Owner) nextLoad(now clock.Millis) (wantedLoad, bool) {
	if o.needs == nil {
		o.needs = map[wantedLoad]float64{}
	}
	clear(o.needs)
	var best wantedLoad
	bestNeed := 0.0
	for _, s := range o.order {
		s.blocked = false
		if len(s.asks) == 0 || !s.takesLoads(now) {
			continue
		}
		if !s.hasRoom(now) {
			s.blocked = true
			continue
		}
		for _, a := range s.asks {
			if s.copies[a.Adapter] != nil || o.Failures.Waits(now, a.Adapter) {
				continue
			}
			load := wantedLoad{s, a.Adapter}
			need := o.needs[load] + a.need(now) + o.Popularity.Rate(now, a.Adapter)*soonWithin.Duration().Seconds()
			o.needs[load] = need
			if need > bestNeed {
				best, bestNeed = load, need
			}
		}
	}
	return best, best.server != nil
}

// need weighs a request in the choice of the next load.
func (a *ask) need(now clock.Millis) float64 {
	need := math.Exp2(float64(a.Priority)/4) * (1 + float64(now-a.askedAt)/float64(loadAging))
	if a.urgent(now) {
		need *= urgentWeight
	}
	return need
}

// urgent reports whether a has little of its time left.
func (a *ask) urgent(now clock.Millis) bool {
	return float64(a.deadline-now) < urgentLeft*float64(a.Within)
}

// takesLoads reports whether a load or an eviction before one may be ordered now.
func (s *server) takesLoads(now clock.Millis) bool {
	return s.unloading == 0 && now >= s.retryAt && s.mayOrder(now)
}

// hasRoom reports whether an adapter could be loaded now, if need be after an
// eviction.
func (s *server) hasRoom(now clock.Millis) bool {
	if len(s.copies) < s.slots() {
		return true
	}
	for _, c := range s.copies {
		if s.evictable(now, c) {
			return true
		}
	}
	return false
}

// startLoad takes a load from the budget and orders it, or the eviction that
// must go before it.
func (o *Owner) startLoad(now clock.Millis, load wantedLoad, reason string, out *event.Effects) {
	s, av := load.server, load.adapter
	if len(s.copies) >= s.slots() {
		o.evictOne(now, s, av, out)
		return
	}
	o.Budget.Take(now)
	s.copy(av).loading = true
	out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: reason, Pairs: []any{"backend_server", s.spec.ID}})
	o.send(now, s, event.Order{Kind: event.OrderLoad, Adapter: av}, out)
}

// evictOne makes room for an adapter. The load is taken from the budget for the
// time of the eviction, so that no more are evicted than loads can start.
func (o *Owner) evictOne(now clock.Millis, s *server, wanted units.AdapterVersion, out *event.Effects) {
	victim, ok := o.victim(now, s)
	if !ok {
		return
	}
	o.Budget.Take(now)
	s.copies[victim].unloading = true
	s.unloading++
	out.Add(event.Decision{Area: "place", Choice: victim.String(), Reason: "evict", Pairs: []any{
		"backend_server", s.spec.ID, "for", wanted.String(), "rate", o.Popularity.Rate(now, victim),
	}})
	o.send(now, s, event.Order{Kind: event.OrderUnload, Adapter: victim}, out)
}

// victim returns the evictable copy that is expected to be missed the least.
func (o *Owner) victim(now clock.Millis, s *server) (units.AdapterVersion, bool) {
	var best units.AdapterVersion
	var bestWorth float64
	var found bool
	for av, c := range s.copies {
		if !s.evictable(now, c) {
			continue
		}
		worth := o.worth(now, s, av)
		if !found || cmp.Or(cmp.Compare(worth, bestWorth), cmp.Compare(c.usedAt, s.copies[best].usedAt), compareVersions(av, best)) < 0 {
			best, bestWorth, found = av, worth, true
		}
	}
	return best, found
}

// spare is the worth of the next victim in the steps of a summary.
func (o *Owner) spare(now clock.Millis, s *server) uint8 {
	if len(s.copies) < s.slots() {
		return 0
	}
	victim, ok := o.victim(now, s)
	if !ok {
		return math.MaxUint8
	}
	return place.Steps(o.worth(now, s, victim))
}

// spareCopyWorth is the part of an adapter's worth that another copy has.
const spareCopyWorth = 0.1

// worth is the loss that the eviction of a copy is expected to bring.
func (o *Owner) worth(now clock.Millis, s *server, av units.AdapterVersion) float64 {
	worth := o.Popularity.Rate(now, av)
	if o.pinned[pin{s.id(), av}] {
		return pinnedWorth
	}
	if o.Copies != nil && o.Copies(av) > 1 {
		worth *= spareCopyWorth
	}
	for _, a := range s.asks {
		if a.Adapter == av {
			worth++
		}
	}
	return worth
}

// prefetch fills free slots with adapters that are asked for and loaded
// nowhere, if nothing waits for a load and the budget has been left alone.
func (o *Owner) prefetch(now clock.Millis, out *event.Effects) {
	if o.Copies == nil || !o.Budget.Spare(now) {
		return
	}
	s := o.emptiest(now)
	if s == nil {
		return
	}
	var best units.AdapterVersion
	bestRate := prefetchRate
	o.Popularity.Each(func(av units.AdapterVersion) {
		rate := o.Popularity.Rate(now, av)
		if rate < bestRate || rate == bestRate && compareVersions(av, best) >= 0 {
			return
		}
		if o.Copies(av) == 0 && !o.Failures.Waits(now, av) && !o.present(av) {
			best, bestRate = av, rate
		}
	})
	if best.Adapter != "" {
		o.startLoad(now, wantedLoad{s, best}, "prefetch", out)
	}
}

// prefetchRate is the least rate of requests, in requests a second, for which an
// adapter is loaded before it is asked for.
const prefetchRate = 1.0 / 600

// emptiest returns the server with the most free slots, or nil.
func (o *Owner) emptiest(now clock.Millis) *server {
	var best *server
	bestFree := 0
	for _, s := range o.order {
		free := s.slots() - len(s.copies)
		if s.takesLoads(now) && free > bestFree {
			best, bestFree = s, free
		}
	}
	return best
}

// present reports whether an own server has av or is about to.
func (o *Owner) present(av units.AdapterVersion) bool {
	for _, s := range o.order {
		if s.copies[av] != nil {
			return true
		}
	}
	return false
}

// Backlog counts the loads that requests wait for. A load that a request waits for
// which is running out of time counts up to urgentBacklog times under an objective
// of 1, where deadlines go before stalls: its owner has a greater part of the
// weight store.
func (o *Owner) Backlog(now clock.Millis) int {
	n := o.Budget.InFlight()
	for _, s := range o.order {
		for i, a := range s.asks {
			if s.copies[a.Adapter] != nil || slices.ContainsFunc(s.asks[:i], func(b *ask) bool { return b.Adapter == a.Adapter }) {
				continue
			}
			n++
			if a.urgent(now) {
				n += int(o.Objective * (urgentBacklog - 1))
			}
		}
	}
	return n
}
