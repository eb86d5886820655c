// Package relay is a TCP proxy on loopback that injects network faults between two
// processes.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections to a target with a delay each way. While cut, it buffers
// the received bytes and forwards them afterwards, as happens when a network partition
// heals. Create it with New.
type Relay struct {
	listener net.Listener
	target   string
	// bytes counts the forwarded bytes, both ways.
	bytes atomic.Int64

	mu sync.Mutex
	// delay applies to each direction.
	delay time.Duration
	// cutOut is true while bytes to the target are buffered, cutBack while those from it are.
	cutOut  bool
	cutBack bool
	// refusing resets connections as soon as they are accepted.
	refusing bool
	changed  *sync.Cond
	closed   bool
	conns    map[net.Conn]bool
}

// readSize is the size of a read, in bytes.
const readSize = 32 << 10

// dialTimeout bounds connecting to the target.
const dialTimeout = time.Second

// New listens on loopback for connections to target.
func New(target string, delay time.Duration) (*Relay, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, delay: delay, conns: map[net.Conn]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

// Address returns the host and port on which r listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Bytes returns the number of forwarded bytes, both ways.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Cut sets whether bytes to the target (out) and from it (back) are buffered; false forwards
// the buffered ones. While out is cut, r accepts connections but does not dial the target.
func (r *Relay) Cut(out, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOut, r.cutBack = out, back
	r.changed.Broadcast()
}

// Delay sets the delay of each direction, for bytes received from now on.
func (r *Relay) Delay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Refuse sets whether new connections are reset.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = on
}

// Reset resets all open connections for which r has connected to the target.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

// reset closes a connection so that its other side receives a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// If this fails, the close is an orderly one, which is good enough.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Close stops r and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.changed.Broadcast()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		refusing := r.refusing
		r.mu.Unlock()
		if refusing {
			reset(conn)
			continue
		}
		go r.forward(conn)
	}
}

func (r *Relay) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !r.wait(func() bool { return r.cutOut }) {
		return
	}
	target, err := net.DialTimeout("tcp4", r.target, dialTimeout)
	if err != nil {
		reset(conn)
		return
	}
	defer func() { _ = target.Close() }()
	r.track(conn, target)
	defer r.untrack(conn, target)
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(target, conn, func() bool { return r.cutOut }) })
	wg.Go(func() { r.copy(conn, target, func() bool { return r.cutBack }) })
	wg.Wait()
}

func (r *Relay) track(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		r.conns[conn] = true
	}
}

func (r *Relay) untrack(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
	}
}

// wait blocks while isCut returns true. It reports false once the relay is closed.
func (r *Relay) wait(isCut func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for isCut() && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

// due returns the time at which bytes received now are forwarded.
func (r *Relay) due() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Add(r.delay)
}

type piece struct {
	due  time.Time
	data []byte
	// broken means that the connection ended other than by an orderly close.
	broken bool
}

// copy forwards bytes after the delay. A separate goroutine reads them, so that the time
// between pieces is preserved and delays do not add up.
func (r *Relay) copy(to, from net.Conn, isCut func() bool) {
	pieces := make(chan piece, 256)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, readSize)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{due: r.due(), data: buf[:n]}
			}
			if err != nil {
				pieces <- piece{due: r.due(), broken: !errors.Is(err, io.EOF)}
				return
			}
		}
	}()
	broken := false
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if broken || !r.wait(isCut) {
			continue
		}
		if p.broken {
			reset(to)
			return
		}
		n, err := to.Write(p.data)
		r.bytes.Add(int64(n))
		if err != nil {
			broken = true
			reset(from)
		}
	}
	if closer, ok := to.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}
