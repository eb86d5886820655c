//go:build wholerun

package whole

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relay passes TCP bytes to a target with a delay each way. While cut, it holds
// what it got, as a network partition does until it heals.
type relay struct {
	listener net.Listener
	target   string
	delay    time.Duration
	// bytes counts what was passed on, both ways.
	bytes atomic.Int64

	mu sync.Mutex
	// cutOut and cutBack hold bytes towards the target and back.
	cutOut  bool
	cutBack bool
	changed *sync.Cond
	closed  bool
	conns   []net.Conn
}

// relayChunk is the most that is passed on at once, in bytes.
const relayChunk = 32 << 10

func newRelay(target string, delay time.Duration) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, delay: delay}
	r.changed = sync.NewCond(&r.mu)
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

// cut holds or passes bytes towards the target and back.
func (r *relay) cut(out, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutOut, r.cutBack = out, back
	r.changed.Broadcast()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, conn := range r.conns {
		_ = conn.Close()
	}
	r.changed.Broadcast()
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

func (r *relay) pass(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if !r.wait(func() bool { return r.cutOut }) {
		return
	}
	target, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	r.mu.Lock()
	r.conns = append(r.conns, conn, target)
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { r.copy(target, conn, func() bool { return r.cutOut }) })
	wg.Go(func() { r.copy(conn, target, func() bool { return r.cutBack }) })
	wg.Wait()
}

// wait blocks while held is true. It reports false once the relay is closed.
func (r *relay) wait(held func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for held() && !r.closed {
		r.changed.Wait()
	}
	return !r.closed
}

type relayPiece struct {
	due  time.Time
	data []byte
}

// copy passes bytes on after the delay, so that what comes close together stays
// so.
func (r *relay) copy(to, from net.Conn, held func() bool) {
	pieces := make(chan relayPiece, 256)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, relayChunk)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- relayPiece{time.Now().Add(r.delay), buf[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for piece := range pieces {
		time.Sleep(time.Until(piece.due))
		if broken || !r.wait(held) {
			continue
		}
		n, err := to.Write(piece.data)
		r.bytes.Add(int64(n))
		if err != nil {
			broken = true
			_ = from.Close()
		}
	}
	if closer, ok := to.(interface{ CloseWrite() error }); ok {
		_ = closer.CloseWrite()
	}
}
