package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/place"
)

// pinnedWorth is more than any rate of requests.
const pinnedWorth = 1e9

// SetWants takes the copies that are to be there before a request asks for them.
// They are loaded while no request waits for a load.
func (o *Owner) SetWants(now clock.Millis, wants []place.Want, out *event.Effects) {
	o.wants = append(o.wants[:0], wants...)
	clear(o.pinned)
	for _, want := range wants {
		if want.Pinned {
			if o.pinned == nil {
				o.pinned = map[pin]bool{}
			}
			o.pinned[pin{want.Server, want.Adapter}] = true
		}
	}
	o.pump(now, out)
}

// pin names a copy that is kept.
type pin struct {
	server  units.BackendServerID
	adapter units.AdapterVersion
}

// loadWanted starts the load of one wanted copy and reports whether it did.
func (o *Owner) loadWanted(now clock.Millis, out *event.Effects) bool {
	for _, want := range o.wants {
		s := o.servers[want.Server]
		if s == nil || s.copies[want.Adapter] != nil || !s.takesLoads(now) || o.Failures.Waits(now, want.Adapter) {
			continue
		}
		if len(s.copies) >= s.slots() && !o.yields(now, s, want.Pinned) {
			continue
		}
		o.startLoad(now, wantedLoad{s, want.Adapter}, "wanted", out)
		return true
	}
	return false
}

// yieldRate is the rate of requests, in requests a second, under which a copy
// makes room for a new version.
const yieldRate = 1.0 / 60

// yields reports whether the next victim of s makes room for a wanted copy.
func (o *Owner) yields(now clock.Millis, s *server, pinned bool) bool {
	victim, ok := o.victim(now, s)
	if !ok {
		return false
	}
	worth := o.worth(now, s, victim)
	return worth < yieldRate || pinned && worth < pinnedWorth
}
