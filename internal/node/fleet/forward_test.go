package fleet

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"
	"mangostile/internal/fake/mute"

	"github.com/shoenig/test/must"
)

// TestNothingIsSentAfterTheDeadline guards against requests that reach a backend server after
// their deadline since the process was stopped, or a dial took long, between the choice of
// the server and the send.
func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	n := New(Options{Settings: Settings{ID: "vm0"}})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/look/x", nil)
	must.NoError(t, err)
	c := &exchange{node: n, r: request, route: &topo.Route{Kind: topo.KindIdempotent}, req: choose.Request{Deadline: n.clock.Now() - clock.Second}}
	a := attempt{exchange: c, ctx: t.Context(), to: choose.Send{Server: "p0", Address: listener.Addr().String()}}
	end, over := a.run()
	must.Eq(t, choose.EndCanceled, end)
	must.False(t, over)
	must.False(t, a.mayHaveRun)
	conn, err := listener.Accept()
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	received, err := conn.Read(make([]byte, 1))
	must.Zero(t, received)
	must.Error(t, err)
}

// deadlineRecorder is a caller that takes every part of an answer at once.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

// SetWriteDeadline makes http.ResponseController accept deadlines.
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// stampingSystem takes every answer for a signed one to the request r1.
type stampingSystem struct{ System }

// WriteAttempt implements Headers.
func (stampingSystem) WriteAttempt(http.Header, AttemptHead) {}

// ReadAnswer implements Headers.
func (stampingSystem) ReadAnswer(int, http.Header) AnswerHead {
	return AnswerHead{ID: "r1", Stamped: true}
}

// serveBytes accepts one connection, reads a request's first bytes and writes head, then repeat
// until the connection is closed, and reports how much it wrote.
func serveBytes(t *testing.T, head, repeat string) (address string, written chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	written = make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4096))
		total, err := conn.Write([]byte(head))
		for err == nil {
			var n int
			n, err = conn.Write([]byte(repeat))
			total += n
		}
		written <- total
	}()
	return listener.Addr().String(), written
}

// TestAnswersWithoutEndAreGivenUp has a backend server send bytes without end that are no event
// of a stream, or no end of a body. Memory must stay bounded, the attempt must end as failed
// well before the deadline, and the caller must not be told that nothing ran.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	filler := strings.Repeat("x", 1024)
	for _, tc := range []struct {
		name string
		kind topo.Kind
		head string
	}{
		{"an event", topo.KindStream, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: "},
		{"an event after a good one", topo.KindStream, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: "},
		{"a body without length", topo.KindIdempotent, "HTTP/1.1 200 OK\r\n\r\n"},
		{"a body with a huge length", topo.KindIdempotent, "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, written := serveBytes(t, tc.head, filler)
			n := New(Options{Settings: Settings{ID: "vm0"}, System: stampingSystem{}})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil)
			must.NoError(t, err)
			c := &exchange{node: n, r: request, w: deadlineRecorder{httptest.NewRecorder()}, head: RequestHead{ID: "r1"}, route: &topo.Route{Kind: tc.kind}, req: choose.Request{Deadline: n.clock.Now() + 30*clock.Second}}
			a := attempt{exchange: c, ctx: t.Context(), to: choose.Send{Server: "s1", Address: address}}
			began := time.Now()
			end, over := a.run()
			must.NotEq(t, choose.EndServed, end)
			must.False(t, over)
			must.True(t, a.mayHaveRun)
			must.Less(t, 10*time.Second, time.Since(began))
			// The kernel's buffers hold some of what was sent and not read.
			must.Less(t, maxBufferedBytes+16<<20, <-written)
		})
	}
}

// TestStreamsThatEndWithTheirConnection guards against streams with neither a length nor chunks
// that broke off and reach the caller as complete.
func TestStreamsThatEndWithTheirConnection(t *testing.T) {
	for _, tc := range []struct {
		name    string
		body    string
		started bool
		want    choose.End
	}{
		{"after an event", "id: 1\ndata: a\n\n", false, choose.EndServed},
		{"inside an event", "id: 1\ndata: a\n\nid: 2\nda", false, choose.EndBroken},
		{"before the first event", "", false, choose.EndBroken},
		{"resumed, after an event", "id: 5\ndata: a\n\n", true, choose.EndServed},
		{"resumed, before the first event", "", true, choose.EndBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + tc.body))
				_ = conn.Close()
			}()
			n := New(Options{Settings: Settings{ID: "vm0"}, System: stampingSystem{}})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/x", nil)
			must.NoError(t, err)
			c := &exchange{
				node: n, r: request, w: deadlineRecorder{httptest.NewRecorder()}, head: RequestHead{ID: "r1"}, route: &topo.Route{Kind: topo.KindStream},
				req: choose.Request{Deadline: n.clock.Now() + 30*clock.Second}, started: tc.started,
			}
			a := attempt{exchange: c, ctx: t.Context(), to: choose.Send{Server: "s1", Address: listener.Addr().String()}}
			end, _ := a.run()
			must.Eq(t, tc.want, end)
		})
	}
}

// TestDialsEndWithTheGracePeriod guards against connections that a stopping entry VM closes without
// an answer because the connection to a backend server that is gone was being opened when the
// grace period ended.
func TestDialsEndWithTheGracePeriod(t *testing.T) {
	gone, err := mute.Listen()
	must.NoError(t, err)
	t.Cleanup(gone.Close)
	n := New(Options{Settings: Settings{ID: "vm0"}})
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/look/x", nil)
	must.NoError(t, err)
	c := &exchange{node: n, r: request, route: &topo.Route{Kind: topo.KindIdempotent}, req: choose.Request{Deadline: n.clock.Now() + clock.Second}}
	a := attempt{exchange: c, ctx: t.Context(), to: choose.Send{Server: "p0", Address: gone.Address}}
	time.AfterFunc(20*time.Millisecond, n.endGrace)
	began := time.Now()
	_, over := a.run()
	must.Less(t, stopAnswerTime.Duration(), time.Since(began))
	must.False(t, over)
	must.False(t, a.mayHaveRun)
}
