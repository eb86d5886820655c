package origin

import (
	"slices"
	"testing"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestLedgerChanges(t *testing.T) {
	g := VersionsOf("llm")
	entry := func(member Name, whole bool) Entry { return Entry{Group: g, Member: member, Whole: whole} }
	for _, tc := range []struct {
		name    string
		entries []Entry
		members []Name
		whole   bool
		want    []Change
	}{
		{"nothing to do", []Entry{entry("v1", true)}, []Name{"v1"}, true, nil},
		{"the first version, of a past that nobody knows", nil, []Name{"v1"}, false, []Change{{Entry: entry("v1", false)}}},
		{"the first version, of a known past", nil, []Name{"v1"}, true, []Change{{Entry: entry("v1", true)}}},
		{"the past has become known", []Entry{entry("v1", false)}, []Name{"v1"}, true, []Change{{Entry: entry("v1", true)}}},
		{"another version, seen by one that has just started", []Entry{entry("v1", true)}, []Name{"v2"}, false, []Change{{Entry: entry("v2", true)}}},
		{"a version that has left", []Entry{entry("v1", true), entry("v2", true)}, []Name{"v2"}, true, []Change{{entry("v1", true), true}}},
		{"a version that was replaced", []Entry{entry("v1", true)}, []Name{"v2"}, true, []Change{{Entry: entry("v2", true)}, {entry("v1", true), true}}},
		{"a service that has left", []Entry{entry("v1", true)}, nil, true, []Change{{entry("v1", true), true}}},
		{"a service that is not listed yet", []Entry{entry("v1", true)}, nil, false, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l Ledger
			l.Load(tc.entries)
			o := Observed{Whole: tc.whole, Members: map[Group][]Name{}}
			if tc.members != nil {
				o.Members[g] = tc.members
			}
			must.Eq(t, tc.want, l.Changes(o))
			l.Apply(tc.want)
			must.SliceEmpty(t, l.Changes(o))
		})
	}
}

// TestLedgerNamesAllVersions guards against a version that began streams and that the ledger rules out: versions
// come and go, and entry VMs that keep the ledger are killed, start and write with old views, in any order. Each
// of them writes before any stream begins at what it has listed.
func TestLedgerNamesAllVersions(t *testing.T) {
	const window = 30 * clock.Second
	g := VersionsOf("llm")
	rapid.Check(t, func(t *rapid.T) {
		type keeper struct {
			since clock.Millis
			seen  map[Name]clock.Millis
		}
		var store []Entry
		listed := map[Name]bool{"v1": true}
		// usable is when a version could last begin a stream, at a keeper that has listed it.
		usable := map[Name]clock.Millis{}
		var keepers [2]keeper
		now := clock.Hour
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(1, 9000).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "release") {
				v := rapid.SampledFrom([]Name{"v1", "v2", "v3"}).Draw(t, "version")
				listed[v] = !listed[v]
			}
			for i := range keepers {
				k := &keepers[i]
				if rapid.IntRange(0, 9).Draw(t, "killed") == 0 {
					*k = keeper{}
					continue
				}
				if k.seen == nil {
					*k = keeper{since: now, seen: map[Name]clock.Millis{}}
				}
				var members []Name
				for v, is := range listed {
					if is {
						k.seen[v] = now
						usable[v] = now
					}
				}
				for v, at := range k.seen {
					if at >= now-window {
						members = append(members, v)
					}
				}
				slices.Sort(members)
				var l Ledger
				l.Load(store)
				l.Apply(l.Changes(Observed{Members: map[Group][]Name{g: members}, Whole: k.since <= now-window}))
				store = l.Entries()
			}
			var l Ledger
			l.Load(store)
			for v, at := range usable {
				_, has := l.entries[membership{g, v}]
				must.True(t, !l.Whole() || at < now-window || has)
			}
		}
	})
}
