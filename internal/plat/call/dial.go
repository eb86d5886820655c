package call

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts after which a connection with an unresponsive peer is closed.
const (
	// UserTimeout is the maximum time that sent bytes may stay unacknowledged.
	UserTimeout = 2 * time.Second
	// keepAliveIdle, keepAlivePeriod and keepAliveCount detect an unresponsive peer on an
	// idle connection.
	keepAliveIdle   = 2 * time.Second
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
)

// Dial opens a TCP connection over IPv4 that is closed automatically if the peer becomes
// unresponsive.
func Dial(address string, timeout time.Duration) (net.Conn, error) {
	return DialContext(context.Background(), address, timeout)
}

// DialContext is like Dial, and gives up once ctx is done.
func DialContext(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: control}
	return dialer.DialContext(ctx, "tcp4", address)
}

// KeepAlive returns the keep-alive settings for dialed and accepted connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveCount}
}

// control sets UserTimeout on a socket.
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

// ListenConfig returns a configuration whose accepted connections are closed automatically
// if the peer becomes unresponsive.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: KeepAlive(), Control: control}
}
