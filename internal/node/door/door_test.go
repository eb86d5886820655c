package door

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/quota"

	"github.com/shoenig/test/must"
)

// TestWhoGivesWay answers clients that hold what others need: who is late, shares its address with many
// and holds much goes first, and nobody goes whom the process or a backend server keeps waiting.
func TestWhoGivesWay(t *testing.T) {
	const s = clock.Second
	stalled := state{phase: phaseSends, lasted: 9 * s, silent: 9 * s, moved: 100, held: 1000}
	for _, tc := range []struct {
		name           string
		first, second  state
		shared, others int
		reason         string
	}{
		{"a stalled client before a new one", stalled, state{phase: phaseSends, lasted: 100}, 1, 1, ReasonConns},
		{"a stalled client before one that is served", stalled, state{phase: phaseServed, lasted: 99 * s, held: 9000}, 1, 1, ReasonMemory},
		{"a byte at a time before a long body at a fair pace", state{phase: phaseSends, lasted: 9 * s, silent: 10, moved: 90, held: 90}, state{phase: phaseSends, lasted: 20 * s, silent: 10, moved: 8 << 20, held: 8 << 20}, 1, 1, ReasonMemory},
		{"who does not read before who waits between requests", state{phase: phaseReads, lasted: 2 * s, held: 1}, state{phase: phaseIdle, lasted: 12 * s}, 1, 1, ReasonConns},
		{"who stopped in a long body before who goes on", state{phase: phaseSends, lasted: 5 * s, silent: 4 * s, moved: 1 << 20}, state{phase: phaseSends, lasted: 5 * s, silent: 10, moved: 1 << 20}, 1, 1, ReasonConns},
		{"the largest", state{phase: phaseSends, lasted: 5 * s, held: 1 << 20}, stalled, 1, 1, ReasonMemory},
		{"of an address with many", stalled, stalled, 30, 1, ReasonConns},
		{"who does not read, for an answer", state{phase: phaseReads, lasted: 2 * s, held: 1}, stalled, 1, 1, ReasonUnread},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := &Door{Limits: Limits{Patience: s}}
			must.Greater(t, d.weight(tc.second, tc.others, tc.reason), d.weight(tc.first, tc.shared, tc.reason))
		})
	}
	d := &Door{Limits: Limits{Patience: s}, Talks: true}
	must.Zero(t, d.weight(state{phase: phaseSends, lasted: clock.Hour, silent: 500, moved: 1000}, 1, ReasonConns), must.Sprint("an entry VM that talks"))
}

// TestShare checks that what a crowd may take leaves descriptors for backend servers and the store, on the
// smallest and the largest machines.
func TestShare(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		descriptors, memoryMB int
		want                  Share
	}{
		{"small", 3075, 144, Share{Callers: 1228, Peers: 359, Inner: 64}},
		{"large", 8192, 536, Share{Callers: 3996, Peers: 999, Inner: 64}},
		{"no limit of memory", 1024, 0, Share{Callers: 412, Peers: 103, Inner: 24}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := NewShare(tc.descriptors, tc.memoryMB)
			must.Eq(t, tc.want, got)
			must.Less(t, (tc.descriptors-otherDescriptors)*7/8, got.Callers+got.Peers+2*got.Inner)
		})
	}
}

// listen returns a Listener with a door, and a function that connects to it.
func listen(t *testing.T, d *Door) (l *Listener, connect func() net.Conn) {
	t.Helper()
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = tcp.Close() })
	return &Listener{Listener: tcp, Door: d}, func() net.Conn {
		client, err := net.Dial("tcp4", tcp.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		return client
	}
}

// TestRoomIsMadeForNewClients guards against callers that can't connect since others hold all connections
// and send nothing.
func TestRoomIsMadeForNewClients(t *testing.T) {
	now := clock.NewManual(clock.Hour)
	closed := map[string]int{}
	d := &Door{Limits: Limits{Conns: 2, Patience: clock.Second}, Clock: now, OnClosed: func(reason string) { closed[reason]++ }}
	l, connect := listen(t, d)
	silent := connect()
	_, err := l.Accept()
	must.NoError(t, err)
	connect()
	served, err := l.Accept()
	must.NoError(t, err)
	served.(*Conn).Serving()
	now.Advance(2 * clock.Second)
	connect()
	_, err = l.Accept()
	must.NoError(t, err)
	must.Eq(t, map[string]int{ReasonConns: 1}, closed)
	must.Eq(t, 2, d.Count())
	_ = silent.SetReadDeadline(time.Now().Add(time.Second))
	_, err = silent.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

// TestLongHeadsAreHeld checks that the many fields and elements of a head count, that a client is told at once that
// nothing has run if there is no room for them, and that the end of the answer gives all back.
func TestLongHeadsAreHeld(t *testing.T) {
	pool := &quota.Pool{Limit: 4 << 20}
	d := &Door{Limits: Limits{Patience: clock.Second}, Memory: pool, Owner: "callers"}
	l, connect := listen(t, d)
	read := func(fields string) (client net.Conn, c *Conn, err error) {
		client = connect()
		conn, err := l.Accept()
		must.NoError(t, err)
		go func() { _, _ = io.WriteString(client, "GET / HTTP/1.1\r\n"+fields+"\r\n") }()
		c = conn.(*Conn)
		for buf := make([]byte, 4096); err == nil && !c.headOver; {
			_, err = c.Read(buf)
		}
		return client, c, err
	}
	_, _, err := read(strings.Repeat("a:\r\n", 10))
	must.NoError(t, err)
	must.Zero(t, pool.Used(), must.Sprint("an ordinary head"))
	_, list, err := read(strings.Repeat(",", 3000) + "\r\n")
	must.NoError(t, err)
	must.Eq(t, HeadMemory(16+3000+4, 3, 3000), pool.Used())
	list.Answered()
	must.Zero(t, pool.Used())
	_, c, err := read(strings.Repeat("a:\r\n", 2000))
	must.NoError(t, err)
	must.Eq(t, HeadMemory(16+8000+2, 2002, 0), pool.Used())
	client, _, err := read(strings.Repeat("a:\r\n", 12000))
	must.Error(t, err)
	answer := make([]byte, 12)
	_, err = io.ReadFull(client, answer)
	must.NoError(t, err)
	must.Eq(t, "HTTP/1.1 503", string(answer))
	c.Answered()
	must.NoError(t, c.Close())
	must.Zero(t, pool.Used())
}
