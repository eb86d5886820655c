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

// PromptHeader is the header with the parts of a prompt, in order, as ID:TOKENS pairs.
const PromptHeader = "Prompt-Prefix"

// Prompt returns the value of the header with a prompt's parts. The ids are hexadecimal.
func Prompt(parts ...string) string {
	var pairs []string
	for _, id := range parts {
		pairs = append(pairs, fmt.Sprintf("%s:%d", id, partTokens))
	}
	return strings.Join(pairs, ",")
}

// Deadly is what crashes each replica that is about to answer: a part of a prompt, unless it is
// the last part of the request, or a path. Set its fields before AddDeadly.
type Deadly struct {
	// Part is the hexadecimal id of the part. It crashes engines only.
	Part string
	// Path is that of the requests that crash replicas of any service; empty for none.
	Path string
	// Prefill is the time from the start of a run to the crash. Every second run on an engine sends
	// the head of its answer first.
	Prefill time.Duration
	// Downtime is the time from a crash until the replica is back.
	Downtime time.Duration

	mu sync.Mutex
	// arrivals are the times at which such requests reached replicas, refused ones
	// included, and crashes those of the crashes.
	arrivals, crashes []time.Time
}

// AddDeadly makes d crash replicas from now on.
func (g *Grid) AddDeadly(d *Deadly) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deadly = append(g.deadly, d)
}

// Times returns when such requests reached replicas and when replicas crashed on them, both in
// order.
func (d *Deadly) Times() (arrivals, crashes []time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.arrivals), slices.Clone(d.crashes)
}

// deadlyOf returns what of a request crashes replicas and counts its arrival. It returns nil if
// nothing does.
func (g *Grid) deadlyOf(req *http.Request) *Deadly {
	pairs := strings.Split(req.Header.Get(PromptHeader), ",")
	var ids []string
	for _, pair := range pairs[:len(pairs)-1] {
		id, _, _ := strings.Cut(pair, ":")
		ids = append(ids, id)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.deadly {
		if d.Path != "" && d.Path == req.URL.Path || slices.Contains(ids, d.Part) {
			d.mu.Lock()
			d.arrivals = append(d.arrivals, time.Now())
			d.mu.Unlock()
			return d
		}
	}
	return nil
}

// runDeadly crashes r after the prefill time, unless the caller disconnects before.
func (r *Replica) runDeadly(w http.ResponseWriter, req *http.Request, d *Deadly) {
	d.mu.Lock()
	sendHead := r.Model != "" && len(d.arrivals)%2 == 0
	d.mu.Unlock()
	if flusher, ok := w.(http.Flusher); ok && sendHead {
		flusher.Flush()
	}
	select {
	case <-time.After(d.Prefill):
	case <-req.Context().Done():
		return
	}
	if r.grid.Restart(r, d.Downtime) {
		d.mu.Lock()
		d.crashes = append(d.crashes, time.Now())
		d.mu.Unlock()
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
