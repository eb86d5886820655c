// Package edge takes callers' requests over HTTP and carries the core's
// dispatches to backend servers.
package edge

import (
	"net"
	"sync"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// exchange is one caller's request with the means to answer it.
type exchange struct {
	request event.Request
	// conn is the caller's connection.
	conn      net.Conn
	arrivedAt time.Time
	// method, path, contentType and body are sent to a backend server.
	method      string
	path        string
	contentType string
	// authorization is the caller's, for an entry VM that the request is sent on
	// to. It is never logged.
	authorization string
	body          []byte
	// commands holds the core's effects for this request, in order.
	commands chan event.Effect
	// canceled is closed once the attempt on its way is to be given up.
	canceled chan struct{}
	// goneTold is set once the core was told that the caller has gone. Only the
	// watching duty uses it.
	goneTold bool

	mu sync.Mutex
	// abort closes the stream that is being read, if there is one.
	abort func()
}

// maxCommands bounds the effects that wait for one exchange. The core has at
// most one dispatch and one end outstanding.
const maxCommands = 8

func newExchange(conn net.Conn) *exchange {
	return &exchange{conn: conn, arrivedAt: time.Now(), commands: make(chan event.Effect, maxCommands), canceled: make(chan struct{})}
}

// cancel gives up the attempt on its way. It does not block.
func (x *exchange) cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.isCanceled() {
		return
	}
	close(x.canceled)
	if x.abort != nil {
		go x.abort()
	}
}

// onCancel sets what breaks off the stream that is being read; nil if none is.
func (x *exchange) onCancel(abort func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abort = abort
	if abort != nil && x.isCanceled() {
		go abort()
	}
}

func (x *exchange) isCanceled() bool {
	select {
	case <-x.canceled:
		return true
	default:
		return false
	}
}

// exchanges holds the open exchanges by request id. The zero value is empty.
type exchanges struct {
	mu   sync.Mutex
	open map[units.RequestID]*exchange
}

// add reports false if the id is taken.
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

// all appends all open exchanges to list.
func (e *exchanges) all(list []*exchange) []*exchange {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, x := range e.open {
		list = append(list, x)
	}
	return list
}
