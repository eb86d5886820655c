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

// loadAging is the waiting time after which a request weighs twice as much as at first in
// the choice of the next load. The weight grows linearly.
const loadAging = 5 * clock.Second

// demandWindow is the span after a load in which expected requests count toward its need,
// since the load saves them a wait.
const demandWindow = 30 * clock.Second

// A request is urgent if less than the fraction urgentRemaining of its deadline budget
// remains. It then weighs urgentWeight times as much in the choice of the next load, and
// its load counts up to urgentBacklog times in the backlog.
const (
	urgentRemaining = 0.4
	urgentWeight    = 20
	urgentBacklog   = 5
)

// loadCandidate is a load that could start.
type loadCandidate struct {
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
	if ev.Result.Kind == event.OrderAccepted {
		c.usedAt = now
		o.Failures.Loaded(av)
		out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: "loaded", Pairs: []any{"backend_server", s.spec.ID}})
		return
	}
	out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: "load_" + ev.Result.Kind.String(), Pairs: []any{"backend_server", s.spec.ID, "text", ev.Result.Reason}})
	o.loadFailed(now, s, ev, out)
}

// loadFailed removes the copy. The requests for it keep waiting for the next attempt
// until engines have refused the version too often. A later report adds the copy again
// if a lost order was executed after all. An engine without a free slot gets no further
// load before RetryPeriod: an earlier owner's loads may have taken the slots, and a report
// shows them by then.
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
		s.queue = slices.DeleteFunc(s.queue, func(req *queuedRequest) bool {
			if req.Adapter != av || s.copies[av] != nil {
				return false
			}
			o.reply(req.from, &req.GrantRequest, 0, loadRefusal(av, place.OpenPeriod), out)
			return true
		})
	}
}

func loadRefusal(av units.AdapterVersion, wait clock.Millis) *errs.Refusal {
	return errs.Refuse(errs.CodeLoadFailed, "adapter %s could not be loaded in %d tries: check that this version is in the weight store", av, place.OpenAfter).WithRetryAfter(wait)
}

// startLoads starts the loads that the budget allows: first those that queued requests
// need, in order of need, then desired copies, then prefetches.
func (o *Owner) startLoads(now clock.Millis, out *event.Effects) {
	for o.Budget.Ready(now) {
		next, ok := o.nextLoad(now)
		if !ok {
			if !o.loadDesired(now, out) {
				o.prefetch(now, out)
			}
			return
		}
		o.startLoad(now, next, "load", out)
	}
}

// nextLoad returns the load with the greatest need among the queued requests.
func (o *Owner) nextLoad(now clock.Millis) (loadCandidate, bool) {
	if o.needs == nil {
		o.needs = map[loadCandidate]float64{}
	}
	clear(o.needs)
	var best loadCandidate
	bestNeed := 0.0
	for _, s := range o.order {
		s.loadBlocked = false
		if len(s.queue) == 0 || !s.canLoad(now) {
			continue
		}
		if !s.hasCapacity(now) {
			s.loadBlocked = true
			continue
		}
		for _, req := range s.queue {
			if s.copies[req.Adapter] != nil || o.Failures.InBackoff(now, req.Adapter) {
				continue
			}
			load := loadCandidate{s, req.Adapter}
			need := o.needs[load] + req.need(now) + o.Popularity.Rate(now, req.Adapter)*demandWindow.Duration().Seconds()
			o.needs[load] = need
			if need > bestNeed {
				best, bestNeed = load, need
			}
		}
	}
	return best, best.server != nil
}

// need returns the weight of a request in the choice of the next load.
func (req *queuedRequest) need(now clock.Millis) float64 {
	need := math.Exp2(float64(req.Priority)/4) * (1 + float64(now-req.receivedAt)/float64(loadAging))
	if req.urgent(now) {
		need *= urgentWeight
	}
	return need
}

// urgent reports whether little of the deadline budget of req remains.
func (req *queuedRequest) urgent(now clock.Millis) bool {
	return float64(req.deadline-now) < urgentRemaining*float64(req.Remaining)
}

// canLoad reports whether a load, or an eviction for one, may be ordered now.
func (s *server) canLoad(now clock.Millis) bool {
	return s.unloading == 0 && now >= s.retryAt && s.mayOrder(now)
}

// hasCapacity reports whether an adapter could be loaded now, if necessary after an
// eviction.
func (s *server) hasCapacity(now clock.Millis) bool {
	if s.takenSlots() < s.slots() {
		return true
	}
	for _, c := range s.copies {
		if s.evictable(now, c) {
			return true
		}
	}
	return false
}

// startLoad takes a load from the budget and orders it, or, if no slot is free, only an
// eviction; when that ends, startLoads chooses a load anew. reason is logged for a load.
// The caller must have checked Budget.Ready and canLoad, and that a slot is free or a copy
// evictable: without either nothing happens, and the loop in startLoads wouldn't end.
func (o *Owner) startLoad(now clock.Millis, load loadCandidate, reason string, out *event.Effects) {
	s, av := load.server, load.adapter
	if s.takenSlots() >= s.slots() {
		o.evictOne(now, s, av, out)
		return
	}
	o.Budget.Take(now)
	s.copy(av).loading = true
	out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: reason, Pairs: []any{"backend_server", s.spec.ID}})
	o.sendOrder(now, s, event.Order{Kind: event.OrderLoad, Adapter: av}, out)
}

// evictOne frees a slot for an adapter. The load is taken from the budget while the
// eviction lasts, so that no more copies are evicted than loads can start.
func (o *Owner) evictOne(now clock.Millis, s *server, av units.AdapterVersion, out *event.Effects) {
	victim, ok := o.victim(now, s)
	if !ok {
		return
	}
	o.Budget.Take(now)
	s.copies[victim].unloading = true
	s.unloading++
	out.Add(event.Decision{Area: "place", Choice: victim.String(), Reason: "evict", Pairs: []any{
		"backend_server", s.spec.ID, "for", av.String(), "rate", o.Popularity.Rate(now, victim),
	}})
	o.sendOrder(now, s, event.Order{Kind: event.OrderUnload, Adapter: victim}, out)
}

// victim returns the evictable copy with the least value, among equals the one used
// longest ago.
func (o *Owner) victim(now clock.Millis, s *server) (units.AdapterVersion, bool) {
	var best units.AdapterVersion
	var bestValue float64
	var found bool
	for av, c := range s.copies {
		if !s.evictable(now, c) {
			continue
		}
		value := o.value(now, s, av)
		if !found || cmp.Or(cmp.Compare(value, bestValue), cmp.Compare(c.usedAt, s.copies[best].usedAt), compareVersions(av, best)) < 0 {
			best, bestValue, found = av, value, true
		}
	}
	return best, found
}

// spare returns the value of the next victim for the summary, on the scale of
// place.RateSteps: 0 if a slot is free, 255 if nothing can be evicted.
func (o *Owner) spare(now clock.Millis, s *server) uint8 {
	if s.takenSlots() < s.slots() {
		return 0
	}
	victim, ok := o.victim(now, s)
	if !ok {
		return math.MaxUint8
	}
	return place.RateSteps(o.value(now, s, victim))
}

// surplusCopyFactor multiplies the request rate in the value of a copy if the adapter has
// another one.
const surplusCopyFactor = 0.1

// value returns the expected loss from evicting a copy: the rate of requests for it, in
// requests a second, and 1 for each queued request. The rate of a surplus copy is
// multiplied by surplusCopyFactor; a pinned copy has pinnedValue.
func (o *Owner) value(now clock.Millis, s *server, av units.AdapterVersion) float64 {
	value := o.Popularity.Rate(now, av)
	if o.pinned[pin{s.id(), av}] {
		return pinnedValue
	}
	if o.Copies != nil && o.Copies(av) > 1 {
		value *= surplusCopyFactor
	}
	for _, req := range s.queue {
		if req.Adapter == av {
			value++
		}
	}
	return value
}

// prefetch fills free slots with popular adapters that are not loaded anywhere, if no
// request waits for a load and the budget has been idle.
func (o *Owner) prefetch(now clock.Millis, out *event.Effects) {
	if o.Copies == nil || !o.Budget.ReadyToPrefetch(now) {
		return
	}
	s := o.emptiest(now)
	if s == nil {
		return
	}
	var best units.AdapterVersion
	bestRate := minPrefetchRate
	o.Popularity.Each(func(av units.AdapterVersion) {
		rate := o.Popularity.Rate(now, av)
		if rate < bestRate || rate == bestRate && compareVersions(av, best) >= 0 {
			return
		}
		if o.Copies(av) == 0 && !o.Failures.InBackoff(now, av) && !o.present(av) {
			best, bestRate = av, rate
		}
	})
	if best.Adapter != "" {
		o.startLoad(now, loadCandidate{s, best}, "prefetch", out)
	}
}

// minPrefetchRate is the least rate, in requests a second, for which an adapter is loaded
// before a request needs it.
const minPrefetchRate = 1.0 / 600

// emptiest returns the server with the most free slots, or nil.
func (o *Owner) emptiest(now clock.Millis) *server {
	var best *server
	bestFree := 0
	for _, s := range o.order {
		free := s.slots() - s.takenSlots()
		if s.canLoad(now) && free > bestFree {
			best, bestFree = s, free
		}
	}
	return best
}

// present reports whether an owned server has av or has an order for it in flight.
func (o *Owner) present(av units.AdapterVersion) bool {
	for _, s := range o.order {
		if s.copies[av] != nil {
			return true
		}
	}
	return false
}

// Backlog returns the number of loads in flight and of loads that requests wait for. A
// load for an urgent request counts up to urgentBacklog times under an objective of 1,
// where deadlines take precedence over stalls, so that its owner gets a greater share of
// the weight store.
func (o *Owner) Backlog(now clock.Millis) int {
	n := o.Budget.InFlight()
	for _, s := range o.order {
		for i, req := range s.queue {
			if s.copies[req.Adapter] != nil || slices.ContainsFunc(s.queue[:i], func(b *queuedRequest) bool { return b.Adapter == req.Adapter }) {
				continue
			}
			n++
			if req.urgent(now) {
				n += int(o.Objective * (urgentBacklog - 1))
			}
		}
	}
	return n
}
