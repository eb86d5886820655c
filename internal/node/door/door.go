// Package door bounds what the clients of a listener hold: connections, heads, and bodies and answers
// that stand still. Who waits for nobody but itself gives way first, the slowest and the largest before
// others.
package door

import (
	"cmp"
	"math"
	"net"
	"net/netip"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/quota"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sys/unix"
)

// Defaults of Limits.
const (
	// DefaultPatience exceeds the time that a client which sends without pauses needs for a request.
	DefaultPatience = clock.Second
	// PeersPatience is the least patience with other entry VMs, several periods of their reports, of which
	// some come once a second.
	PeersPatience = 5 * clock.Second
	// DefaultWriteTimeout is the time for a client to read writePart bytes. Backend servers cut answers
	// off that stay unread for some seconds.
	DefaultWriteTimeout = 10 * clock.Second
)

// Limits bound what clients hold. For each, 0 means no bound.
type Limits struct {
	// Conns is the number of open connections.
	Conns int
	// Patience is how long a client may wait for nothing but itself before it is asked to give way, and
	// only if there is no room for others.
	Patience clock.Millis
	// WriteTimeout is how long a client may take to read a part of an answer.
	WriteTimeout clock.Millis
}

// Reasons of a connection that was closed to make room, and of a refusal.
const (
	// ReasonConns means that all connections were taken.
	ReasonConns = "connections"
	// ReasonMemory means that no memory was left.
	ReasonMemory = "memory"
	// ReasonUnread means that no memory was left for answers. Only clients that don't read give way.
	ReasonUnread = "unread"
	// ReasonRefused means that nobody could give way, so that the newest client was turned away.
	ReasonRefused = "refused"
)

// Door is the account of the connections of one listener. Set its fields before use. The zero value
// bounds nothing.
type Door struct {
	Limits
	Clock clock.Clock
	// Memory holds long heads, on account of Owner; nil means no bound.
	Memory *quota.Pool
	Owner  quota.Owner
	// Talks is true if clients send on a connection for as long as it is open, as entry VMs do. Only
	// silence counts then.
	Talks bool
	// Lingers makes Close wait until a client that still sends has had time to read its answer, for HTTP
	// servers that don't do so.
	Lingers bool
	// OnClosed, if not nil, is called for each connection that was closed to make room.
	OnClosed func(reason string)
	// Logger receives a line a second at most; nil discards it.
	Logger hclog.Logger
	// Name is that of the listener in log lines.
	Name string

	// crowdedUntil is the time until which new connections don't wait for room. Only Accept uses it.
	crowdedUntil clock.Millis

	mu        sync.Mutex
	open      map[*Conn]bool
	byAddress map[netip.Addr]int
	loggedAt  clock.Millis
	// unlogged counts the connections that were closed since loggedAt.
	unlogged int
}

// add counts a connection. It reports false if all are taken.
func (d *Door) add(c *Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Conns > 0 && len(d.open) >= d.Conns {
		return false
	}
	if d.open == nil {
		d.open, d.byAddress = map[*Conn]bool{}, map[netip.Addr]int{}
	}
	d.open[c] = true
	d.byAddress[c.address]++
	return true
}

func (d *Door) remove(c *Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.open[c] {
		return
	}
	delete(d.open, c)
	if d.byAddress[c.address]--; d.byAddress[c.address] == 0 {
		delete(d.byAddress, c.address)
	}
}

// Count returns the number of open connections.
func (d *Door) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

// MakeRoom closes the connection whose client has to give way first, and reports whether there was one.
// For ReasonMemory and ReasonUnread, what it holds counts, too.
func (d *Door) MakeRoom(reason string) bool {
	if d.Patience == 0 {
		return false
	}
	now := d.Clock.Now()
	d.mu.Lock()
	var worst *Conn
	var most float64
	for c := range d.open {
		if weight := d.weight(c.state(now), d.byAddress[c.address], reason); weight > most {
			worst, most = c, weight
		}
	}
	d.mu.Unlock()
	if worst == nil {
		return false
	}
	_ = worst.closeNow()
	d.noteClosed(reason)
	return true
}

// GiveWay makes a client release memory for an owner, and reports whether there was one. Callers give way
// to callers, and clients that don't read to the backend servers whose answers they leave. It is meant
// for quota.Pool.GiveWay.
func (d *Door) GiveWay(owner quota.Owner) bool {
	if owner == d.Owner {
		return d.MakeRoom(ReasonMemory)
	}
	return d.MakeRoom(ReasonUnread)
}

// noteClosed counts a connection that was closed to make room.
func (d *Door) noteClosed(reason string) {
	if d.OnClosed != nil {
		d.OnClosed(reason)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unlogged++
	now := d.Clock.Now()
	if d.Logger == nil || now < d.loggedAt+clock.Second {
		return
	}
	d.Logger.Warn("clients_gave_way", "listener", d.Name, "reason", reason, "closed", d.unlogged, "connections", len(d.open), "most", d.Conns)
	d.loggedAt, d.unlogged = now, 0
}

// Hold returns a holder of memory on account of Owner.
func (d *Door) Hold() *quota.Hold { return d.Memory.Hold(d.Owner) }

// waitForRoom is how long a new connection waits for room, and roomPoll the time between two looks.
const (
	waitForRoom = 250 * time.Millisecond
	roomPoll    = 10 * time.Millisecond
)

// addOrWait counts a connection once there is room. It reports false if there is none after
// waitForRoom. The next connections are then not waited for: a crowd that waits to be accepted would keep
// others from it.
func (d *Door) addOrWait(c *Conn) bool {
	end := time.Now().Add(waitForRoom)
	for !d.add(c) {
		if d.MakeRoom(ReasonConns) {
			continue
		}
		now := d.Clock.Now()
		if now < d.crowdedUntil {
			return false
		}
		if time.Now().After(end) {
			d.crowdedUntil = now + d.Patience
			return false
		}
		time.Sleep(roomPoll)
	}
	return true
}

// addressOf returns the IP address of a connection's client; the zero value if it has none.
func addressOf(conn net.Conn) netip.Addr {
	tcp, ok := conn.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

// Share divides the descriptors of a process among its listeners.
type Share struct {
	// Callers, Peers and Inner are the connections of callers, of other entry VMs, and of each listener
	// for the operator or the balancer.
	Callers, Peers, Inner int
}

// Parts of the descriptors. The rest is for backend servers, the store, and connections to other entry
// VMs.
const (
	// otherDescriptors are those that the platform keeps for files, if there are that many.
	otherDescriptors = 200
	callersShare     = 0.5
	peersShare       = 0.125
	innerShare       = 0.03
	minInner         = 8
)

// connMemory is the memory of a connection without a request, in KiB: two goroutines and two buffers.
// Connections of callers get connMemoryShare of the memory of the process.
const (
	connMemory      = 24
	connMemoryShare = 0.2
)

// Descriptors returns the number of descriptors that the process may open: stated, 0 for unknown, or the
// limit that the kernel sets if that is lower.
func Descriptors(stated int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return cmp.Or(stated, math.MaxInt32)
	}
	if stated == 0 {
		return int(limit.Cur)
	}
	return min(stated, int(limit.Cur))
}

// NewShare divides a number of descriptors for a process with memoryMB, 0 for no limit.
func NewShare(descriptors, memoryMB int) Share {
	sockets := descriptors - min(otherDescriptors, descriptors/4)
	callers := int(callersShare * float64(sockets))
	if memoryMB > 0 {
		callers = min(callers, int(connMemoryShare*float64(memoryMB<<10)/connMemory))
	}
	return Share{
		Callers: max(1, callers),
		Peers:   max(1, int(peersShare*float64(sockets))),
		Inner:   max(minInner, min(int(innerShare*float64(sockets)), 64)),
	}
}
