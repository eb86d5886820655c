package topo

import (
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// AnnouncedVersions holds the announced versions of adapters.
type AnnouncedVersions map[units.AdapterName]*Announcements

// Add records that a version of an adapter was announced at some time.
func (v AnnouncedVersions) Add(adapter units.AdapterName, revision AdapterRevision, at clock.Millis) {
	if v[adapter] == nil {
		v[adapter] = &Announcements{}
	}
	v[adapter].Add(revision, at)
}

// Announcements holds the announced versions of one adapter. The zero value has none.
type Announcements struct {
	// list is in ascending order of both revision and time: a version that was announced no earlier than
	// a newer one replaces nothing before that does, and is left out.
	list []announcement
}

// announcement is an announced version and the time of its announcement.
type announcement struct {
	revision AdapterRevision
	at       clock.Millis
}

// Add records that a version was announced at some time. Versions may be added in any order.
func (a *Announcements) Add(revision AdapterRevision, at clock.Millis) {
	for _, other := range a.list {
		if other.revision >= revision && other.at <= at {
			return
		}
	}
	a.list = slices.DeleteFunc(a.list, func(other announcement) bool { return other.revision <= revision && other.at >= at })
	i := 0
	for i < len(a.list) && a.list[i].revision < revision {
		i++
	}
	a.list = slices.Insert(a.list, i, announcement{revision, at})
}

// Newest returns the newest announced version, 0 if there is none. a may be nil.
func (a *Announcements) Newest() AdapterRevision {
	if a == nil || len(a.list) == 0 {
		return 0
	}
	return a.list[len(a.list)-1].revision
}

// ReplacedAt returns when the first version after revision was announced. replaced is false if none was.
// a may be nil.
func (a *Announcements) ReplacedAt(revision AdapterRevision) (at clock.Millis, replaced bool) {
	if a == nil {
		return 0, false
	}
	for _, other := range a.list {
		if other.revision > revision {
			return other.at, true
		}
	}
	return 0, false
}

// Forget drops what no longer matters once all versions that were replaced at some time or before are out
// of use.
func (a *Announcements) Forget(before clock.Millis) {
	last := 0
	for i, other := range a.list {
		if other.at <= before {
			last = i
		}
	}
	a.list = slices.Delete(a.list, 0, last)
}
