package links

import (
	"context"
	"net"
	"testing"

	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// TestSendWhileRunStarts guards against a sender that is started before Run's own goroutines: the
// race detector reports that Run waits for a group which it has not entered first.
func TestSendWhileRunStarts(t *testing.T) {
	for range 200 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		l := New(Options{Self: "entry-1"})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for !l.Send("entry-2", "127.0.0.1:1", &peer.ConfigRequest{}) {
				continue
			}
		}()
		go func() { ended <- l.Run(ctx, listener) }()
		<-sent
		cancel()
		must.NoError(t, <-ended)
	}
}
