package links

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/base/frame"
	"mangostile/internal/base/quota"
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

// Options configure Links.
type Options struct {
	Self units.EntryVMID
	// Deliver passes a received message to the core. It reports false if it dropped the
	// message.
	Deliver func(event.PeerReceived) bool
	// OnSent, if not nil, is called for each message written, with its kind and the bytes of its
	// frame. It is called from several goroutines.
	OnSent func(kind string, bytes int)
	// Logger receives a line for each failed TLS handshake, rate-limited; nil logs nothing.
	Logger hclog.Logger
	// Memory bounds the memory of received messages, on account of each connection; nil means no
	// bound.
	Memory *quota.Pool
	// TLS is nil for connections without encryption and authentication.
	TLS *certs.Mutual
}

// Links manages the connections to other entry VMs. Create it with New.
type Links struct {
	options Options
	mu      sync.Mutex
	senders map[units.EntryVMID]*sender
	conns   map[net.Conn]bool
	group   *errgroup.Group
	ctx     context.Context
	// insecureLoggedAt is the wall clock of the last logged handshake failure, in
	// nanoseconds since the Unix epoch, or 0.
	insecureLoggedAt atomic.Int64
	sent             Traffic
	received         Traffic
}

// Traffic counts frames and bytes.
type Traffic struct {
	frames atomic.Int64
	bytes  atomic.Int64
}

// Counts returns the numbers of frames and bytes since the start. The bytes of sent frames
// include their headers, those of received frames only the payloads.
func (t *Traffic) Counts() (frames, bytes int64) { return t.frames.Load(), t.bytes.Load() }

func (t *Traffic) add(bytes int) {
	t.frames.Add(1)
	t.bytes.Add(int64(bytes))
}

// Limits and timing of one link.
const (
	sendQueueCapacity = 1024
	dialTimeout       = time.Second
	writeTimeout      = 2 * time.Second
	handshakeTimeout  = 2 * time.Second
	redialBackoff     = 200 * time.Millisecond
	insecureLogPeriod = 10 * time.Second
	idleTimeout       = 10 * time.Second
	acceptBackoff     = 100 * time.Millisecond
)

// sender holds the messages queued for one other entry VM.
type sender struct {
	to      units.EntryVMID
	address atomic.Value
	queue   *ring.Ring[*outMessage]
}

// outMessage is a message to one or more entry VMs. It is encoded once, by the first sender
// that writes it.
type outMessage struct {
	peer.Message
	// packed allows a compressed payload.
	packed bool
	once   sync.Once
	frame  []byte
	err    error
}

func (m *outMessage) encode() ([]byte, error) {
	m.once.Do(func() { m.frame, m.err = encode(m.Message, m.packed) })
	return m.frame, m.err
}

// Recipient is an entry VM that a message is sent to.
type Recipient struct {
	ID units.EntryVMID
	// Address is the peer address; if it is empty, that of the last call is used.
	Address string
	// Packs is true if the entry VM reads compressed frames.
	Packs bool
}

// New returns links; Run starts them.
func New(options Options) *Links {
	return &Links{options: options, senders: map[units.EntryVMID]*sender{}, conns: map[net.Conn]bool{}}
}

// Sent returns the traffic written to other entry VMs.
func (l *Links) Sent() *Traffic { return &l.sent }

// Received returns the traffic read from other entry VMs.
func (l *Links) Received() *Traffic { return &l.received }

// Run accepts connections on listener until ctx is done. It closes listener and all
// connections.
func (l *Links) Run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	l.mu.Lock()
	l.group, l.ctx = group, ctx
	// Senders may join the group once mu is free, which must not be empty then.
	group.Go(func() error {
		<-ctx.Done()
		l.closeAll(listener)
		return nil
	})
	group.Go(func() error { return l.accept(ctx, listener) })
	l.mu.Unlock()
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

// accept starts a receiver for each connection until ctx is done, which it checks before err
// because closing the listener makes Accept fail. A lack of descriptors or memory, or a
// connection that was reset before it was accepted, ends nothing: accept tries again after
// acceptBackoff. A connection accepted just as ctx ends is neither tracked nor closed.
func (l *Links) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "accept peer connection")
		case err != nil:
			l.logAcceptFailed(err)
			sleep(ctx, acceptBackoff)
			continue
		}
		l.group.Go(func() error {
			l.receive(ctx, conn)
			return nil
		})
	}
}

// track registers an open connection, so that it is closed when Run ends. It reports
// false if the links are already closing.
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

// secure performs the TLS handshake on a connection if mutual TLS is configured, and
// returns the connection to use. accepted tells an accepted connection from a dialed one.
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

// logInsecure logs a failed handshake, at most once per insecureLogPeriod.
func (l *Links) logInsecure(conn net.Conn, accepted bool, err error) {
	now := time.Now().UnixNano()
	last := l.insecureLoggedAt.Load()
	if l.options.Logger == nil || last != 0 && now-last < int64(insecureLogPeriod) || !l.insecureLoggedAt.CompareAndSwap(last, now) {
		return
	}
	l.options.Logger.Warn("peer_connection_not_secured", "address", conn.RemoteAddr(), "accepted", accepted, "error", err,
		"remedy", "set tls.peer_certificate_file, peer_key_file and peer_authority_file alike on all entry VMs")
}

func (l *Links) logAcceptFailed(err error) {
	if l.options.Logger != nil {
		l.options.Logger.Warn("peer_accept_failed", "error", err, "remedy", "raise the limit of open files if it is reached")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
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

// receiveFrom delivers the messages of one accepted connection until it fails or sends
// an invalid frame.
func (l *Links) receiveFrom(ctx context.Context, conn net.Conn) {
	r := bufio.NewReader(conn)
	held := l.options.Memory.Hold(quota.Owner("peer " + conn.RemoteAddr().String()))
	defer held.Release()
	var remote hello
	if isLong(conn, r) {
		return
	}
	tag, payload, err := l.read(conn, r, held)
	if err != nil || tag != tagHello || frame.Decode(payload, &remote) != nil || remote.To != l.options.Self {
		return
	}
	for ctx.Err() == nil {
		held.Release()
		tag, payload, err := l.read(conn, r, held)
		if err != nil {
			return
		}
		m, err := decodeMessage(tag, payload)
		if err != nil {
			return
		}
		l.options.Deliver(event.PeerReceived{From: remote.From, Message: m})
	}
}

// maxHelloBytes bounds the first frame of a connection, before which nothing is known of the peer.
const maxHelloBytes = 1 << 10

// isLong reports whether the first frame is longer than a hello, or its length did not arrive.
func isLong(conn net.Conn, r *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
	length, err := r.Peek(4)
	return err != nil || binary.BigEndian.Uint32(length) > maxHelloBytes
}

// read reads one message into memory that held holds.
func (l *Links) read(conn net.Conn, r *bufio.Reader, held *quota.Hold) (byte, []byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
	tag, payload, err := frame.Read(r, held)
	l.received.add(len(payload))
	if err != nil {
		return 0, nil, err
	}
	return unpack(tag, payload, held)
}

// Send queues a message for an entry VM. If address is empty, that of the last call is
// used. Send reports false if the queue is full or the links are not running; the message
// is then lost. A queued message may still be lost on the way.
func (l *Links) Send(to units.EntryVMID, address string, m peer.Message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.push(Recipient{ID: to, Address: address}, &outMessage{Message: m})
}

// Broadcast queues a message for each recipient, like Send, but encodes it only once. m must
// not change afterwards.
func (l *Links) Broadcast(recipients []Recipient, m peer.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	plain, packed := &outMessage{Message: m}, &outMessage{Message: m, packed: true}
	for _, to := range recipients {
		if to.Packs {
			l.push(to, packed)
		} else {
			l.push(to, plain)
		}
	}
}

// push queues a message for one recipient. l.mu must be held.
func (l *Links) push(to Recipient, m *outMessage) bool {
	if l.group == nil || l.ctx.Err() != nil {
		return false
	}
	s := l.senders[to.ID]
	if s == nil {
		s = &sender{to: to.ID, queue: ring.New[*outMessage](sendQueueCapacity)}
		l.senders[to.ID] = s
		s.address.Store(to.Address)
		l.group.Go(func() error {
			l.sendAll(l.ctx, s)
			return nil
		})
	}
	if to.Address != "" {
		s.address.Store(to.Address)
	}
	return s.queue.Push(m)
}

// sendAll writes the messages of one queue over one connection. If writing fails it tries
// once more over a new connection; if that fails too, the message is lost.
func (l *Links) sendAll(ctx context.Context, s *sender) {
	o := outgoing{links: l, sender: s}
	defer o.close()
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

// outgoing is the connection opened to one other entry VM.
type outgoing struct {
	links  *Links
	sender *sender
	// conn is nil if not connected.
	conn net.Conn
	// dialFailedAt is the time of the last failed dial.
	dialFailedAt time.Time
}

// write sends one message. It reports false if an open connection failed, so that the
// caller can retry over a new one. If dialing or encoding fails, it drops the message and
// reports true.
func (o *outgoing) write(m *outMessage) bool {
	l := o.links
	if o.conn == nil && !o.dial() {
		return true
	}
	out, err := m.encode()
	if err != nil {
		return true
	}
	_ = o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := o.conn.Write(out); err != nil {
		o.close()
		return false
	}
	l.sent.add(len(out))
	if l.options.OnSent != nil {
		l.options.OnSent(kindOf(m.Message), len(out))
	}
	return true
}

func (o *outgoing) dial() bool {
	if time.Since(o.dialFailedAt) < redialBackoff {
		return false
	}
	if o.conn = o.links.dial(o.sender); o.conn == nil {
		o.dialFailedAt = time.Now()
		return false
	}
	conn := o.conn
	o.links.group.Go(func() error {
		closeOnEOF(conn)
		return nil
	})
	return true
}

// closeOnEOF closes a connection when the remote side has closed it, so that the next write
// fails instead of losing its message. The remote side never sends data on a connection
// that was opened here.
func closeOnEOF(conn net.Conn) {
	var buf [1]byte
	_, _ = conn.Read(buf[:])
	_ = conn.Close()
}

func (o *outgoing) close() {
	if o.conn != nil {
		o.links.untrack(o.conn)
		o.conn = nil
	}
}

func (l *Links) dial(s *sender) net.Conn {
	address, _ := s.address.Load().(string)
	conn, err := call.DialContext(l.ctx, address, dialTimeout)
	if err != nil {
		return nil
	}
	if !l.track(conn) {
		_ = conn.Close()
		return nil
	}
	secured, err := l.handshake(conn, s.to)
	if err != nil {
		l.untrack(conn)
		return nil
	}
	return secured
}

// handshake performs the TLS handshake on an opened connection and sends the hello frame.
func (l *Links) handshake(conn net.Conn, to units.EntryVMID) (net.Conn, error) {
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
