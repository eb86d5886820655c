// Package mute provides an address that answers no connection attempt.
package mute

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// fillTimeout is the time after which a connection attempt counts as not answered.
const fillTimeout = 100 * time.Millisecond

// maxConns is more than the kernel queues on a listener without a backlog.
const maxConns = 16

// Listener is a TCP listener whose backlog is full, so that further connection attempts get
// no answer.
type Listener struct {
	// Address is the listener's address.
	Address string
	fd      int
	conns   []net.Conn
}

// Listen opens a Listener on loopback.
func Listen() (*Listener, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	l := &Listener{fd: fd}
	if err := l.fill(); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// fill opens connections until one is not answered.
func (l *Listener) fill() error {
	if err := unix.Bind(l.fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return errors.Wrap(err, "bind")
	}
	if err := unix.Listen(l.fd, 0); err != nil {
		return errors.Wrap(err, "listen")
	}
	name, err := unix.Getsockname(l.fd)
	if err != nil {
		return errors.Wrap(err, "read address")
	}
	bound := name.(*unix.SockaddrInet4)
	l.Address = (&net.TCPAddr{IP: bound.Addr[:], Port: bound.Port}).String()
	for range maxConns {
		conn, err := net.DialTimeout("tcp4", l.Address, fillTimeout)
		if err != nil {
			return nil
		}
		l.conns = append(l.conns, conn)
	}
	return errors.New("the backlog does not fill")
}

// Close closes the listener and the connections in its backlog.
func (l *Listener) Close() {
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	_ = unix.Close(l.fd)
}
