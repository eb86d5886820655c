// Package port keeps the addresses of stand-ins that are down, so that no other process gets them
// meanwhile and answers in their place.
package port

import (
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Reservation holds an address on which nobody listens: connections to it are refused. The zero
// value holds none.
type Reservation struct {
	fd   int
	held bool
}

// Reserve holds an IPv4 address on which nothing listens any more. If it fails, r holds none.
func (r *Reservation) Reserve(address string) error {
	addr, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return errors.Wrap(err, "reserve")
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return errors.Wrap(err, "reserve")
	}
	local := &unix.SockaddrInet4{Port: addr.Port}
	copy(local.Addr[:], addr.IP.To4())
	// Closed connections of the stand-in may still hold the port. Without the option afterwards,
	// no listener of another process can share it.
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err == nil {
		err = unix.Bind(fd, local)
	}
	if err == nil {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 0)
	}
	if err != nil {
		_ = unix.Close(fd)
		return errors.Wrap(err, "reserve")
	}
	r.Release()
	r.fd, r.held = fd, true
	return nil
}

// Release gives the address free. It does nothing if r holds none.
func (r *Reservation) Release() {
	if r.held {
		_ = unix.Close(r.fd)
		r.held = false
	}
}
