package topo

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestReplacedAtIsTheFirstAnnouncement guards against old versions that come back into use when a further
// version is announced: each counts from the first version after it, in whatever order they become known.
func TestReplacedAtIsTheFirstAnnouncement(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var a Announcements
		type added struct {
			revision AdapterRevision
			at       clock.Millis
		}
		var all []added
		var forgotten clock.Millis
		for range rapid.IntRange(0, 12).Draw(t, "announcements") {
			next := added{AdapterRevision(rapid.IntRange(1, 8).Draw(t, "revision")), clock.Millis(rapid.IntRange(1, 50).Draw(t, "at"))}
			all = append(all, next)
			a.Add(next.revision, next.at)
			if rapid.IntRange(0, 3).Draw(t, "forget") == 0 {
				forgotten = max(forgotten, clock.Millis(rapid.IntRange(1, 50).Draw(t, "before")))
				a.Forget(forgotten)
			}
		}
		for revision := AdapterRevision(0); revision <= 9; revision++ {
			var want clock.Millis
			for _, v := range all {
				if v.revision > revision && (want == 0 || v.at < want) {
					want = v.at
				}
			}
			at, replaced := a.ReplacedAt(revision)
			must.Eq(t, want != 0, replaced)
			if want > forgotten {
				must.Eq(t, want, at)
			} else {
				must.LessEq(t, forgotten, at)
			}
		}
	})
}
