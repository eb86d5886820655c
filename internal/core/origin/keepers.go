package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry VM that keeps starts.
type Member struct {
	ID      units.EntryVMID
	Domain  units.FailureDomain
	Region  units.Region
	Address string
}

// sourcesPerDomain is the number of entry VMs of each failure domain that are asked. It exceeds
// the one that keeps a start there, since entry VMs may disagree about the members for a while.
const sourcesPerDomain = 2

// Keepers returns the members to which the entry VM self tells a start: one in its own failure
// domain, which may be cut off from the others, one in another failure domain, which may outlive the
// own one, and one in another region, which may outlive the own region.
func Keepers(self Member, members []Member, key Key) []Member {
	nearest := partner(self, members, func(m Member) bool { return m.Domain != self.Domain })
	var remote Member
	if nearest.Region == self.Region {
		remote = partner(self, members, func(m Member) bool { return m.Region != self.Region })
	}
	keepers := make([]Member, 0, 3)
	for _, domain := range []units.FailureDomain{self.Domain, nearest.Domain, remote.Domain} {
		if m, ok := highest(members, domain, key); ok {
			keepers = append(keepers, m)
		}
	}
	return keepers
}

// highest returns the highest one in rendezvous hashing for key of the members in a failure domain.
func highest(members []Member, domain units.FailureDomain, key Key) (best Member, ok bool) {
	var bestScore uint64
	for _, m := range members {
		if m.Domain != domain || domain == "" {
			continue
		}
		if s := score(m.ID, key); !ok || s > bestScore || s == bestScore && m.ID < best.ID {
			best, bestScore, ok = m, s, true
		}
	}
	return best, ok
}

// Sources returns the members that may keep a start, whichever entry VM told them.
func Sources(members []Member, key Key) []Member {
	var list []Member
	for _, domain := range domains(members) {
		list = append(list, ranked(inDomain(members, domain), key, sourcesPerDomain)...)
	}
	return list
}

// partner returns a member of the failure domain that keeps the starts of self's besides the own one, of
// those that may: the next one by name, in the same region if there is one. It is empty if there is none.
func partner(self Member, members []Member, may func(Member) bool) Member {
	var best Member
	for _, m := range members {
		if may(m) && (best.Domain == "" || isNearer(self, m, best)) {
			best = m
		}
	}
	return best
}

// isNearer reports whether the failure domain of a comes before that of b in the choice of self's
// partner.
func isNearer(self, a, b Member) bool {
	if near, other := a.Region == self.Region, b.Region == self.Region; near != other {
		return near
	}
	if next, other := a.Domain > self.Domain, b.Domain > self.Domain; next != other {
		return next
	}
	return a.Domain < b.Domain
}

// domains returns the failure domains of members in order.
func domains(members []Member) []units.FailureDomain {
	var list []units.FailureDomain
	for _, m := range members {
		list = append(list, m.Domain)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func inDomain(members []Member, domain units.FailureDomain) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Domain != domain })
}

// ranked returns up to n of the members, the highest ones in rendezvous hashing for key.
func ranked(members []Member, key Key, n int) []Member {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(score(b.ID, key), score(a.ID, key)), cmp.Compare(a.ID, b.ID))
	})
	return members[:min(n, len(members))]
}

func score(id units.EntryVMID, key Key) uint64 {
	var buf [64]byte
	text := binary.LittleEndian.AppendUint64(buf[:0], uint64(key))
	return xxhash.Sum64(append(text, id...))
}
