package fleet

import (
	"io"
	"net"
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
