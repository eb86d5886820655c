package links

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/base/frame"
	"mangostile/internal/base/ring"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/node/certs"
	"mangostile/internal/plat/call"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Options say what links are made of.
type Options struct {
	Self units.EntryVMID
	// Deliver hands a message to the core. It may drop it.
	Deliver func(event.PeerReceived) bool
	// Logger is told of connections that could not be secured; nil is nobody.
	Logger hclog.Logger
	// TLS is nil for connections that are neither encrypted nor authenticated.
	TLS *certs.Mutual
}

// Links holds the connections to other entry VMs. Make it with New.
type Links struct {
	options Options
	mu      sync.Mutex
	senders map[units.EntryVMID]*sender
	conns   map[net.Conn]bool
	group   *errgroup.Group
	ctx     context.Context
	// insecureLoggedAt is the wall clock of the last log line on a failed
	// handshake, in nanoseconds.
	insecureLoggedAt atomic.Int64
	sent             Traffic
	got              Traffic
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
	sendRing          = 1024
	dialTimeout       = time.Second
	writeTimeout      = 2 * time.Second
	handshakeTimeout  = 2 * time.Second
	redialPause       = 200 * time.Millisecond
	insecureLogPeriod = 10 * time.Second
	idleTimeout       = 10 * time.Second
)

// sender is the duty that writes to one other entry VM.
type sender struct {
	to      units.EntryVMID
	address atomic.Value
	queue   *ring.Ring[peer.Message]
}

// New returns links that are not running.
func New(options Options) *Links {
	return &Links{options: options, senders: map[units.EntryVMID]*sender{}, conns: map[net.Conn]bool{}}
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
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

// secure makes a connection encrypted and authenticated if the settings say so.
func (l *Links) secure(conn net.Conn, accepted bool) (net.Conn, error) {
	mutual := l.options.TLS
	if mutual == nil {
		return conn, nil
	}
	secured := tls.Client(conn, mutual.Client)
	if accepted {
		secured = tls.Server(conn, mutual.Server)
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := secured.HandshakeContext(l.ctx); err != nil {
		l.logInsecure(conn, accepted, err)
		return nil, errors.Wrap(err, "secure peer connection")
	}
	return secured, conn.SetDeadline(time.Time{})
}

// logInsecure logs a failed handshake, at most one in insecureLogPeriod.
func (l *Links) logInsecure(conn net.Conn, accepted bool, err error) {
	now := time.Now().UnixNano()
	last := l.insecureLoggedAt.Load()
	if l.options.Logger == nil || last != 0 && now-last < int64(insecureLogPeriod) || !l.insecureLoggedAt.CompareAndSwap(last, now) {
		return
	}
	l.options.Logger.Warn("peer_connection_not_secured", "address", conn.RemoteAddr(), "accepted", accepted, "error", err,
		"remedy", "set tls.peer_certificate_file, peer_key_file and peer_authority_file alike on all entry VMs")
}

func (l *Links) receive(ctx context.Context, conn net.Conn) {
	defer l.untrack(conn)
	if !l.track(conn) {
		return
	}
	secured, err := l.secure(conn, true)
	if err != nil {
		return
	}
	l.receiveFrom(ctx, secured)
}

// receiveFrom takes the messages of one accepted connection.
func (l *Links) receiveFrom(ctx context.Context, conn net.Conn) {
	r := bufio.NewReader(conn)
	var greeting hello
	tag, payload, err := l.read(conn, r)
	if err != nil || tag != tagHello || frame.Decode(payload, &greeting) != nil || greeting.To != l.options.Self {
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
		l.options.Deliver(event.PeerReceived{From: greeting.From, Message: m})
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
// holds. A message that can't be written over a second one either is lost.
func (l *Links) sendAll(ctx context.Context, s *sender) {
	o := outgoing{links: l, sender: s}
	defer o.drop()
	for {
		m, ok := s.queue.Pop(ctx)
		if !ok {
			return
		}
		if !o.write(m) {
			o.write(m)
		}
	}
}

// outgoing is the connection to one other entry VM.
type outgoing struct {
	links  *Links
	sender *sender
	// conn is nil while there is none.
	conn net.Conn
	buf  []byte
	// dialedAt is the time of the last dial that failed.
	dialedAt time.Time
}

// write sends one message. It reports false if a connection broke, so that
// another one may be tried.
func (o *outgoing) write(m peer.Message) bool {
	l := o.links
	if o.conn == nil && !o.dial() {
		return true
	}
	var err error
	if o.buf, err = frame.Append(o.buf[:0], tagOf(m), m); err != nil {
		return true
	}
	_ = o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := o.conn.Write(o.buf); err != nil {
		o.drop()
		return false
	}
	l.sent.add(len(o.buf))
	return true
}

func (o *outgoing) dial() bool {
	if time.Since(o.dialedAt) < redialPause {
		return false
	}
	if o.conn = o.links.dial(o.sender); o.conn == nil {
		o.dialedAt = time.Now()
		return false
	}
	conn := o.conn
	o.links.group.Go(func() error {
		watch(conn)
		return nil
	})
	return true
}

// watch closes a connection once the other side has, so that the next write
// fails and no message goes to an entry VM that is gone. Nothing is ever read
// from a connection that was opened here.
func watch(conn net.Conn) {
	var buf [1]byte
	_, _ = conn.Read(buf[:])
	_ = conn.Close()
}

func (o *outgoing) drop() {
	if o.conn != nil {
		o.links.untrack(o.conn)
		o.conn = nil
	}
}

func (l *Links) dial(s *sender) net.Conn {
	address, _ := s.address.Load().(string)
	conn, err := call.Dial(address, dialTimeout)
	if err != nil {
		return nil
	}
	if !l.track(conn) {
		_ = conn.Close()
		return nil
	}
	secured, err := l.greet(conn, s.to)
	if err != nil {
		l.untrack(conn)
		return nil
	}
	return secured
}

// greet secures an opened connection and says who is there.
func (l *Links) greet(conn net.Conn, to units.EntryVMID) (net.Conn, error) {
	secured, err := l.secure(conn, false)
	if err != nil {
		return nil, err
	}
	buf, err := frame.Append(nil, tagHello, hello{From: l.options.Self, To: to})
	if err != nil {
		return nil, err
	}
	_ = secured.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = secured.Write(buf)
	return secured, err
}
