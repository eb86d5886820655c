package edge

import (
	"net"
	"testing"

	"mangostile/internal/plat/call"

	"github.com/shoenig/test/must"
)

// BenchmarkPeerClosed measures one check of one open connection.
func BenchmarkPeerClosed(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(b, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	must.NoError(b, err)
	defer func() { _ = accepted.Close() }()
	for b.Loop() {
		if call.PeerClosed(accepted) {
			b.Fatal("an open connection counts as closed")
		}
	}
}
