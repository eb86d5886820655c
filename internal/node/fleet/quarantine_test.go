package fleet

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// TestDecisionsFromNewsAreSaved guards against verdicts that nobody saves for seconds, so that an
// entry VM that starts then lets harmful requests pass: it happened when each entry VM decided
// from the news of others.
func TestDecisionsFromNewsAreSaved(t *testing.T) {
	const harmful, told = blame.Key(13), blame.Key(14)
	n := New(Options{Settings: Settings{ID: "vm0"}})
	for i := range 3 {
		crash := blame.Crash{
			Server: units.BackendServerID(fmt.Sprint("s", i)), Age: clock.Millis(9-i) * clock.Second, Requests: []blame.Request{{Parts: []blame.Key{harmful}}},
		}
		n.handleCrashNews("vm1", &peer.CrashNews{News: blame.News{Crashes: []blame.Crash{crash}}, Address: "127.0.0.1:1"})
	}
	verdict := blame.Verdict{Key: told, Version: 1, Quarantined: true, Remaining: blame.Term}
	n.handleCrashNews("vm1", &peer.CrashNews{News: blame.News{Verdicts: []blame.Verdict{verdict}}, Address: "127.0.0.1:1"})
	queued := n.quarantine.stored.queued()
	must.Len(t, 1, queued)
	must.Eq(t, harmful, queued[0].Key)
	must.Len(t, 2, n.Verdicts())
}
