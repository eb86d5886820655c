package door

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/plat/call"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// writePart is the most that is written at once, in bytes, so that a slow client is told from one that
// reads nothing.
const writePart = 32 << 10

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	door    *Door
	address netip.Addr
	closed  atomic.Bool

	// mu guards the fields below.
	mu    sync.Mutex
	phase phase
	// since is when the phase began, movedAt when the client last sent or read something.
	since, movedAt clock.Millis
	moved          int64
	// received is the bytes of the request that was not answered, unread those of the answer.
	received, unread int64
	// headOver is true behind the empty line that ends a head; lines counts those of the head, elements
	// the commas in it, and tail has its last bytes.
	headOver        bool
	lines, elements int
	tail            byte
	// served is true while the process works on a request that was read whole.
	served bool
	head   headHold
}

// NetConn returns the connection underneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.door.Lingers && !c.closed.Load() && call.Peek(c.Conn) == call.Pending {
		c.linger()
	}
	return c.closeNow()
}

// closeNow closes the connection at once.
func (c *Conn) closeNow() error {
	if !c.closed.Swap(true) {
		c.door.remove(c)
		c.head.release()
	}
	return c.Conn.Close()
}

// linger reads a bounded part of what a client still sends, so that it reads its answer instead of a
// reset.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

func (c *Conn) state(now clock.Millis) state {
	c.mu.Lock()
	defer c.mu.Unlock()
	return state{phase: c.phase, lasted: now - c.since, silent: now - c.movedAt, moved: c.moved, held: c.received + c.unread}
}

// enter begins a phase unless it goes on. c.mu must be held.
func (c *Conn) enter(p phase) {
	if c.phase != p {
		now := c.door.Clock.Now()
		c.phase, c.since, c.movedAt, c.moved = p, now, now, 0
	}
}

// Serving tells that a request was read whole: what is read until Answered belongs to the next one.
func (c *Conn) Serving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = true
	c.enter(phaseServed)
}

// Answered tells that the answer was written whole.
func (c *Conn) Answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.served = false
	c.received, c.unread = 0, 0
	c.resetHead()
	c.head.release()
	c.enter(phaseIdle)
}

// Read implements net.Conn.
func (c *Conn) Read(buf []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(buf)
	if n > 0 {
		if full := c.noteRead(buf[:n]); full != nil {
			c.refuse()
			return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: full}
		}
	}
	return n, err
}

func (c *Conn) beginRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.served:
	case c.received == 0 && c.phase == phaseIdle:
	default:
		c.enter(phaseSends)
	}
}

// noteRead counts what was read, and holds memory for a long head.
func (c *Conn) noteRead(part []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.served {
		return nil
	}
	c.enter(phaseSends)
	c.received += int64(len(part))
	c.moved += int64(len(part))
	c.movedAt = c.door.Clock.Now()
	if c.headOver || c.door.Memory == nil {
		return nil
	}
	c.scanHead(part)
	if need := HeadMemory(int(c.received), c.lines, c.elements); need > freeHead {
		// Others may be asked to give way meanwhile, which looks at all connections.
		c.mu.Unlock()
		defer c.mu.Lock()
		return c.head.resize(need, &c.closed)
	}
	return nil
}

// resetHead makes the next bytes begin a head. c.mu must be held.
func (c *Conn) resetHead() { c.lines, c.elements, c.headOver = 0, 0, false }

// scanHead counts the lines and elements of a head and looks for its end. c.mu must be held.
func (c *Conn) scanHead(part []byte) {
	for len(part) > 0 {
		at := bytes.IndexByte(part, '\n')
		if at < 0 {
			c.elements += bytes.Count(part, comma)
			c.tail = lastBut(c.tail, part, '\r')
			return
		}
		c.lines++
		c.elements += bytes.Count(part[:at], comma)
		if last := lastBut(c.tail, part[:at], '\r'); last == '\n' {
			c.headOver = true
			return
		}
		c.tail, part = '\n', part[at+1:]
	}
}

// comma separates the elements of a list in a field.
var comma = []byte{','}

// lastBut returns the last byte of part that is not skip, or before if there is none.
func lastBut(before byte, part []byte, skip byte) byte {
	for i := len(part) - 1; i >= 0; i-- {
		if part[i] != skip {
			return part[i]
		}
	}
	return before
}

// Write implements net.Conn.
func (c *Conn) Write(buf []byte) (written int, err error) {
	for first := true; first || len(buf) > 0; first = false {
		part := buf[:min(len(buf), writePart)]
		c.beginWrite(len(buf))
		if c.door.WriteTimeout > 0 {
			_ = c.SetWriteDeadline(time.Now().Add(c.door.WriteTimeout.Duration()))
		}
		n, err := c.Conn.Write(part)
		written += n
		c.endWrite(len(buf) - n)
		if err != nil {
			return written, err
		}
		buf = buf[n:]
	}
	return written, nil
}

func (c *Conn) beginWrite(unread int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = int64(unread)
	c.phase = phaseServed
	c.enter(phaseReads)
}

func (c *Conn) endWrite(unread int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unread = int64(unread)
	c.enter(phaseServed)
	if !c.served {
		// Without Answered, what is read from now on belongs to the next request.
		c.received, c.phase = 0, phaseIdle
		c.resetHead()
		c.since = c.door.Clock.Now()
		c.head.release()
	}
}

// refusal is the answer to a head for which there is no memory. Nothing has run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.5\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Bounds of what is read from a client that was refused, so that it gets the answer and no reset.
const (
	lingerBytes = 64 << 10
	lingerTime  = 500 * time.Millisecond
)

// refuse answers that there is no memory, unless the client gave way itself.
func (c *Conn) refuse() {
	c.head.release()
	c.door.noteClosed(ReasonRefused)
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, refusal); err != nil {
		return
	}
	c.linger()
}

// Listener accepts the connections of a Door.
type Listener struct {
	net.Listener
	Door *Door
}

// acceptPause is the time until the next try to accept after descriptors ran out.
const acceptPause = 20 * time.Millisecond

// Accept implements net.Listener. It returns an error only if the listener fails for good.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
			l.Door.MakeRoom(ReasonConns)
			time.Sleep(acceptPause)
			continue
		case errors.Is(err, unix.ECONNABORTED):
			continue
		case err != nil:
			return nil, err
		}
		now := l.Door.Clock.Now()
		c := &Conn{Conn: conn, door: l.Door, address: addressOf(conn), phase: phaseSends, since: now, movedAt: now, head: headHold{hold: l.Door.Hold()}}
		if l.Door.addOrWait(c) {
			return c, nil
		}
		_ = conn.Close()
		l.Door.noteClosed(ReasonRefused)
	}
}
