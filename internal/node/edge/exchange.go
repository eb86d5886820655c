// Package edge serves callers' requests over HTTP and sends them to backend servers as
// the core directs.
package edge

import (
	"context"
	"net"
	"sync"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// exchange is one caller's request and the state needed to answer it.
type exchange struct {
	request event.Request
	// conn is the caller's connection.
	conn      net.Conn
	arrivedAt time.Time
	// method, path, contentType and body are sent to a backend server.
	method      string
	path        string
	contentType string
	// authorization is the caller's Authorization header, passed on when the request
	// is forwarded to another entry VM. It is never logged.
	authorization string
	body          []byte
	// commands queues the core's effects on this request.
	commands chan event.Effect
	// ctx ends the attempt in flight; cancel ends ctx.
	ctx    context.Context
	cancel context.CancelFunc
	// cancelSubmitted is true once the core was notified that the caller has
	// disconnected. Only the goroutine of WatchCallers uses it.
	cancelSubmitted bool
}

// maxCommands bounds the effects queued for one exchange. The core has at most one
// dispatch and one final effect outstanding.
const maxCommands = 8

func newExchange(conn net.Conn) *exchange {
	ctx, cancel := context.WithCancel(context.Background())
	return &exchange{conn: conn, arrivedAt: time.Now(), commands: make(chan event.Effect, maxCommands), ctx: ctx, cancel: cancel}
}

func (x *exchange) isCanceled() bool { return x.ctx.Err() != nil }

// exchanges holds the open exchanges by request id. The zero value is ready to use.
type exchanges struct {
	mu   sync.Mutex
	open map[units.RequestID]*exchange
}

// add reports false if the request id is in use.
func (e *exchanges) add(x *exchange) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.open == nil {
		e.open = map[units.RequestID]*exchange{}
	}
	if e.open[x.request.ID] != nil {
		return false
	}
	e.open[x.request.ID] = x
	return true
}

func (e *exchanges) remove(id units.RequestID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.open, id)
}

func (e *exchanges) find(id units.RequestID) *exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open[id]
}

func (e *exchanges) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.open)
}

// appendOpen appends all open exchanges to list.
func (e *exchanges) appendOpen(list []*exchange) []*exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.open {
		list = append(list, x)
	}
	return list
}
