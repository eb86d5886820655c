package links

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/base/frame"
	"mangostile/internal/base/ring"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Links holds the connections to other entry VMs. Make it with New.
type Links struct {
	self units.EntryVMID
	// deliver hands a message to the core. It may drop it.
	deliver func(event.PeerReceived) bool
	mu      sync.Mutex
	senders map[units.EntryVMID]*sender
	conns   map[net.Conn]bool
	group   *errgroup.Group
	ctx     context.Context
	sent    Traffic
	got     Traffic
}

// Traffic counts frames and bytes.
type Traffic struct {
	frames atomic.Int64
	bytes  atomic.Int64
}

// Counts returns the frames and bytes so far.
func (t *Traffic) Counts() (frames, bytes int64) { return t.frames.Load(), t.bytes.Load() }

func (t *Traffic) add(bytes int) {
	t.frames.Add(1)
	t.bytes.Add(int64(bytes))
}

// Bounds of one link.
const (
	sendRing     = 1024
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	redialPause  = 200 * time.Millisecond
	idleTimeout  = 10 * time.Second
)

// sender is the duty that writes to one other entry VM.
type sender struct {
	to      units.EntryVMID
	address atomic.Value
	queue   *ring.Ring[peer.Message]
}

// New returns links of the entry VM called self.
func New(self units.EntryVMID, deliver func(event.PeerReceived) bool) *Links {
	return &Links{self: self, deliver: deliver, senders: map[units.EntryVMID]*sender{}, conns: map[net.Conn]bool{}}
}

// Sent counts what was written.
func (l *Links) Sent() *Traffic { return &l.sent }

// Received counts what was read.
func (l *Links) Received() *Traffic { return &l.got }

// Run accepts connections on listener until ctx is done. It closes listener.
func (l *Links) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	l.mu.Lock()
	l.group, l.ctx = group, ctx
	l.mu.Unlock()
	group.Go(func() error {
		<-ctx.Done()
		l.closeAll(listener)
		return nil
	})
	group.Go(func() error { return l.accept(ctx, listener) })
	return group.Wait()
}

func (l *Links) closeAll(listener net.Listener) {
	_ = listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

func (l *Links) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer connection")
		}
		l.group.Go(func() error {
			l.receive(ctx, conn)
			return nil
		})
	}
}

// track notes an open connection. It reports false once the links are closing.
func (l *Links) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	l.conns[conn] = true
	return true
}

func (l *Links) untrack(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func (l *Links) receive(ctx context.Context, conn net.Conn) {
	defer l.untrack(conn)
	if !l.track(conn) {
		return
	}
	r := bufio.NewReader(conn)
	var greeting hello
	tag, payload, err := l.read(conn, r)
	if err != nil || tag != tagHello || frame.Decode(payload, &greeting) != nil || greeting.To != l.self {
		return
	}
	for ctx.Err() == nil {
		tag, payload, err := l.read(conn, r)
		if err != nil {
			return
		}
		m, err := decodeMessage(tag, payload)
		if err != nil {
			return
		}
		l.deliver(event.PeerReceived{From: greeting.From, Message: m})
	}
}

func (l *Links) read(conn net.Conn, r *bufio.Reader) (byte, []byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
	tag, payload, err := frame.Read(r)
	l.got.add(len(payload))
	return tag, payload, err
}

// Send queues a message. It reports false if the queue is full; the message is
// then lost.
func (l *Links) Send(to units.EntryVMID, address string, m peer.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.group == nil || l.ctx.Err() != nil {
		return false
	}
	s := l.senders[to]
	if s == nil {
		s = &sender{to: to, queue: ring.New[peer.Message](sendRing)}
		l.senders[to] = s
		s.address.Store(address)
		l.group.Go(func() error {
			l.sendAll(l.ctx, s)
			return nil
		})
	}
	if address != "" {
		s.address.Store(address)
	}
	return s.queue.Push(m)
}

// sendAll writes the messages of one queue, over one connection as long as it
// holds. A message whose write fails is lost.
func (l *Links) sendAll(ctx context.Context, s *sender) {
	var conn net.Conn
	defer func() {
		if conn != nil {
			l.untrack(conn)
		}
	}()
	var buf []byte
	var dialedAt time.Time
	for {
		m, ok := s.queue.Pop(ctx)
		if !ok {
			return
		}
		if conn == nil {
			if time.Since(dialedAt) < redialPause {
				continue
			}
			dialedAt = time.Now()
			if conn = l.dial(s); conn == nil {
				continue
			}
		}
		var err error
		if buf, err = frame.Append(buf[:0], tagOf(m), m); err != nil {
			continue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(buf); err != nil {
			l.untrack(conn)
			conn = nil
			continue
		}
		l.sent.add(len(buf))
	}
}

func (l *Links) dial(s *sender) net.Conn {
	address, _ := s.address.Load().(string)
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil
	}
	if !l.track(conn) {
		_ = conn.Close()
		return nil
	}
	buf, err := frame.Append(nil, tagHello, hello{From: l.self, To: s.to})
	if err == nil {
		_, err = conn.Write(buf)
	}
	if err != nil {
		l.untrack(conn)
		return nil
	}
	return conn
}
