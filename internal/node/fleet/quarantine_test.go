package fleet

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/node/links"

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

// TestReportedCrashIsAnswered guards against an entry VM that does not learn that answers began on
// the keys of a crash that it reports, because nothing was sent to it before.
func TestReportedCrashIsAnswered(t *testing.T) {
	const sound = blame.Key(5)
	received := make(chan event.PeerReceived, 1)
	reporter := links.New(links.Options{Self: "vm1", Deliver: func(ev event.PeerReceived) bool {
		received <- ev
		return true
	}})
	n := New(Options{Settings: Settings{ID: "vm0", PeerAddress: "127.0.0.1:1"}})
	runLinks(t, n.links)
	address := runLinks(t, reporter)
	for i := range 50 * gossipFanout {
		// News reach the reporter by chance hardly ever.
		n.heardOf(peer.Member{ID: units.EntryVMID(fmt.Sprint("other", i)), Address: "127.0.0.1:1"})
	}
	n.quarantine.registry.Began(n.clock.BootNow(), blame.Request{Parts: []blame.Key{sound}})
	crash := blame.Crash{Server: "s1", Requests: []blame.Request{{Parts: []blame.Key{sound}}}}
	n.handleCrashNews("vm1", &peer.CrashNews{News: blame.News{Crashes: []blame.Crash{crash}}, Address: address})
	select {
	case ev := <-received:
		must.Eq(t, sound, ev.Message.(*peer.CrashNews).Begun[0].Key)
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was sent back")
	}
}

// runLinks runs links until the test ends, and returns their address.
func runLinks(t *testing.T, l *links.Links) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx, listener) }()
	// Messages are dropped until the links run.
	for !l.Send("nobody", "127.0.0.1:1", &peer.CrashNews{Address: "127.0.0.1:1"}) {
		time.Sleep(time.Millisecond)
	}
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return listener.Addr().String()
}
