package links

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// failingListener fails the first accepts, as if the process had no descriptor left.
type failingListener struct {
	net.Listener
	failures atomic.Int32
}

// Accept implements net.Listener.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestFailedAcceptsDoNotEndLinks guards against an entry VM whose process ends because it
// could not accept a connection for a moment.
func TestFailedAcceptsDoNotEndLinks(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener := &failingListener{Listener: inner}
	listener.failures.Store(3)
	received := make(chan event.PeerReceived, 1)
	to := New(Options{Self: "to", Deliver: func(ev event.PeerReceived) bool {
		received <- ev
		return true
	}})
	from := New(Options{Self: "from"})
	own, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ended := make(chan error, 2)
	go func() { ended <- to.Run(ctx, listener) }()
	go func() { ended <- from.Run(ctx, own) }()
	for !from.Send("to", inner.Addr().String(), &peer.UsageReport{Shard: "r", Address: "a"}) {
		time.Sleep(time.Millisecond)
	}
	select {
	case ev := <-received:
		must.Eq(t, "from", string(ev.From))
	case err := <-ended:
		t.Fatalf("links ended: %v", err)
	case <-time.After(5 * time.Second):
		t.Fatal("the message did not arrive")
	}
	cancel()
	must.NoError(t, <-ended)
	must.NoError(t, <-ended)
}
