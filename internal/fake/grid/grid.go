package grid

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/fake/keylog"
)

// beatPeriod is the time between two entries of a replica.
const beatPeriod = 300 * time.Millisecond

// Grid is the stand-in of the platform. Make it with New.
type Grid struct {
	Store *keylog.Store
	// Turn is the least time between orders of two holders to one replica.
	Turn time.Duration
	// Ran is told of each run as it begins; nil is told nothing. It is set before
	// replicas start.
	Ran func(Run)

	address  string
	listener net.Listener
	mu       sync.Mutex
	runs     map[string]int
	wrongs   map[string]int
	replicas []*Replica
	// excusedUntil is when orders that come in turns count again.
	excusedUntil time.Time
	stop         chan struct{}
	group        sync.WaitGroup
}

// New starts a store without replicas.
func New(turn time.Duration) (*Grid, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Grid{Store: &keylog.Store{}, Turn: turn, address: listener.Addr().String(), listener: listener, runs: map[string]int{}, wrongs: map[string]int{}, stop: make(chan struct{})}
	server := &http.Server{Handler: g.Store, ReadHeaderTimeout: time.Second}
	g.group.Go(func() { _ = server.Serve(listener) })
	g.group.Go(func() {
		<-g.stop
		_ = server.Close()
	})
	return g, nil
}

// StoreAddress returns where the store listens.
func (g *Grid) StoreAddress() string { return g.address }

// Close ends the grid and its replicas.
func (g *Grid) Close() {
	close(g.stop)
	for _, r := range g.list() {
		_ = r.server.Close()
	}
	g.group.Wait()
}

// Start starts a replica and has it tell of itself.
func (g *Grid) Start(r *Replica) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.grid, r.listener, r.born, r.state, r.held = g, listener, time.Now().UnixMilli(), "ready", map[string]time.Time{}
	r.advertised = r.Address()
	if r.OnListen != nil {
		r.advertised = r.OnListen(r.advertised)
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}
	g.mu.Lock()
	g.replicas = append(g.replicas, r)
	g.mu.Unlock()
	g.group.Go(func() { _ = r.server.Serve(listener) })
	// Whoever starts after r finds its entry.
	g.announce(r)
	g.group.Go(func() { g.beat(r) })
	return nil
}

func (g *Grid) beat(r *Replica) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for !r.crashed.Load() {
		g.announce(r)
		select {
		case <-ticker.C:
		case <-g.stop:
			return
		}
	}
	select {
	case <-time.After(g.lapse()):
		g.Store.Put("keyed.servers", r.ID, nil)
	case <-g.stop:
	}
}

// lapseBeats is the time in beats after which the entry of a crashed replica is
// dropped.
const lapseBeats = 8

func (g *Grid) lapse() time.Duration { return lapseBeats * beatPeriod }

// Crash ends r at once. Its entry lapses later.
func (g *Grid) Crash(r *Replica) {
	r.crashed.Store(true)
	_ = r.server.Close()
}

// Excuse leaves orders out of the count of turns for a time: those that were held
// up by a paused sender or a cut link.
func (g *Grid) Excuse(term time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.excusedUntil = time.Now().Add(term)
}

func (g *Grid) excused(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.excusedUntil)
}

func (g *Grid) list() []*Replica {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]*Replica(nil), g.replicas...)
}

func (g *Grid) announce(r *Replica) {
	value, err := json.Marshal(r.entry())
	if err != nil {
		return
	}
	if r.gone() {
		value = nil
	}
	g.Store.Put("keyed.servers", r.ID, value)
}

func (r *Replica) gone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == "gone"
}

// SetState changes what r says of its state: ready, draining or gone.
func (g *Grid) SetState(r *Replica, state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	g.announce(r)
}

// Configure writes the operator's configuration.
func (g *Grid) Configure(config any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	g.Store.Put("keyed.op", "config", value)
	return nil
}

// Run is one run of a request at a replica.
type Run struct {
	ID      string
	Replica string
	Service string
	// Resumed is the last event of an earlier run, empty for a run from the
	// beginning.
	Resumed string
	At      time.Time
	// Done is closed when the run has ended.
	Done <-chan struct{}
}

// ran counts a run of a request.
func (g *Grid) ran(run Run, what string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run.Resumed == "" {
		g.runs[run.ID+" "+what]++
	}
	if g.Ran != nil {
		g.Ran(run)
	}
}

func (g *Grid) count(wrong string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wrongs[wrong]++
}

// Runs returns how often a request ran from its beginning.
func (g *Grid) Runs(id, what string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id+" "+what]
}

// Running returns how many requests run.
func (g *Grid) Running() int {
	n := 0
	for _, r := range g.list() {
		r.mu.Lock()
		n += r.running
		r.mu.Unlock()
	}
	return n
}

// Holder returns who gave the last order.
func (g *Grid) Holder() units.EntryVMID {
	var holder string
	var at time.Time
	for _, r := range g.list() {
		r.mu.Lock()
		if r.holderAt.After(at) {
			holder, at = r.holder, r.holderAt
		}
		r.mu.Unlock()
	}
	return units.EntryVMID(holder)
}

// Wrongs lists what must never happen and did.
func (g *Grid) Wrongs() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for wrong := range g.wrongs {
		list = append(list, wrong)
	}
	sort.Strings(list)
	return list
}
