package fleet

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"mangostile/internal/node/door"
)

// doors are the accounts of the listeners of an entry VM.
type doors struct{ front, ready, metrics, peers door.Door }

// openDoors sets the bounds of all listeners.
func (n *Node) openDoors() {
	share := door.NewShare(door.Descriptors(n.settings.Descriptors), n.settings.MemoryMB)
	limits := n.settings.Callers
	limits.Conns = cmp.Or(limits.Conns, share.Callers)
	limits.Patience = cmp.Or(limits.Patience, door.DefaultPatience)
	limits.WriteTimeout = cmp.Or(limits.WriteTimeout, door.DefaultWriteTimeout)
	inner := limits
	inner.Conns = share.Inner
	peers := limits
	peers.Conns, peers.Patience = share.Peers, max(limits.Patience, door.PeersPatience)
	for name, d := range map[string]struct {
		door   *door.Door
		limits door.Limits
	}{"callers": {&n.doors.front, limits}, "ready": {&n.doors.ready, inner}, "metrics": {&n.doors.metrics, inner}, "peers": {&n.doors.peers, peers}} {
		d.door.Limits, d.door.Clock, d.door.Logger, d.door.Name = d.limits, n.clock, n.log, name
		d.door.OnClosed = func(reason string) { n.meter.ClientGaveWay(name, reason) }
		d.door.Memory, d.door.Owner = &n.memory, callersAccount
	}
	// Other entry VMs send frames, which package links holds.
	n.doors.peers.Memory, n.doors.peers.Talks = nil, true
	n.memory.GiveWay = n.doors.front.GiveWay
}

// Limits of the requests of the balancer and the operator, which are short.
const (
	innerReadTimeout = 5 * time.Second
	innerHeaderBytes = 4 << 10
)

func innerServer(handler http.HandlerFunc) *http.Server {
	return &http.Server{
		Handler: handler, ReadTimeout: innerReadTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: innerHeaderBytes,
	}
}

// callerOf returns the connection of a caller, or nil.
func callerOf(conn net.Conn) *callerConn {
	if d, ok := conn.(*door.Conn); ok {
		conn = d.NetConn()
	}
	c, _ := conn.(*callerConn)
	return c
}

// unreadBodyTime is how long the rest of a body is read that was not wanted, so that the caller gets its
// answer and no reset.
const unreadBodyTime = 500 * time.Millisecond

// leaveBody bounds how long the HTTP server reads what is left of the body.
func (c *exchange) leaveBody() {
	if c.bodyRead || c.r.ContentLength == 0 {
		return
	}
	c.conn.serving()
	// The error is that the writer has no deadlines, as in tests.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTime))
}

// limitBody has the reading of the body end when the time of the request is over: nobody waits for its
// answer then. The function that it returns ends that.
func (c *exchange) limitBody() (end func()) {
	control := http.NewResponseController(c.w)
	left := c.arrived + c.timeLimit() - c.node.clock.Now()
	_ = control.SetReadDeadline(time.Now().Add(left.Duration()))
	return func() { _ = control.SetReadDeadline(time.Time{}) }
}
