package origin

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestStartsAreBounded checks, with starts of any lifetime in any order, that a start is found until
// it expires or MaxStarts newer ones came, with the version told first.
func TestStartsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Starts
		now := clock.Hour
		first, until := map[Key]topo.ServiceSoftware{}, map[Key]clock.Millis{}
		for range rapid.IntRange(1, 60).Draw(t, "starts") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "pause"))
			start := Start{
				Key: Key(rapid.IntRange(1, 20).Draw(t, "key")), Software: topo.Software(rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")),
				Service: units.ServiceName(rapid.SampledFrom([]string{"", "llm"}).Draw(t, "service")), Remaining: clock.Millis(rapid.IntRange(1, 1000).Draw(t, "remaining")),
			}
			s.Add(now, start)
			switch began := first[start.Key]; {
			case now >= until[start.Key]:
				first[start.Key] = topo.ServiceSoftware{Service: start.Service, Software: start.Software}
			case began.Service == "" && began.Software == start.Software:
				first[start.Key] = topo.ServiceSoftware{Service: start.Service, Software: start.Software}
			}
			until[start.Key] = max(until[start.Key], now+start.Remaining)
			for key := range until {
				v, ok := s.Find(now, key)
				must.Eq(t, now < until[key], ok)
				if ok {
					must.Eq(t, first[key], v)
				}
			}
			must.Eq(t, len(s.byKey), len(s.order))
		}
	})
	var s Starts
	for i := range 3 * MaxStarts {
		s.Add(1, Start{Key: Key(i), Software: "v1", Remaining: MaxLifetime})
	}
	must.Eq(t, MaxStarts, s.Len())
	_, ok := s.Find(1, 3*MaxStarts-1)
	must.True(t, ok)
}

func testMembers(perDomain map[units.FailureDomain]int) []Member {
	var list []Member
	for domain, n := range perDomain {
		for i := range n {
			list = append(list, Member{ID: units.EntryVMID(fmt.Sprint(domain, i)), Domain: domain, Region: units.Region(domain[:1])})
		}
	}
	return list
}

// TestAStartIsFoundAfterFaults guards against a stream that can't be taken up because of the loss of
// an entry VM or a failure domain, or because a failure domain is cut off: whichever entry VM asks must
// still ask one that was told. Some members don't know of another one yet.
func TestAStartIsFoundAfterFaults(t *testing.T) {
	all := testMembers(map[units.FailureDomain]int{"aa": 25, "ab": 20, "ac": 3, "ba": 24, "bb": 1})
	for key := range Key(500) {
		writer := all[int(key)%len(all)]
		others := slices.DeleteFunc(slices.Clone(all), func(m Member) bool { return m == writer })
		keepers := Keepers(writer, others, key)
		must.SliceLen(t, 3-strings.Count(string(writer.Domain), "bb"), keepers, must.Sprint(writer))
		if writer.Domain != "bb" {
			must.Eq(t, writer.Domain, keepers[0].Domain)
		}
		near, remote := keepers[len(keepers)-2], keepers[len(keepers)-1]
		must.NotEq(t, writer.Domain, near.Domain)
		must.Eq(t, writer.Region, near.Region)
		must.NotEq(t, writer.Region, remote.Region)
		for _, tc := range []struct {
			name string
			lost func(Member) bool
		}{
			{"the entry VM that began it", func(m Member) bool { return m == writer }},
			{"it and one that was told", func(m Member) bool { return m == writer || m == keepers[0] && len(keepers) > 1 }},
			{"its failure domain", func(m Member) bool { return m.Domain == writer.Domain }},
			{"its region", func(m Member) bool { return m.Region == writer.Region }},
			{"its failure domain, and one that was told", func(m Member) bool { return m.Domain == writer.Domain || m == remote }},
			{"all others, since its failure domain is cut off", func(m Member) bool { return m.Domain != writer.Domain && writer.Domain != "bb" }},
			{"a member that the writer did not know of", func(Member) bool { return false }},
		} {
			alive := slices.DeleteFunc(slices.Clone(all), tc.lost)
			if tc.name == "a member that the writer did not know of" {
				alive = append(alive, Member{ID: "new", Domain: writer.Domain, Region: writer.Region})
			}
			sources := Sources(alive, key)
			must.LessEq(t, 2*5, len(sources))
			must.True(t, slices.ContainsFunc(sources, func(m Member) bool { return slices.Contains(keepers, m) || m == writer }), must.Sprint(tc.name, writer, keepers, sources))
		}
	}
}

// TestKeepersShareTheStarts checks that no entry VM keeps far more starts than others of its domain.
func TestKeepersShareTheStarts(t *testing.T) {
	all := testMembers(map[units.FailureDomain]int{"aa": 24, "ab": 24})
	kept := map[units.EntryVMID]int{}
	for key := range Key(4800) {
		for _, m := range Keepers(all[int(key)%len(all)], all, key*7919) {
			kept[m.ID]++
		}
	}
	for id, n := range kept {
		must.Between(t, 100, n, 320, must.Sprint(id))
	}
	must.MapLen(t, len(all), kept)
}

// TestKeepersWithoutAnotherRegion checks who keeps starts where regions have a single failure domain, or
// there is a single region.
func TestKeepersWithoutAnotherRegion(t *testing.T) {
	for _, tc := range []struct {
		name      string
		perDomain map[units.FailureDomain]int
		want      []units.FailureDomain
	}{
		{"one region", map[units.FailureDomain]int{"aa": 2, "ab": 2, "ac": 2}, []units.FailureDomain{"aa", "ab"}},
		{"regions of one failure domain", map[units.FailureDomain]int{"aa": 2, "ba": 2, "ca": 2}, []units.FailureDomain{"aa", "ba"}},
		{"one failure domain", map[units.FailureDomain]int{"aa": 2}, []units.FailureDomain{"aa"}},
		{"alone", map[units.FailureDomain]int{"aa": 1}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			all := testMembers(tc.perDomain)
			self := Member{ID: "aa0", Domain: "aa", Region: "a"}
			var domains []units.FailureDomain
			for _, m := range Keepers(self, slices.DeleteFunc(all, func(m Member) bool { return m.ID == self.ID }), 7) {
				domains = append(domains, m.Domain)
			}
			must.Eq(t, tc.want, domains)
		})
	}
}
