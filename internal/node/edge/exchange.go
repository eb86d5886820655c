// Package edge takes callers' requests over HTTP and carries the core's
// dispatches to backend servers.
package edge

import (
	"sync"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// exchange is one caller's request with the means to answer it.
type exchange struct {
	request event.Request
	// method, path and body are sent to a backend server.
	method string
	path   string
	body   []byte
	// commands holds the core's effects for this request, in order.
	commands chan event.Effect
	// canceled is closed once the attempt on its way is to be given up.
	canceled   chan struct{}
	cancelOnce sync.Once
}

// maxCommands bounds the effects that wait for one exchange. The core has at
// most one dispatch and one end outstanding.
const maxCommands = 8

func newExchange() *exchange {
	return &exchange{commands: make(chan event.Effect, maxCommands), canceled: make(chan struct{})}
}

func (x *exchange) cancel() {
	x.cancelOnce.Do(func() { close(x.canceled) })
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
