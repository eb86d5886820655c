package edge

import (
	"context"
	"net"
	"time"

	"mangostile/internal/core/event"
)

// watchPeriod is the time between two looks at the callers' connections.
const watchPeriod = 100 * time.Millisecond

// Watch tells the core of callers that have gone away, until ctx is done. The
// HTTP server tells nobody before it writes, so the connections are looked at
// from outside, without reading from them.
func (e *Edge) Watch(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	var open []*exchange
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		open = e.exchanges.all(open[:0])
		for _, x := range open {
			e.tellIfGone(x)
		}
		clear(open)
	}
}

func (e *Edge) tellIfGone(x *exchange) {
	if x.goneTold || !connClosed(rawConn(x.conn)) {
		return
	}
	x.goneTold = e.options.Submit(event.RequestCanceled{Request: x.request.ID})
}

// rawConn returns the connection below TLS.
func rawConn(conn net.Conn) net.Conn {
	for {
		over, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = over.NetConn()
	}
}
