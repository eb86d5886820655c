package call

import (
	"net"

	"mangostile/internal/base/clock"

	"golang.org/x/sys/unix"
)

// Silence returns the time since the last segment of a TCP connection's peer arrived, which for a
// peer that has closed is the time since its close. It is 0 if the kernel doesn't tell.
func Silence(conn net.Conn) clock.Millis {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var silence clock.Millis
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			silence = clock.Millis(info.Last_ack_recv)
		}
	})
	return silence
}
