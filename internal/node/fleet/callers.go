package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"mangostile/internal/base/clock"
	"mangostile/internal/node/door"
	"mangostile/internal/plat/call"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// firstRequestTimeout is how long a stopping entry VM keeps a new connection on which nothing
// was received. It exceeds the time from a caller's connect to its first byte.
const firstRequestTimeout = 500 * clock.Millis(1)

// callerConn is a connection of a caller. Reading from its socket and closing it as idle
// exclude each other: no request is read once closeIdle has decided, and none that was
// received before is cut off.
type callerConn struct {
	net.Conn
	raw     syscall.RawConn
	callers *callers
	// door counts what the caller holds; nil if nothing does.
	door       *door.Conn
	acceptedAt clock.Millis
	closed     atomic.Bool

	// mu guards the fields below and each read from the socket.
	mu sync.Mutex
	// unanswered is true from the first byte of a request to the end of its answer.
	unanswered bool
	// complete is true once that request was read in full, ahead if bytes of the next one
	// were read after that: the HTTP server reads on while a request is served.
	complete, ahead bool
	// answered is true once a request was answered.
	answered bool
	// cancel ends the request that is being served; nil if there is none.
	cancel func()
}

// Read implements net.Conn.
func (c *callerConn) Read(buf []byte) (int, error) {
	var n int
	var readErr error
	err := c.raw.Read(func(fd uintptr) (done bool) {
		n, readErr = c.readSocket(int(fd), buf)
		return !errors.Is(readErr, unix.EAGAIN)
	})
	if err == nil {
		err = readErr
	}
	switch {
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0 && len(buf) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readSocket reads what the socket has received, without waiting.
func (c *callerConn) readSocket(fd int, buf []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	for {
		n, err := unix.Read(fd, buf)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		default:
			c.unanswered = c.unanswered || n > 0
			c.ahead = c.ahead || c.complete && n > 0
			return n, nil
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closed.Store(true)
	c.callers.remove(c)
	return c.Conn.Close()
}

// CloseWrite ends the answers, while what the caller still sends is read.
func (c *callerConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.Errorf("callers' connections: %T can't be closed half", c.Conn)
	}
	return tcp.CloseWrite()
}

// resetOnClose makes Close reset the connection.
func (c *callerConn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// left reports whether the caller has closed its end.
func (c *callerConn) left() bool { return call.PeerClosed(c.Conn) }

// onLeft sets the function that cancelIfLeft calls; nil removes it.
func (c *callerConn) onLeft(cancel func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// cancelIfLeft ends the request that is being served if the caller has disconnected.
func (c *callerConn) cancelIfLeft() {
	c.mu.Lock()
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil && c.left() {
		cancel()
	}
}

// silence returns the time since something of the caller arrived, its close included; 0 if it is
// unknown. c may be nil.
func (c *callerConn) silence() clock.Millis {
	if c == nil {
		return 0
	}
	return call.Silence(c.Conn)
}

// waited returns how long the request that was just read had waited for that; 0 if it is unknown.
// c may be nil.
func (c *callerConn) waited() clock.Millis {
	if c == nil {
		return 0
	}
	return call.Waited(c.Conn)
}

// beginRequest records that the head of a request was read.
func (c *callerConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = true
}

// endAnswer records that the request that was read last has its whole answer.
func (c *callerConn) endAnswer() {
	if c.door != nil {
		c.door.Answered()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered, c.complete, c.ahead, c.answered = c.ahead, false, false, true
}

// serving records that the caller is not waited for. c may be nil.
func (c *callerConn) serving() {
	if c != nil && c.door != nil {
		c.door.Serving()
	}
}

// endRequest records that the request was read in full.
func (c *callerConn) endRequest() {
	c.serving()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.complete = true
}

// busy reports whether a part of a request was received that is not answered. c.mu must be
// held.
func (c *callerConn) busy() bool {
	return c.unanswered || call.Peek(c.Conn) == call.Pending
}

// closeIdle closes the connection unless it is busy or new, and reports whether it is busy.
func (c *callerConn) closeIdle(now clock.Millis) (busy bool) {
	c.mu.Lock()
	busy = c.busy()
	isNew := !c.answered && now < c.acceptedAt+firstRequestTimeout
	if busy || isNew {
		c.mu.Unlock()
		return busy
	}
	c.closed.Store(true)
	// Close waits for reads in progress, which need mu.
	c.mu.Unlock()
	_ = c.Close()
	return false
}

// callers are the open connections of callers. The zero value is ready to use.
type callers struct {
	mu   sync.Mutex
	open map[*callerConn]bool
}

func (s *callers) add(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*callerConn]bool{}
	}
	s.open[c] = true
}

func (s *callers) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *callers) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *callers) list() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*callerConn, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	return list
}

// cancelLeft ends the requests that are being served whose callers have disconnected.
func (s *callers) cancelLeft() {
	for _, c := range s.list() {
		c.cancelIfLeft()
	}
}

// closeIdle closes the connections that are neither busy nor new, and returns the number of
// busy ones.
func (s *callers) closeIdle(now clock.Millis) (busy int) {
	for _, c := range s.list() {
		if c.closeIdle(now) {
			busy++
		}
	}
	return busy
}

// callerListener wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	callers *callers
	clock   clock.Clock
	// ended is true once Accept has found the listener closed: all connections accepted
	// before are in callers.
	ended atomic.Bool
}

// Accept implements net.Listener. It must not be called concurrently.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		l.ended.Store(errors.Is(err, net.ErrClosed))
		return nil, err
	}
	raw, err := rawConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c := &callerConn{Conn: conn, raw: raw, callers: l.callers, acceptedAt: l.clock.Now()}
	l.callers.add(c)
	return c, nil
}

// pending reports whether a connection waits to be accepted.
func (l *callerListener) pending() bool {
	raw, err := rawConn(l.Listener)
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// rawConn returns the socket of a connection or listener.
func rawConn(v any) (syscall.RawConn, error) {
	socket, ok := v.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("callers' connections: %T is no socket: listen for TCP", v)
	}
	return socket.SyscallConn()
}

// callerConnKey is the key of the callerConn in a request's context.
type callerConnKey struct{}

func (n *Node) frontServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(n.handle),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// Otherwise the server answers OPTIONS * with a success that no backend server gave.
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			caller := callerOf(c)
			if d, ok := c.(*door.Conn); ok && caller != nil {
				caller.door = d
			}
			return context.WithValue(ctx, callerConnKey{}, caller)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			c := callerOf(conn)
			switch {
			case c == nil:
			case state == http.StateActive:
				// A pipelined request is read from the server's buffer, not by Read.
				c.beginRequest()
			case state == http.StateIdle:
				// The whole answer was written.
				c.endAnswer()
			}
		},
	}
}
