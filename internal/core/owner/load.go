package owner

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

func (o *Owner) loadDone(now clock.Millis, s *server, ev event.OrderDone, out *event.Effects) {
	c := s.copies[ev.Order.Adapter]
	if c == nil || !c.loading {
		return
	}
	o.loads--
	c.loading = false
	if ev.Result.Kind == event.OrderTaken {
		c.usedAt = now
		out.Add(event.Decision{Area: "place", Choice: ev.Order.Adapter.String(), Reason: "loaded", Pairs: []any{"backend_server", s.spec.ID}})
		return
	}
	out.Add(event.Decision{Area: "place", Choice: ev.Order.Adapter.String(), Reason: "load_" + ev.Result.Kind.String(), Pairs: []any{"backend_server", s.spec.ID, "text", ev.Result.Reason}})
	o.loadFailed(s, ev, out)
}

// loadFailed refuses the asks that waited for the adapter and removes its copy.
// A later report adds the copy again if a lost order was carried out after all.
func (o *Owner) loadFailed(s *server, ev event.OrderDone, out *event.Effects) {
	delete(s.copies, ev.Order.Adapter)
	s.asks = slices.DeleteFunc(s.asks, func(a *ask) bool {
		if a.Adapter != ev.Order.Adapter {
			return false
		}
		o.reply(a.from, &a.GrantAsk, 0, errs.Refuse(errs.CodeLoadFailed, "adapter %s could not be loaded: check that this version is in the weight store", a.Adapter).After(loadBackoff), out)
		return true
	})
}

func (o *Owner) tryLoad(now clock.Millis, s *server, av units.AdapterVersion, out *event.Effects) {
	if s.copies[av] != nil || o.loads >= MaxLoadsInFlight {
		return
	}
	if len(s.copies) >= s.slots() {
		o.evictOne(now, s, out)
		return
	}
	s.copy(av).loading = true
	o.loads++
	out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: "load", Pairs: []any{"backend_server", s.spec.ID}})
	o.order(now, s, event.Order{Kind: event.OrderLoad, Adapter: av}, out)
}

func (o *Owner) evictOne(now clock.Millis, s *server, out *event.Effects) {
	for _, c := range s.copies {
		if c.unloading {
			return
		}
	}
	av, ok := s.victim(now)
	if !ok {
		return
	}
	s.copies[av].unloading = true
	out.Add(event.Decision{Area: "place", Choice: av.String(), Reason: "evict", Pairs: []any{"backend_server", s.spec.ID}})
	o.order(now, s, event.Order{Kind: event.OrderUnload, Adapter: av}, out)
}
