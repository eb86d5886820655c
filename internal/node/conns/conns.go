// Package conns pools connections to backend servers and makes one exchange at a time
// on each. It never retries a request on its own.
package conns

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/quota"
	"mangostile/internal/plat/call"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Limits of a pool.
const (
	// DialTimeout is the maximum time for opening a connection.
	DialTimeout = 600 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection may be reused if the backend
	// server sends no keep-alive timeout.
	defaultIdleTimeout = 4 * clock.Second
	// idleMargin is how long before the end of the backend server's keep-alive
	// timeout a connection is no longer reused.
	idleMargin = 1500 * clock.Millis(1)
	// maxIdlePerAddress bounds the idle connections to one backend server.
	maxIdlePerAddress = 64
	readBuffer        = 4096
)

// NotSentError is returned if no byte of a request was sent.
type NotSentError struct {
	// Refused is true if the address refused or reset the connection.
	Refused bool
	Err     error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Pool holds idle connections. The zero value is ready to use.
type Pool struct {
	Clock clock.Clock
	// Memory bounds the memory that long heads of answers take, on account of their addresses; nil
	// means no bound.
	Memory *quota.Pool
	mu     sync.Mutex
	idle   map[string][]*Conn
}

// Conn is a connection to a backend server.
type Conn struct {
	net.Conn
	head    *headReader
	r       *bufio.Reader
	address string
	// idleSince is when the last exchange ended, idleTimeout how long the connection
	// may be reused after that.
	idleSince   clock.Millis
	idleTimeout clock.Millis
	// Reused is true from the second exchange on.
	Reused bool
}

// Get returns a connection to an address. Unless fresh is set, it prefers an idle one. It gives
// up a dial once ctx is done. The error is a NotSentError.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	for !fresh {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if p.Clock.Now() < c.idleSince+c.idleTimeout && c.usable() {
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
	conn, err := call.DialContext(ctx, address, DialTimeout)
	if errors.Is(err, unix.EMFILE) && p.dropIdle() > 0 {
		conn, err = call.DialContext(ctx, address, DialTimeout)
	}
	if err != nil {
		return nil, &NotSentError{Refused: errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET), Err: err}
	}
	head := &headReader{Reader: conn, left: noLimit, hold: p.Memory.Hold(quota.Owner(address))}
	return &Conn{Conn: conn, head: head, r: bufio.NewReaderSize(head, readBuffer), address: address, idleTimeout: defaultIdleTimeout}, nil
}

// takeIdle removes and returns the connection to an address that became idle last, or nil
// if there is none.
func (p *Pool) takeIdle(address string) *Conn {
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

// HasUsable reports whether there is an idle connection to an address that the peer has not
// closed.
func (p *Pool) HasUsable(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], (*Conn).usable)
}

// put adds a connection without an exchange to the idle ones. It closes the connection if
// there are maxIdlePerAddress of them already.
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
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Return gives back a connection that Get returned and that was not used since.
func (p *Pool) Return(c *Conn) {
	if !c.Reused {
		c.idleSince = p.Clock.Now()
	}
	p.put(c)
}

// dropIdle closes all idle connections, whose descriptors are needed, and returns their number.
func (p *Pool) dropIdle() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
		n += len(list)
	}
	clear(p.idle)
	return n
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.idleSince+c.idleTimeout {
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

// usable reports whether the peer has neither closed the connection nor sent unexpected
// bytes.
func (c *Conn) usable() bool {
	return c.r.Buffered() == 0 && call.Peek(c.Conn) == call.Idle
}

// abandon closes the connection of an exchange that has not ended. Bytes of the request that were
// not sent are discarded: the close would wait behind them, and a slow link would still deliver
// the request. Otherwise it is a usual close, which the kernel repeats until it has arrived, unlike
// a reset.
func (c *Conn) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && call.Unsent(tcp) > 0 {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// applyKeepAlive sets idleTimeout from the "timeout=SECONDS" of a backend server's
// Keep-Alive header, less idleMargin.
func (c *Conn) applyKeepAlive(header string) {
	for item := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			c.idleTimeout = max(0, clock.Millis(seconds)*clock.Second-idleMargin)
		}
	}
}
