package call

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeerClosed reports whether the peer of a connection has closed it, also behind bytes that were
// not read yet, without reading and without blocking. A connection that was closed locally
// counts as closed, one without a socket never does.
func PeerClosed(conn net.Conn) bool {
	switch Peek(conn) {
	case Idle:
		return false
	case Closed:
		return true
	default:
		return closedBehindBytes(conn)
	}
}

func closedBehindBytes(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}
