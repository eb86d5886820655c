package fleet

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestEndNeedsQuietPolls guards against a stop that cuts off a request which arrived
// half a second earlier and was not read yet because the process was short of CPU time.
func TestEndNeedsQuietPolls(t *testing.T) {
	for _, tc := range []struct {
		name     string
		inFlight []int
		want     bool
	}{
		{"one poll without requests", []int{0}, false},
		{"some", []int{0, 0, 0, 0, 0}, false},
		{"enough", []int{0, 0, 0, 0, 0, 0}, true},
		{"a request between", []int{0, 0, 0, 1, 0, 0, 0, 0, 0}, false},
		{"and enough after it", []int{0, 1, 0, 0, 0, 0, 0, 0}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var idle idlePolls
			got := false
			for _, n := range tc.inFlight {
				got = idle.poll(n)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestAnswersHaveTimeAfterALateEnd guards against calls that are cut off instead of answered at the end of
// the grace period, since the process was short of processor time just then: it saw the end when the time
// for the answers was over, too, and ended.
func TestAnswersHaveTimeAfterALateEnd(t *testing.T) {
	for _, tc := range []struct {
		name string
		// polls are the times of the polls after the end of the grace period, missing the answers
		// that are missing at the last one.
		polls   []clock.Millis
		missing int
		want    bool
	}{
		{"the end is seen late", []clock.Millis{300}, 0, false},
		{"the next poll is late, too", []clock.Millis{300, 450}, 0, false},
		{"time is left", []clock.Millis{0, 5, 10, 15, 20, 25, 30, 95}, 0, false},
		{"the time is over", []clock.Millis{0, 5, 10, 15, 20, 25, 30, 100}, 0, true},
		{"the time is over after a late end", []clock.Millis{300, 305, 310, 315, 320, 325, 330, 400}, 0, true},
		{"an answer is missing", []clock.Millis{0, 5, 10, 15, 20, 25, 30, 100}, 1, false},
		{"an answer is missing, and the process must end", []clock.Millis{0, 5, 10, 15, 20, 25, 30, stopReserve - stopExitReserve}, 1, true},
		{"an answer is missing after a late end", []clock.Millis{300, 305, 310, 315, 320, 325, 330, 400}, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var a answerPeriod
			got := false
			for _, at := range tc.polls {
				got = a.poll(at, stopReserve-stopExitReserve-at, tc.missing)
			}
			must.Eq(t, tc.want, got)
		})
	}
}

// TestLateRequestsOfAStopAreRefused guards against requests that a stopping entry VM accepts and
// then cuts off at the end of its grace period: a stream of 50 tokens, accepted 3.4 s after the
// stop with 4.2 s left, waited 1.7 s at its backend server and got 2.5 s of tokens.
func TestLateRequestsOfAStopAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name    string
		kind    topo.Kind
		since   clock.Millis
		timeout clock.Millis
		started bool
		want    bool
	}{
		{"stream at once", topo.KindStream, 0, 15000, false, true},
		{"stream before the balancer has noticed", topo.KindStream, 2500, 15000, false, true},
		{"short stream later", topo.KindStream, 3370, 15000, false, false},
		{"stream at the end", topo.KindStream, 7500, 15000, false, false},
		{"stream in progress", topo.KindStream, 3370, 15000, true, true},
		{"call later", topo.KindOnce, 3370, 4000, false, true},
		{"call that may outlast the stop", topo.KindOnce, 3370, 4500, false, false},
		{"idempotent call that may outlast the stop", topo.KindIdempotent, 3370, 4500, false, false},
		{"call that could be cut off", topo.KindOnce, 7300, 800, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := stoppedNode(tc.since)
			c := &exchange{node: n, route: &topo.Route{Kind: tc.kind, Target: 800}, started: tc.started, req: choose.Request{Deadline: n.clock.Now() + tc.timeout}}
			must.Eq(t, tc.want, c.endsBeforeStop())
		})
	}
}

// stoppedNode returns an entry VM with a grace period of 8 s that was stopped since ms ago.
func stoppedNode(since clock.Millis) *Node {
	n := New(Options{Settings: Settings{ID: "vm0", Grace: 8 * clock.Second}, System: stampingSystem{}})
	n.stoppedAt.Store(int64(n.clock.Now() - since))
	return n
}

// TestNothingIsSentLateInAStop guards against requests that were accepted before a stop, or early
// in it, waited for their backend server, and are sent when they can't end in time any more.
func TestNothingIsSentLateInAStop(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	n := stoppedNode(5 * clock.Second)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/stream/x", nil)
	must.NoError(t, err)
	c := &exchange{node: n, r: request, route: &topo.Route{Kind: topo.KindStream}, req: choose.Request{Deadline: n.clock.Now() + 10*clock.Second}}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	a := attempt{exchange: c, ctx: ctx, to: choose.Send{Server: "e0", Address: listener.Addr().String()}}
	end, over := a.run()
	must.Eq(t, choose.EndCanceled, end)
	must.False(t, over)
	must.False(t, a.mayHaveRun)
	conn, err := listener.Accept()
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	received, _ := conn.Read(make([]byte, 1))
	must.Zero(t, received)
}

// TestWaitsEndWithTheSendWindow guards against requests that wait for their adapter until a stop
// leaves no time to send them, and are refused only then.
func TestWaitsEndWithTheSendWindow(t *testing.T) {
	n := stoppedNode(stopSendWindow)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/stream/x", nil)
	must.NoError(t, err)
	c := &exchange{node: n, r: request, route: &topo.Route{Kind: topo.KindStream}}
	time.AfterFunc(20*time.Millisecond, n.endSendWindow)
	began := time.Now()
	must.True(t, c.wait(t.Context(), choose.Wait{Until: n.clock.Now() + 5*clock.Second}))
	must.Less(t, 2*time.Second, time.Since(began))

	began = time.Now()
	must.True(t, c.wait(t.Context(), choose.Wait{Until: n.clock.Now() + 5*clock.Second}))
	must.Less(t, 2*time.Second, time.Since(began))

	// A call that ends in time goes on waiting.
	c.route = &topo.Route{Kind: topo.KindOnce}
	c.req.Deadline = n.clock.Now() + clock.Second
	began = time.Now()
	must.True(t, c.wait(t.Context(), choose.Wait{Until: n.clock.Now() + 100}))
	must.GreaterEq(t, 90*time.Millisecond, time.Since(began))
}
