package port

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// TestReservedAddressIsRefusedAndNotTaken guards against requests to a stand-in that is down that
// are answered by a stand-in of another test process.
func TestReservedAddressIsRefusedAndNotTaken(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	conn, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	accepted, err := listener.Accept()
	must.NoError(t, err)
	must.NoError(t, accepted.Close())
	must.NoError(t, listener.Close())

	var r Reservation
	must.NoError(t, r.Reserve(address))
	_, err = net.DialTimeout("tcp4", address, time.Second)
	must.ErrorIs(t, err, unix.ECONNREFUSED)
	_, err = net.Listen("tcp4", address)
	must.ErrorIs(t, err, unix.EADDRINUSE)
	r.Release()
	r.Release()
	must.NoError(t, conn.Close())
	again, err := net.Listen("tcp4", address)
	must.NoError(t, err)
	must.NoError(t, again.Close())
}
