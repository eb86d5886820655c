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

// echo starts a server that sends back what it gets.
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

// answer sends a byte and waits for it to come back.
func answer(conn net.Conn, within time.Duration) error {
	if _, err := conn.Write([]byte{7}); err != nil {
		return err
	}
	if err := conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestRelayHarmsConnections(t *testing.T) {
	const short = 100 * time.Millisecond
	for _, tc := range []struct {
		name  string
		harm  func(*Relay)
		want  error
		after func(*Relay)
		// later is the answer to the same connection once harm has ended.
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
			must.NoError(t, answer(conn, time.Second))
			tc.harm(r)
			must.True(t, alike(tc.want, answer(conn, short)))
			tc.after(r)
			time.Sleep(3 * short)
			must.True(t, alike(tc.later, answer(conn, time.Second)))
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
		err = answer(conn, time.Second)
	}
	// The reset may come before the dial returns or after it.
	must.Error(t, err)
	r.Refuse(false)
	conn, err = net.Dial("tcp4", r.Address())
	must.NoError(t, err)
	must.NoError(t, answer(conn, time.Second))
}

// alike reports whether got is a failure of the kind wanted.
func alike(want, got error) bool {
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
