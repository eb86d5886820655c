package edge

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// BenchmarkConnClosed measures one check of one open connection.
func BenchmarkConnClosed(b *testing.B) {
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
		if connClosed(accepted) {
			b.Fatal("an open connection counts as closed")
		}
	}
}
