package edge

import (
	"context"
	"net"
	"time"

	"mangostile/internal/core/event"
	"mangostile/internal/plat/call"
)

const (
	// watchPeriod is the time between two checks of the callers' connections.
	watchPeriod = 100 * time.Millisecond
	// sweepPeriod is the time between two looks for connections to backend servers that
	// have been idle for too long.
	sweepPeriod = time.Second
)

// WatchCallers notifies the core of callers that have disconnected, until ctx is done.
// The HTTP server detects a closed connection only when it writes, so WatchCallers polls
// the connections, without reading from them. It also closes idle connections to backend servers.
func (e *Edge) WatchCallers(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	sweep := time.NewTicker(sweepPeriod)
	defer sweep.Stop()
	var open []*exchange
	for {
		select {
		case <-ticker.C:
		case <-sweep.C:
			e.backend.pool.Sweep()
			continue
		case <-ctx.Done():
			return
		}
		open = e.exchanges.appendOpen(open[:0])
		for _, x := range open {
			e.submitIfClosed(x)
		}
		clear(open)
	}
}

func (e *Edge) submitIfClosed(x *exchange) {
	if x.cancelSubmitted || !call.PeerClosed(rawConn(x.conn)) {
		return
	}
	x.cancelSubmitted = e.options.Submit(event.RequestCanceled{Request: x.request.ID})
}

// rawConn returns the connection underneath TLS.
func rawConn(conn net.Conn) net.Conn {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}
