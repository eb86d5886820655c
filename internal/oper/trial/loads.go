package trial

import (
	"cmp"
	"slices"

	"mangostile/internal/base/units"
)

// loadWaiters holds the callbacks for the loads of one engine.
type loadWaiters struct {
	waiters map[units.AdapterVersion]func(ok bool)
}

// whenLoaded registers f to be called when the load of av ends or is lost in a restart. It
// replaces an earlier callback for av.
func (l *loadWaiters) whenLoaded(av units.AdapterVersion, f func(ok bool)) {
	if l.waiters == nil {
		l.waiters = map[units.AdapterVersion]func(ok bool){}
	}
	l.waiters[av] = f
}

func (l *loadWaiters) notifyLoaded(av units.AdapterVersion, ok bool) {
	f := l.waiters[av]
	delete(l.waiters, av)
	if f != nil {
		f(ok)
	}
}

// awaitedVersions returns the adapter versions that have a callback, sorted.
func (l *loadWaiters) awaitedVersions() []units.AdapterVersion {
	var versions []units.AdapterVersion
	for av := range l.waiters {
		versions = append(versions, av)
	}
	slices.SortFunc(versions, compareVersions)
	return versions
}

func compareVersions(a, b units.AdapterVersion) int {
	return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
}
