package grid

import (
	"cmp"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/fake/keylog"
)

// heartbeatPeriod is the time between two writes of a replica's entry to the store.
const heartbeatPeriod = 300 * time.Millisecond

// Grid is the stand-in of the platform. Create it with New.
type Grid struct {
	Store *keylog.Store
	// HandoverInterval is the least time between orders of two holders to one replica.
	HandoverInterval time.Duration
	// OnRun, if not nil, is called as each run starts. It must not call the Grid's methods,
	// because mu is held. Set it before replicas start.
	OnRun func(Run)
	// OnBackoff, if not nil, is called for each request that a replica refuses during a
	// back-off. It must not call the Grid's methods.
	OnBackoff func(Refusal)
	// OnRestart, if not nil, is called after Restart has started next in place of old. Set
	// it before replicas start.
	OnRestart func(old, next *Replica)
	// KeepIDs makes Restart always keep the replica's id. Set it before the first crash.
	KeepIDs bool

	address    string
	listener   net.Listener
	mu         sync.Mutex
	runs       map[string]int
	violations map[string]int
	replicas   []*Replica
	deadly     []*Deadly
	// restarts counts the restarts of replicas.
	restarts int
	// closed reports whether Close was called. No replica starts from then on.
	closed bool
	// uncheckedUntil is the time until which handover intervals and fences are not checked.
	uncheckedUntil time.Time
	stop           chan struct{}
	group          sync.WaitGroup
}

// New starts the store, without replicas.
func New(handoverInterval time.Duration) (*Grid, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Grid{Store: &keylog.Store{}, HandoverInterval: handoverInterval, address: listener.Addr().String(), listener: listener, runs: map[string]int{}, violations: map[string]int{}, stop: make(chan struct{})}
	server := &http.Server{Handler: g.Store, ReadHeaderTimeout: time.Second}
	g.group.Go(func() { _ = server.Serve(listener) })
	g.group.Go(func() {
		<-g.stop
		_ = server.Close()
	})
	return g, nil
}

// StoreAddress returns the host and port on which the store listens.
func (g *Grid) StoreAddress() string { return g.address }

// Close stops the store and the replicas.
func (g *Grid) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	close(g.stop)
	for _, r := range g.list() {
		_ = r.server.Close()
	}
	g.group.Wait()
	for _, r := range g.list() {
		r.releaseAddress()
	}
}

// Start starts a replica, which writes its entry to the store periodically.
func (g *Grid) Start(r *Replica) error {
	listener, err := net.Listen("tcp4", cmp.Or(r.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	r.grid, r.listener, r.startedAt, r.state, r.adapters = g, listener, time.Now().UnixMilli(), "ready", map[string]time.Time{}
	r.advertised = r.Address()
	if r.OnListen != nil {
		r.advertised = r.OnListen(r.advertised)
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Second}
	// The entry is in the store before Start returns.
	g.announce(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errors.Join(errors.New("the grid is closed"), listener.Close())
	}
	g.replicas = append(g.replicas, r)
	g.group.Go(func() { _ = r.server.Serve(listener) })
	g.group.Go(func() { g.sendHeartbeats(r) })
	return nil
}

func (g *Grid) sendHeartbeats(r *Replica) {
	ticker := time.NewTicker(heartbeatPeriod)
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
	case <-time.After(g.entryExpiry()):
		if !r.replaced.Load() {
			g.Store.Put("keyed.servers", r.ID, nil)
		}
	case <-g.stop:
	}
}

// expiryHeartbeats is the delay from the first heartbeat that a crashed replica misses until
// its entry is dropped, in heartbeats.
const expiryHeartbeats = 8

func (g *Grid) entryExpiry() time.Duration { return expiryHeartbeats * heartbeatPeriod }

// Crash stops r at once. Its entry is dropped only after the expiry time.
func (g *Grid) Crash(r *Replica) {
	r.crashed.Store(true)
	r.stopListening()
}

// SuspendOrderChecks skips the checks of handover intervals and fences for a time, because
// a paused sender or a cut link can deliver orders late.
func (g *Grid) SuspendOrderChecks(duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.uncheckedUntil = time.Now().Add(duration)
}

func (g *Grid) orderChecksSuspended(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.uncheckedUntil)
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
	if r.removed() {
		value = nil
	}
	g.Store.Put("keyed.servers", r.ID, value)
}

func (r *Replica) removed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == "gone"
}

// SetState changes the state in r's entry: ready, draining or gone; gone drops the entry.
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

// Run is one execution of a request on a replica.
type Run struct {
	ID      string
	Replica string
	// Version is that of the replica's software.
	Version string
	Service string
	// ResumedFrom is the id of the last event of an earlier run, empty for a run from the
	// beginning.
	ResumedFrom string
	At          time.Time
	// Remaining is the time that the replica was given; 0 if it was given none.
	Remaining time.Duration
	// Header is that of the request.
	Header http.Header
	// Done is closed at the end of the run.
	Done <-chan struct{}
}

// Refusal is a request that a replica refused while it asked for no requests for the time Backoff.
type Refusal struct {
	ID      string
	Replica string
	At      time.Time
	Backoff time.Duration
}

func (g *Grid) noteBackoff(r Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.OnBackoff != nil {
		g.OnBackoff(r)
	}
}

// countRun counts a run, unless it resumes an earlier one, and passes it to OnRun.
func (g *Grid) countRun(run Run, call string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run.ResumedFrom == "" {
		g.runs[run.ID+" "+call]++
	}
	if g.OnRun != nil {
		g.OnRun(run)
	}
}

func (g *Grid) countViolation(violation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.violations[violation]++
}

// Runs returns how often a request ran from its beginning. call is its method and request
// URI without a space between them.
func (g *Grid) Runs(id, call string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id+" "+call]
}

// Running returns the number of requests in flight on all replicas.
func (g *Grid) Running() int {
	n := 0
	for _, r := range g.list() {
		r.mu.Lock()
		n += r.running
		r.mu.Unlock()
	}
	return n
}

// Holder returns the entry VM that sent the latest order, empty if there was none. Orders
// received while the order checks are suspended don't count.
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

// Violations lists the kinds of violation that occurred, sorted.
func (g *Grid) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for violation := range g.violations {
		list = append(list, violation)
	}
	sort.Strings(list)
	return list
}
