// Package relay stands between two processes on loopback and harms their
// connections on command.
package relay

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay passes TCP bytes to a target with a delay each way. While cut, it holds
// what it got, as a network partition does until it heals. Make it with New.
type Relay struct {
	listener net.Listener
	target   string
	// bytes counts what was passed on, both ways.
	bytes atomic.Int64

	mu sync.Mutex
	// delay is that of each way.
	delay time.Duration
	// cutOut and cutBack hold bytes towards the target and back.
	cutOut  bool
	cutBack bool
	// refusing closes connections as soon as they are taken.
	refusing bool
	changed  *sync.Cond
	closed   bool
	conns    map[net.Conn]bool
}

// chunk is the most that is passed on at once, in bytes.
const chunk = 32 << 10

// dialTimeout bounds a connection to the target.
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

// Address returns where r listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Bytes returns the number of bytes that were passed on, both ways.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Cut holds or passes bytes towards the target and back.
func (r *Relay) Cut(out, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOut, r.cutBack = out, back
	r.changed.Broadcast()
}

// Delay changes the delay of each way.
func (r *Relay) Delay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Refuse resets new connections until it is called with false.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = on
}

// Reset resets all open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

// reset closes a connection so that its other side gets a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without a linger time the close is an orderly one, which does as well.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Close ends r and its connections.
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
		go r.pass(conn)
	}
}

func (r *Relay) pass(conn net.Conn) {
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
	defer r.forget(conn, target)
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

func (r *Relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.conns, conn)
	}
}

// wait blocks while held is true. It reports false once the relay is closed.
func (r *Relay) wait(held func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for held() && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

// due returns when bytes that come now are passed on.
func (r *Relay) due() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Add(r.delay)
}

type piece struct {
	due  time.Time
	data []byte
	// broken tells that the connection ended by a reset.
	broken bool
}

// copy passes bytes on after the delay, so that what comes close together stays
// so.
func (r *Relay) copy(to, from net.Conn, held func() bool) {
	pieces := make(chan piece, 256)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, chunk)
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
		if broken || !r.wait(held) {
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
