package fleet

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/plat/call"

	"github.com/shoenig/test/must"
)

// callerPair returns a caller's end of a connection and the entry VM's.
func callerPair(t *testing.T, open *callers) (net.Conn, *callerConn) {
	t.Helper()
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	l := &callerListener{Listener: tcp, callers: open}
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp4", tcp.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })
	conn, err := l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return caller, conn.(*callerConn)
}

// TestOnlyIdleConnectionsAreClosed guards against a stop that closes a connection on which a
// request, or a part of one, was received.
func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	write := func(t *testing.T, caller net.Conn, text string) {
		_, err := io.WriteString(caller, text)
		must.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	read := func(t *testing.T, c *callerConn) {
		_, err := c.Read(make([]byte, 2))
		must.NoError(t, err)
	}
	for _, tc := range []struct {
		name string
		do   func(t *testing.T, caller net.Conn, c *callerConn)
		// age is the time since the connection was accepted.
		age        clock.Millis
		busy, open bool
	}{
		{"new", func(*testing.T, net.Conn, *callerConn) {}, 0, false, true},
		{"without a request for long", func(*testing.T, net.Conn, *callerConn) {}, clock.Second, false, false},
		{"bytes not read yet", func(t *testing.T, caller net.Conn, _ *callerConn) { write(t, caller, "GET") }, clock.Second, true, true},
		{"a part was read", func(t *testing.T, caller net.Conn, c *callerConn) {
			write(t, caller, "GE")
			read(t, c)
		}, clock.Second, true, true},
		{"answered", func(t *testing.T, caller net.Conn, c *callerConn) {
			write(t, caller, "GE")
			read(t, c)
			c.endAnswer()
		}, 0, false, false},
		{"answered, and the first byte of the next one was read", func(t *testing.T, caller net.Conn, c *callerConn) {
			write(t, caller, "GE")
			read(t, c)
			c.endRequest()
			write(t, caller, "G")
			read(t, c)
			c.endAnswer()
		}, 0, true, true},
		{"answered, and the next one was received", func(t *testing.T, caller net.Conn, c *callerConn) {
			write(t, caller, "GEGE")
			read(t, c)
			c.endAnswer()
		}, 0, true, true},
		{"the caller has left", func(t *testing.T, caller net.Conn, _ *callerConn) {
			must.NoError(t, caller.Close())
			time.Sleep(20 * time.Millisecond)
		}, clock.Second, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var open callers
			caller, c := callerPair(t, &open)
			tc.do(t, caller, c)
			must.Eq(t, tc.busy, c.closeIdle(c.acceptedAt+tc.age))
			must.Eq(t, !tc.open, c.closed.Load())
			want := 0
			if tc.open {
				want = 1
			}
			must.Eq(t, want, open.count())
		})
	}
}

// TestNothingIsReadFromAClosedConnection guards against requests that are read from a connection
// while it is closed as idle, and cut off. A byte that arrives after the decision must stay unread.
func TestNothingIsReadFromAClosedConnection(t *testing.T) {
	var open callers
	caller, c := callerPair(t, &open)
	c.mu.Lock()
	_, err := io.WriteString(caller, "G")
	must.NoError(t, err)
	type result struct {
		n   int
		err error
	}
	read := make(chan result, 1)
	go func() {
		n, err := c.Read(make([]byte, 1))
		read <- result{n, err}
	}()
	time.Sleep(20 * time.Millisecond)
	c.closed.Store(true)
	c.mu.Unlock()
	got := <-read
	must.Zero(t, got.n)
	must.ErrorIs(t, got.err, net.ErrClosed)
	must.Eq(t, call.Pending, call.Peek(c.Conn))
}

// TestCallerLeftBehindBytes guards against requests that are sent for a caller that has closed its
// connection with bytes behind its request.
func TestCallerLeftBehindBytes(t *testing.T) {
	caller, c := callerPair(t, new(callers))
	_, err := io.WriteString(caller, "GET")
	must.NoError(t, err)
	must.False(t, c.left())
	must.NoError(t, caller.Close())
	time.Sleep(20 * time.Millisecond)
	must.True(t, c.left())
}

// servePipelined serves callers and returns a connection and a reader of its answers. The handler
// sends the path of each request on entered and waits for a value of release.
func servePipelined(t *testing.T, open *callers) (conn net.Conn, answers *bufio.Reader, entered chan string, release chan bool) {
	t.Helper()
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	entered, release = make(chan string, 2), make(chan bool, 2)
	s := new(Node).frontServer()
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		entered <- r.URL.Path
		<-release
		_, _ = io.WriteString(w, "ok")
	})
	go func() { _ = s.Serve(&callerListener{Listener: tcp, callers: open}) }()
	t.Cleanup(func() { _ = s.Close() })
	conn, err = net.Dial("tcp4", tcp.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return conn, bufio.NewReader(conn), entered, release
}

func readAnswer(t *testing.T, r *bufio.Reader) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	must.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	must.NoError(t, err)
}

// TestPipelinedRequestKeepsItsConnection guards against a stop that closes the connection of a
// request in progress that was received together with the one before it.
func TestPipelinedRequestKeepsItsConnection(t *testing.T) {
	var open callers
	conn, answers, entered, release := servePipelined(t, &open)
	_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	must.NoError(t, err)
	release <- true
	readAnswer(t, answers)
	must.Eq(t, "/1", <-entered)
	must.Eq(t, "/2", <-entered)
	must.One(t, open.closeIdle(clock.Hour))
	release <- true
	readAnswer(t, answers)
}
