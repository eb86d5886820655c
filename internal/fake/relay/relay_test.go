package relay

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// echo starts a server that sends back what it receives.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// roundTrip sends a byte and waits for it to come back, up to a timeout.
func roundTrip(conn net.Conn, timeout time.Duration) error {
	if _, err := conn.Write([]byte{7}); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

// TestRelayHarmsConnections checks that each fault affects an open connection, and that the
// connection works again after the fault unless it was reset.
func TestRelayHarmsConnections(t *testing.T) {
	const short = 100 * time.Millisecond
	for _, tc := range []struct {
		name   string
		inject func(*Relay)
		want   error
		heal   func(*Relay)
		// later is the error of the same connection after the fault.
		later error
	}{
		{"nothing", func(*Relay) {}, nil, func(*Relay) {}, nil},
		{"cut out", func(r *Relay) { r.Cut(true, false) }, syscall.ETIMEDOUT, func(r *Relay) { r.Cut(false, false) }, nil},
		{"cut back", func(r *Relay) { r.Cut(false, true) }, syscall.ETIMEDOUT, func(r *Relay) { r.Cut(false, false) }, nil},
		{"delay", func(r *Relay) { r.Delay(3 * short) }, syscall.ETIMEDOUT, func(r *Relay) { r.Delay(0) }, nil},
		{"reset", func(r *Relay) { r.Reset() }, syscall.ECONNRESET, func(*Relay) {}, syscall.ECONNRESET},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, err := New(echo(t), 0)
			must.NoError(t, err)
			defer r.Close()
			conn, err := net.Dial("tcp4", r.Address())
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			must.NoError(t, roundTrip(conn, time.Second))
			tc.inject(r)
			must.True(t, sameKind(tc.want, roundTrip(conn, short)))
			tc.heal(r)
			time.Sleep(3 * short)
			must.True(t, sameKind(tc.later, roundTrip(conn, time.Second)))
		})
	}
}

func TestRelayRefuses(t *testing.T) {
	r, err := New(echo(t), 0)
	must.NoError(t, err)
	defer r.Close()
	r.Refuse(true)
	conn, err := net.Dial("tcp4", r.Address())
	if err == nil {
		err = roundTrip(conn, time.Second)
	}
	// The reset can arrive before or after the dial returns.
	must.Error(t, err)
	r.Refuse(false)
	conn, err = net.Dial("tcp4", r.Address())
	must.NoError(t, err)
	must.NoError(t, roundTrip(conn, time.Second))
}

// sameKind reports whether got is an error of the same kind as want.
func sameKind(want, got error) bool {
	var timeout net.Error
	switch {
	case want == nil:
		return got == nil
	case want == syscall.ETIMEDOUT:
		return errors.As(got, &timeout) && timeout.Timeout()
	default:
		return got != nil && !(errors.As(got, &timeout) && timeout.Timeout())
	}
}
