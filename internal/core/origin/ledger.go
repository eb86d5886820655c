package origin

import (
	"cmp"
	"slices"
	"strings"

	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/pkg/errors"
)

// Group names a set whose members may have begun streams.
type Group string

// Prefixes of the names of groups.
const (
	versionsPrefix = "service "
	servicesPrefix = "route "
)

// VersionsOf is the group of the software versions of a service.
func VersionsOf(service units.ServiceName) Group { return Group(versionsPrefix + string(service)) }

// ServicesOf is the group of the services of a route.
func ServicesOf(route RouteKey) Group { return Group(servicesPrefix + string(route)) }

// Name names a member of a group: a software version or a service.
type Name string

// Entry is a record of a Ledger.
type Entry struct {
	Group  Group `msgpack:"g"`
	Member Name  `msgpack:"m"`
	// Whole is true if the ledger was whole when the entry was written.
	Whole bool `msgpack:"w,omitempty"`
}

// maxNameBytes bounds the texts of an entry.
const maxNameBytes = 1024

// Check returns an error if e breaks an invariant of its type.
func (e *Entry) Check() error {
	if e.Group == "" || len(e.Group) > maxNameBytes || len(e.Member) > maxNameBytes {
		return errors.Errorf("a ledger entry whose group has %d bytes and its member %d", len(e.Group), len(e.Member))
	}
	return nil
}

// Change is a change of the ledger: Entry is added, or dropped if Drop is true.
type Change struct {
	Entry
	Drop bool
}

// Observed is what an entry VM has seen of groups in the last window.
type Observed struct {
	Members map[Group][]Name
	// Whole is true if no member was missed in that window.
	Whole bool
}

// Add adds a member.
func (o *Observed) Add(group Group, member Name) {
	if o.Members == nil {
		o.Members = map[Group][]Name{}
	}
	o.Members[group] = append(o.Members[group], member)
}

// Ledger is the list, in the store, of all that may have begun a stream which can still be taken up. Unlike
// the history of the list of backend servers, the store never deletes it, so that it rules out what it doesn't
// name, also for an entry VM that has just started. The zero value is empty.
type Ledger struct {
	// entries holds whether each entry is whole.
	entries map[membership]bool
}

type membership struct {
	group  Group
	member Name
}

// Load replaces the content by the entries in the store.
func (l *Ledger) Load(list []Entry) {
	l.entries = map[membership]bool{}
	for _, e := range list {
		l.entries[membership{e.Group, e.Member}] = e.Whole
	}
}

// Entries returns the content.
func (l *Ledger) Entries() []Entry {
	list := make([]Entry, 0, len(l.entries))
	for key, whole := range l.entries {
		list = append(list, Entry{Group: key.group, Member: key.member, Whole: whole})
	}
	return list
}

// Apply records changes that were written to the store.
func (l *Ledger) Apply(changes []Change) {
	for _, c := range changes {
		if key := (membership{c.Group, c.Member}); c.Drop {
			delete(l.entries, key)
		} else {
			l.entries[key] = c.Whole
		}
	}
}

// Whole reports whether the ledger has all that may have begun a stream which can still be taken up. Once it
// has, those who keep it add what comes.
func (l *Ledger) Whole() bool {
	for _, whole := range l.entries {
		if whole {
			return true
		}
	}
	return false
}

// Versions returns the versions of all services.
func (l *Ledger) Versions() []topo.ServiceSoftware {
	var list []topo.ServiceSoftware
	for key := range l.entries {
		if service, ok := strings.CutPrefix(string(key.group), versionsPrefix); ok {
			list = append(list, topo.ServiceSoftware{Service: units.ServiceName(service), Software: topo.Software(key.member)})
		}
	}
	return list
}

// RouteServices returns the services of all routes.
func (l *Ledger) RouteServices() []RouteService {
	var list []RouteService
	for key := range l.entries {
		if route, ok := strings.CutPrefix(string(key.group), servicesPrefix); ok {
			list = append(list, RouteService{RouteKey(route), units.ServiceName(key.member)})
		}
	}
	return list
}

// Changes returns what to write to the store. Members are dropped only by an entry VM that has missed none, and
// after others were added.
func (l *Ledger) Changes(o Observed) []Change {
	var list []Change
	whole := o.Whole || l.Whole()
	for group, members := range o.Members {
		for _, m := range members {
			if was, ok := l.entries[membership{group, m}]; !ok || whole && !was {
				list = append(list, Change{Entry: Entry{Group: group, Member: m, Whole: whole}})
			}
		}
	}
	for key, was := range l.entries {
		if o.Whole && !slices.Contains(o.Members[key.group], key.member) {
			list = append(list, Change{Entry: Entry{Group: key.group, Member: key.member, Whole: was}, Drop: true})
		}
	}
	slices.SortFunc(list, func(a, b Change) int {
		return cmp.Or(compareBool(a.Drop, b.Drop), cmp.Compare(a.Group, b.Group), cmp.Compare(a.Member, b.Member))
	})
	return list[:min(len(list), maxChanges)]
}

// maxChanges bounds the changes that are written at once; the others follow.
const maxChanges = 256

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
