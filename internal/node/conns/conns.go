// Package conns keeps connections to backend servers and makes one exchange at a
// time on each. Nothing is sent a second time by itself.
package conns

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/plat/call"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Bounds of a pool.
const (
	dialTimeout = 600 * time.Millisecond
	// maxIdle is how long a connection is kept unused if the backend server names
	// no time.
	maxIdle = 4 * clock.Second
	// idleReserve is how long before the end of the time that a backend server
	// names a connection is no longer used.
	idleReserve = 1500 * clock.Millis(1)
	// maxIdlePerAddress bounds what is kept for one backend server.
	maxIdlePerAddress = 64
	readBuffer        = 4096
)

// NotSentError tells that no byte of a request has left.
type NotSentError struct {
	// Refused tells that the address refused the connection.
	Refused bool
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Pool holds connections that wait for use. The zero value is empty.
type Pool struct {
	Clock clock.Clock
	mu    sync.Mutex
	idle  map[string][]*Conn
}

// Conn is a connection to a backend server.
type Conn struct {
	net.Conn
	r       *bufio.Reader
	address string
	// idleSince is when the last exchange ended, keepFor how long it may be used
	// after that.
	idleSince clock.Millis
	keepFor   clock.Millis
	// Reused is set from the second exchange on.
	Reused bool
}

// Get returns a connection to an address, one that was kept if fresh is not set.
// An error is a NotSentError.
func (p *Pool) Get(address string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if p.Clock.Now() < c.idleSince+c.keepFor && c.quiet() {
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := call.Dial(address, dialTimeout)
	if err != nil {
		return nil, &NotSentError{Refused: errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET), Err: err}
	}
	return &Conn{Conn: conn, r: bufio.NewReaderSize(conn, readBuffer), address: address, keepFor: maxIdle}, nil
}

func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection whose exchange has ended cleanly.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	c.idleSince = p.Clock.Now()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that have been kept too long.
func (p *Pool) Sweep() {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.idleSince+c.keepFor {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// quiet reports whether the other side has neither closed the connection nor sent
// anything that was not asked for.
func (c *Conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, recvErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n <= 0 && errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepAlive takes over the time that a backend server names in "timeout=SECONDS".
func (c *Conn) keepAlive(header string) {
	for item := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.keepFor = max(0, clock.Millis(seconds)*clock.Second-idleReserve)
		}
	}
}
