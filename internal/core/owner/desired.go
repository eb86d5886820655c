package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/place"
)

// pinnedValue is greater than any rate of requests.
const pinnedValue = 1e9

// SetDesiredCopies sets the copies that should be loaded before a request needs them, in
// the order of loading. They are loaded while no queued request needs a load.
func (o *Owner) SetDesiredCopies(now clock.Millis, desired []place.DesiredCopy, out *event.Effects) {
	o.desired = append(o.desired[:0], desired...)
	clear(o.pinned)
	for _, wanted := range desired {
		if wanted.Pinned {
			if o.pinned == nil {
				o.pinned = map[pin]bool{}
			}
			o.pinned[pin{wanted.Server, wanted.Adapter}] = true
		}
	}
	o.startLoads(now, out)
}

// pin identifies a pinned copy.
type pin struct {
	server  units.BackendServerID
	adapter units.AdapterVersion
}

// loadDesired starts the load of one desired copy, or the eviction that has to precede it,
// and reports whether it did.
func (o *Owner) loadDesired(now clock.Millis, out *event.Effects) bool {
	for _, wanted := range o.desired {
		s := o.servers[wanted.Server]
		if s == nil || s.copies[wanted.Adapter] != nil || !s.canLoad(now) || o.Failures.InBackoff(now, wanted.Adapter) {
			continue
		}
		if s.takenSlots() >= s.slots() && !o.yields(now, s, wanted.Pinned) {
			continue
		}
		o.startLoad(now, loadCandidate{s, wanted.Adapter}, "wanted", out)
		return true
	}
	return false
}

// yieldRate is the value, in requests a second, below which a copy may be evicted for a
// desired one that is not pinned.
const yieldRate = 1.0 / 60

// yields reports whether the next victim of s may be evicted for a desired copy. A pinned
// copy may displace any copy that is not pinned.
func (o *Owner) yields(now clock.Millis, s *server, pinned bool) bool {
	victim, ok := o.victim(now, s)
	if !ok {
		return false
	}
	value := o.value(now, s, victim)
	return value < yieldRate || pinned && value < pinnedValue
}
