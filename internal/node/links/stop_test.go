package links

import (
	"context"
	"net"
	"testing"
	"time"

	"mangostile/internal/core/peer"
	"mangostile/internal/fake/mute"

	"github.com/shoenig/test/must"
)

// TestRunEndsDuringADial guards against a process that outlasts its stop, and is killed, because
// it waits for a connection to another entry VM that is gone.
func TestRunEndsDuringADial(t *testing.T) {
	gone, err := mute.Listen()
	must.NoError(t, err)
	t.Cleanup(gone.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := New(Options{Self: "entry-1"})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx, listener) }()
	for !l.Send("entry-2", gone.Address, &peer.ConfigRequest{}) {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	canceled := time.Now()
	cancel()
	must.NoError(t, <-ended)
	must.Less(t, 200*time.Millisecond, time.Since(canceled))
}
