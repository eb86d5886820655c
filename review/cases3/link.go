package main

import (
	"bytes"
	"math/rand"
	"net"
	"sync"
	"time"
)

// TCP on a link that loses packets, as far as it shows: a lost segment is sent again after a time-out
// that doubles, what follows waits for it, and the connection ends after the machine's own limit.
const (
	firstRetransmission = 200 * time.Millisecond
	userTimeout         = 2 * time.Second
)

// link is a proxy in front of a replica. While it is lossy for a holder, it loses a share of the segments
// on connections on which that holder sends orders.
type link struct {
	listener net.Listener
	target   string
	onLoss   func(delay time.Duration)

	mu     sync.Mutex
	rand   *rand.Rand
	holder string
	share  float64
	sent   int
	lost   int
}

func newLink(target string, seed int64) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, rand: rand.New(rand.NewSource(seed))}
	go l.accept()
	return l, nil
}

// lose makes the link lossy for a holder; a share of 0 ends that.
func (l *link) lose(holder string, share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder, l.share = holder, share
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *link) forward(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	out, err := net.DialTimeout("tcp4", l.target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	c := &carried{link: l}
	go func() {
		c.copy(conn, out)
		_ = conn.Close()
	}()
	c.copy(out, conn)
}

// carried is a connection through a link.
type carried struct {
	link   *link
	mu     sync.Mutex
	holder string
}

func (c *carried) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !c.carry(buf[:n]) {
				return
			}
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// carry waits as long as the losses of a segment take. It reports false if the connection ends of them.
func (c *carried) carry(segment []byte) bool {
	c.mu.Lock()
	if _, after, ok := bytes.Cut(segment, []byte(`"holder":"`)); ok {
		name, _, _ := bytes.Cut(after, []byte(`"`))
		c.holder = string(name)
	}
	holder := c.holder
	c.mu.Unlock()
	l := c.link
	l.mu.Lock()
	if l.share == 0 || holder == "" || holder != l.holder {
		l.mu.Unlock()
		return true
	}
	delay := time.Duration(0)
	l.sent++
	for next := firstRetransmission; l.rand.Float64() < l.share; next *= 2 {
		delay += next
		l.sent++
		l.lost++
	}
	onLoss := l.onLoss
	l.mu.Unlock()
	if delay == 0 {
		return true
	}
	if onLoss != nil {
		onLoss(delay)
	}
	time.Sleep(min(delay, userTimeout))
	return delay < userTimeout
}

// counts returns the segments sent while the link was lossy, and those lost of them.
func (l *link) counts() (sent, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent, l.lost
}
