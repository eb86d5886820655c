package grid

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// partTokens is the length of each part of a prompt in tokens.
const partTokens = 100

// promptHeader is the header with the parts of a prompt, in order, as ID:TOKENS pairs.
const promptHeader = "Prompt-Prefix"

// Prompt returns the value of the header with a prompt's parts. The ids are hexadecimal.
func Prompt(parts ...string) string {
	var pairs []string
	for _, id := range parts {
		pairs = append(pairs, fmt.Sprintf("%s:%d", id, partTokens))
	}
	return strings.Join(pairs, ",")
}

// DeadlyPart is a part of a prompt that crashes each replica that is about to write the
// first event of an answer, unless it is the last part of the request. Set its fields before
// AddDeadlyPart.
type DeadlyPart struct {
	// ID is hexadecimal.
	ID string
	// Prefill is the time from the start of a run to the crash. Every second run sends the
	// head of its answer first.
	Prefill time.Duration
	// Downtime is the time from a crash until the replica is back.
	Downtime time.Duration

	mu sync.Mutex
	// arrivals are the times at which requests with the part reached replicas, refused ones
	// included, and crashes those of the crashes.
	arrivals, crashes []time.Time
}

// AddDeadlyPart makes p crash replicas from now on.
func (g *Grid) AddDeadlyPart(p *DeadlyPart) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadly = append(g.deadly, p)
}

// Times returns when requests with the part reached replicas and when replicas crashed on
// it, both in order.
func (p *DeadlyPart) Times() (arrivals, crashes []time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.arrivals), slices.Clone(p.crashes)
}

// deadlyPart returns the deadly part of a request and counts its arrival. It returns nil if
// the request has none.
func (g *Grid) deadlyPart(req *http.Request) *DeadlyPart {
	pairs := strings.Split(req.Header.Get(promptHeader), ",")
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, pair := range pairs[:len(pairs)-1] {
		id, _, _ := strings.Cut(pair, ":")
		for _, p := range g.deadly {
			if p.ID == id {
				p.mu.Lock()
				p.arrivals = append(p.arrivals, time.Now())
				p.mu.Unlock()
				return p
			}
		}
	}
	return nil
}

// runDeadly crashes r after the prefill time, unless the caller disconnects before.
func (r *Replica) runDeadly(w http.ResponseWriter, req *http.Request, p *DeadlyPart) {
	p.mu.Lock()
	sendHead := len(p.arrivals)%2 == 0
	p.mu.Unlock()
	if flusher, ok := w.(http.Flusher); ok && sendHead {
		flusher.Flush()
	}
	select {
	case <-time.After(p.Prefill):
	case <-req.Context().Done():
		return
	}
	if r.grid.Restart(r, p.Downtime) {
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		p.mu.Unlock()
	}
	panic(http.ErrAbortHandler)
}

// restartMark separates a replica's first id from the number of its restart.
const restartMark = "-restart-"

// Without KeepIDs, one restart in keptIDOneIn keeps the replica's id. A start is tried again
// after rebindDelay while another socket uses the port.
const (
	keptIDOneIn = 4
	rebindDelay = 50 * time.Millisecond
)

// Restart crashes r and starts it again after downtime, at the same address and without
// adapters, mostly with a new id. A replica that is draining by then doesn't come back. Restart
// reports false if r had crashed before.
func (g *Grid) Restart(r *Replica, downtime time.Duration) bool {
	if !r.crashed.CompareAndSwap(false, true) {
		return false
	}
	r.stopListening()
	next := g.successor(r)
	time.AfterFunc(downtime, func() { g.startAgain(r, next) })
	return true
}

// successor returns the replica that takes r's place.
func (g *Grid) successor(r *Replica) *Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restarts++
	next := &Replica{
		ID: r.ID, Service: r.Service, Zone: r.Zone, Version: r.Version, Model: r.Model, Slots: r.Slots, AdapterSlots: r.AdapterSlots, Load: r.Load,
		Events: r.Events, Pace: r.Pace, Linger: r.Linger, address: r.Address(), OnListen: func(string) string { return r.advertised },
	}
	if g.KeepIDs || g.restarts%keptIDOneIn == 0 {
		r.replaced.Store(true)
	} else {
		first, _, _ := strings.Cut(r.ID, restartMark)
		next.ID = fmt.Sprint(first, restartMark, g.restarts)
	}
	return next
}

func (g *Grid) startAgain(old, next *Replica) {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	old.mu.Lock()
	ready := old.state == "ready"
	old.mu.Unlock()
	if closed || !ready {
		return
	}
	old.releaseAddress()
	switch {
	case g.Start(next) != nil:
		time.AfterFunc(rebindDelay, func() { g.startAgain(old, next) })
	case g.OnRestart != nil:
		g.OnRestart(old, next)
	}
}
