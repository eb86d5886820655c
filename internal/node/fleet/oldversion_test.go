package fleet

import (
	"net"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestQueuedRequestLeavesAnOldVersion guards against a request that begins on an old version of its adapter
// after the bound, since it waited at a busy backend server: it was sent in time and never looked at again.
func TestQueuedRequestLeavesAnOldVersion(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	n := New(Options{Settings: Settings{ID: "vm0", Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: answeringSystem{}})
	a := newAttempt(t, n, &topo.Route{Kind: topo.KindStream, Resumable: true, MaxAttempts: 2}, listener.Addr().String())
	a.to.BeginBy = n.clock.Now() + 100
	began := time.Now()
	end, over := a.runCounted()
	must.Less(t, 2*time.Second, time.Since(began))
	must.Eq(t, choose.EndCanceled, end)
	must.False(t, over)
	must.True(t, a.mayHaveRun)
	must.Eq(t, errOldVersion.Error(), a.reason)
}

// TestVersionCountsFromWhenItMayHaveBeenNamed guards against old versions that are used too long by an entry VM
// that learned late of a new one, as while its region has no placer.
func TestVersionCountsFromWhenItMayHaveBeenNamed(t *testing.T) {
	time := clock.NewManual(clock.Hour)
	n := New(Options{Settings: Settings{ID: "vm0", Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: &listLog{}, Clock: time})
	f := &n.configFeed
	must.Eq(t, time.Now(), n.unreadSince(f))
	read := func() {
		must.True(t, f.accept(&storeRead{update: &FeedUpdate{Full: true}, at: time.Now(), bootAt: time.BootNow()}))
	}
	read()
	last := time.Now()
	time.Advance(1700)
	must.Eq(t, last, n.unreadSince(f))
	read()
	must.Eq(t, time.Now(), n.unreadSince(f))
	time.Advance(clock.Hour)
	must.Eq(t, time.Now()-maxUnread, n.unreadSince(f))
}

// TestVersionNamedAfterTheSendEndsTheWait guards against a request that begins on an old version of its
// adapter after the bound, since it was sent before the newer ones were named and waited at a busy backend
// server.
func TestVersionNamedAfterTheSendEndsTheWait(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	const limit = 500 * clock.Millis(1)
	n := New(Options{Settings: Settings{ID: "vm0", Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}, Choose: choose.Policy{VersionLimit: limit}}, System: answeringSystem{}})
	a := newAttempt(t, n, &topo.Route{Kind: topo.KindStream, Resumable: true, MaxAttempts: 2}, listener.Addr().String())
	a.req.Adapter, a.to.Revision = "m/a", 1
	began := n.clock.Now()
	for i, wait := range []clock.Millis{limit / 2, limit} {
		time.AfterFunc(wait.Duration(), func() {
			n.withCore(func(core *choose.Core) { core.Announce(began+wait, "m/a", topo.AdapterRevision(2+i)) })
		})
	}
	end, _ := a.runCounted()
	must.Eq(t, choose.EndCanceled, end)
	must.Eq(t, errOldVersion.Error(), a.reason)
	must.Less(t, limit/2+limit, n.clock.Now()-began)
}
