package call

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds after which a connection whose other side has gone silent ends.
const (
	// UserTimeout is how long bytes may stay unacknowledged.
	UserTimeout = 2 * time.Second
	// keepAliveIdle, keepAlivePeriod and keepAliveCount find a silent side of a
	// connection on which nothing is under way.
	keepAliveIdle   = 2 * time.Second
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
)

// Dial opens a TCP connection that ends by itself once the other side is silent.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: control}
	return dialer.Dial("tcp4", address)
}

// KeepAlive returns the settings for connections that are dialed or accepted.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveCount}
}

// control bounds the time that sent bytes stay unacknowledged.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}

// ListenConfig accepts connections that end by themselves once the other side is
// silent.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: control}
}
