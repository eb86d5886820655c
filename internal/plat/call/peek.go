package call

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// State is what a read from a connection would find now.
type State uint8

// States of a connection.
const (
	// Idle means that nothing was received that was not read.
	Idle State = iota
	// Pending means that bytes wait to be read.
	Pending
	// Closed means that the peer has closed or reset the connection.
	Closed
)

// Peek returns the state of a TCP connection without reading from it. It may be called while
// another goroutine reads. A connection without a socket counts as Idle.
func Peek(conn net.Conn) State {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// Control, unlike Read, does not wait for a read that is blocked on the connection.
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Pending
		case errors.Is(recvErr, unix.EAGAIN) || errors.Is(recvErr, unix.EINTR):
			state = Idle
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
