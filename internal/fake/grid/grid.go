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

	address  string
	listener net.Listener
	mu       sync.Mutex
	runs     map[string]int
	wrongs   map[string]int
	replicas []*Replica
	stop     chan struct{}
	group    sync.WaitGroup
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
	for _, r := range g.replicas {
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
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}
	g.replicas = append(g.replicas, r)
	g.group.Go(func() { _ = r.server.Serve(listener) })
	g.group.Go(func() { g.beat(r) })
	return nil
}

func (g *Grid) beat(r *Replica) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for {
		g.announce(r)
		select {
		case <-ticker.C:
		case <-g.stop:
			return
		}
	}
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

// ran counts a run of a request.
func (g *Grid) ran(id, what, resumed string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if resumed == "" {
		g.runs[id+" "+what]++
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
	for _, r := range g.replicas {
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
	for _, r := range g.replicas {
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
