package call

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPeerClosed guards against a close that stays unnoticed behind bytes that nobody reads.
func TestPeerClosed(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(t *testing.T, peer *net.TCPConn)
		want bool
	}{
		{"open", func(*testing.T, *net.TCPConn) {}, false},
		{"bytes", func(t *testing.T, peer *net.TCPConn) { write(t, peer) }, false},
		{"closed", func(t *testing.T, peer *net.TCPConn) { must.NoError(t, peer.Close()) }, true},
		{"closed behind bytes", func(t *testing.T, peer *net.TCPConn) {
			write(t, peer)
			must.NoError(t, peer.Close())
		}, true},
		{"reset behind bytes", func(t *testing.T, peer *net.TCPConn) {
			write(t, peer)
			must.NoError(t, peer.SetLinger(0))
			must.NoError(t, peer.Close())
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			peer, err := net.Dial("tcp4", listener.Addr().String())
			must.NoError(t, err)
			t.Cleanup(func() { _ = peer.Close() })
			conn, err := listener.Accept()
			must.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			tc.do(t, peer.(*net.TCPConn))
			time.Sleep(20 * time.Millisecond)
			must.Eq(t, tc.want, PeerClosed(conn))
		})
	}
}

func write(t *testing.T, peer net.Conn) {
	t.Helper()
	_, err := io.WriteString(peer, "GET")
	must.NoError(t, err)
}
