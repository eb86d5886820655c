package main

import (
	"bytes"
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

// link is a proxy in front of a replica. While it is lossy for a holder, it loses segments on connections
// on which that holder sends orders: from an instant on those with an order, each lossesInTurn times, as
// long as no more than a share of all segments is lost.
type link struct {
	listener net.Listener
	target   string
	onLoss   func(delay time.Duration)

	mu         sync.Mutex
	holder     string
	share      float64
	from       time.Time
	sent, lost int
}

// lossesInTurn is how often a segment is lost before it arrives.
const lossesInTurn = 2

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go l.accept()
	return l, nil
}

// lose makes the link lossy for a holder.
func (l *link) lose(holder string, share float64, from time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder, l.share, l.from = holder, share, from
}

// heal ends that.
func (l *link) heal() { l.lose("", 0, time.Time{}) }

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
	_, after, isOrder := bytes.Cut(segment, []byte(`"holder":"`))
	if isOrder {
		name, _, _ := bytes.Cut(after, []byte(`"`))
		c.holder = string(name)
	}
	holder := c.holder
	c.mu.Unlock()
	l := c.link
	l.mu.Lock()
	if holder == "" || holder != l.holder {
		l.mu.Unlock()
		return true
	}
	l.sent++
	delay := time.Duration(0)
	if isOrder && time.Now().After(l.from) && float64(l.lost+lossesInTurn) <= l.share*float64(l.sent+lossesInTurn) {
		for i := range lossesInTurn {
			delay += firstRetransmission << i
		}
		l.sent += lossesInTurn
		l.lost += lossesInTurn
	}
	l.mu.Unlock()
	if delay > 0 {
		l.onLoss(delay)
		time.Sleep(delay)
	}
	return delay < userTimeout
}

// counts returns the segments sent while the link was lossy, and those lost of them.
func (l *link) counts() (sent, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent, l.lost
}
