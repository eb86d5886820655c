package call

import (
	"net"

	"mangostile/internal/base/clock"

	"golang.org/x/sys/unix"
)

// Silence returns the time since the last segment of a TCP connection's peer arrived, which for a
// peer that has closed is the time since its close. It is 0 if the kernel doesn't tell.
func Silence(conn net.Conn) clock.Millis {
	return clock.Millis(tcpInfo(conn).Last_ack_recv)
}

// Waited returns how long ago the last bytes of a TCP connection's peer arrived, which for a
// request that was just read is how long it waited to be read. It is 0 if the kernel doesn't tell.
func Waited(conn net.Conn) clock.Millis {
	return clock.Millis(tcpInfo(conn).Last_data_recv)
}

// WasReset reports whether a TCP connection that was not closed here was reset by its peer, also if another
// call has returned that error already and reads find a usual end. It is false if the kernel doesn't tell.
func WasReset(conn net.Conn) bool { return tcpInfo(conn).State == tcpClosed }

// tcpClosed is the kernel's state of a socket without a connection, TCP_CLOSE.
const tcpClosed = 7

// Unsent returns the number of bytes written to a TCP connection that were not sent yet, because
// the link or the peer is slow. It is 0 if the kernel doesn't tell.
func Unsent(conn *net.TCPConn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	unsent := 0
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQNSD); err == nil {
			unsent = n
		}
	})
	return unsent
}

// tcpInfo returns what the kernel knows of a TCP connection; the zero value if it doesn't tell.
func tcpInfo(conn net.Conn) unix.TCPInfo {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return unix.TCPInfo{}
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return unix.TCPInfo{}
	}
	var info unix.TCPInfo
	_ = raw.Control(func(fd uintptr) {
		if told, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = *told
		}
	})
	return info
}
