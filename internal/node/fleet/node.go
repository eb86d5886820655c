// Package fleet runs one entry VM on a platform: it takes callers, forwards their
// requests to backend servers and places adapters while it is the placer of a shard.
package fleet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
	"mangostile/internal/node/conns"
	"mangostile/internal/node/links"
	"mangostile/internal/node/meter"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Options say what a Node is made of.
type Options struct {
	Settings Settings
	System   System
	Clock    clock.Clock
	// Logger takes a line for each decision; nil drops them.
	Logger hclog.Logger
	// Meter counts; nil counts nothing. Run closes it.
	Meter *meter.Meter
	Run   units.Incarnation
	// Listeners are opened by Run at the addresses of Settings if they are nil. The
	// node closes them.
	Listeners *Listeners
}

// Node is one entry VM. Make it with New.
type Node struct {
	settings Settings
	system   System
	clock    clock.Clock
	log      hclog.Logger
	meter    *meter.Meter
	run      units.Incarnation
	// listeners is nil if Run opens them.
	listeners *Listeners

	// mu guards core and servers.
	mu      sync.Mutex
	core    *choose.Core
	servers topo.Servers
	config  atomic.Pointer[topo.Config]
	ready   atomic.Bool

	configFeed  feed
	serversFeed feed

	pool    conns.Pool
	links   *links.Links
	placers map[string]*placing
	// kick asks for a usage report before its time.
	kick chan struct{}

	stopping  atomic.Bool
	stoppedAt atomic.Int64
	inFlight  atomic.Int64
}

// New returns an entry VM that is not running.
func New(o Options) *Node {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	n := &Node{
		settings: o.Settings, system: o.System, clock: o.Clock, log: o.Logger, meter: o.Meter, run: o.Run, listeners: o.Listeners,
		core:       choose.New(choose.Config{Self: o.Settings.ID, Domain: o.Settings.Domain, Region: o.Settings.Region, Policy: o.Settings.Choose}),
		configFeed: feed{name: FeedConfig}, serversFeed: feed{name: FeedServers}, pool: conns.Pool{Clock: o.Clock}, placers: map[string]*placing{}, kick: make(chan struct{}, 1),
	}
	n.links = links.New(links.Options{Self: o.Settings.ID, Deliver: n.received, Logger: o.Logger})
	for _, region := range o.Settings.Regions {
		if shard := string(region); n.placers[shard] == nil {
			n.placers[shard] = newPlacing(n, shard)
		}
	}
	return n
}

// received takes a message of another entry VM.
func (n *Node) received(ev event.PeerReceived) bool {
	switch m := ev.Message.(type) {
	case *peer.Usage:
		if p := n.placers[m.Shard]; p != nil {
			return p.inputs.Push(usedInput{from: ev.From, usage: m})
		}
	case *peer.Homes:
		n.homes(m)
		if p := n.placers[m.Shard]; p != nil {
			return p.inputs.Push(toldInput{from: ev.From, news: m})
		}
	case *peer.FeedNews:
		n.takeRelayed(m)
	}
	return true
}

func (n *Node) homes(m *peer.Homes) {
	n.mu.Lock()
	n.core.Homes(n.clock.Now(), m)
	n.mu.Unlock()
}

// Run runs all duties until ctx is done or Stop has been carried out.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opened := n.listeners
	if opened == nil {
		var err error
		if opened, err = Listen(ctx, &n.settings); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	frontServer := n.frontServer()
	n.serve(ctx, group, callerListener{opened.Front}, frontServer)
	n.serve(ctx, group, opened.Ready, &http.Server{Handler: http.HandlerFunc(n.answerReady), ReadHeaderTimeout: headerTimeout})
	if opened.Metrics != nil {
		n.serve(ctx, group, opened.Metrics, &http.Server{Handler: http.HandlerFunc(n.answerMetrics), ReadHeaderTimeout: headerTimeout})
	}
	group.Go(func() error { return n.links.Run(ctx, opened.Peers) })
	group.Go(func() error { return n.follow(ctx, &n.configFeed, configWait, 0, n.takeConfig) })
	group.Go(func() error { return n.follow(ctx, &n.serversFeed, 0, serversPeriod, n.takeServers) })
	group.Go(func() error { return n.reportUsage(ctx) })
	group.Go(func() error { return n.sweep(ctx) })
	for _, p := range n.placers {
		group.Go(func() error { return p.run(ctx) })
		group.Go(func() error { return p.followLease(ctx) })
	}
	group.Go(func() error { return n.awaitStop(ctx, cancel, frontServer) })
	n.log.Info("entry_vm_started", "entry_vm", n.settings.ID, "domain", n.settings.Domain, "region", n.settings.Region, "run", n.run)
	err := group.Wait()
	n.log.Info("entry_vm_ended", "entry_vm", n.settings.ID, "error", err)
	if closeErr := n.meter.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (n *Node) serve(ctx context.Context, group *errgroup.Group, listener net.Listener, server *http.Server) {
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, "serve")
	})
	group.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(server.Close(), "close server")
	})
}

func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready.Load() || n.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.meter.Write(w)
}

const sweepPeriod = time.Second

func (n *Node) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.pool.Sweep()
		}
	}
}

// Reload takes over settings of decisions. Addresses and names hold until the
// process ends.
func (n *Node) Reload(s Settings) {
	n.mu.Lock()
	n.core.SetPolicy(s.Choose)
	n.mu.Unlock()
	for _, p := range n.placers {
		p.inputs.Push(policyInput{policy: s.Homes, turn: s.Turn})
	}
	n.log.Info("settings_reloaded", "entry_vm", n.settings.ID)
}

// Times of a stop.
const (
	// stopNotice is how long a stopping entry VM takes connections, until the
	// balancer has seen that it is not ready.
	stopNotice = 2500 * time.Millisecond
	// stopKeptAlive is when kept connections are closed that are idle, so that
	// callers send their next request to another entry VM.
	stopKeptAlive = 2200 * time.Millisecond
	// stopReserve is what is left of the grace when the process ends at the latest.
	stopReserve = 400 * time.Millisecond
	stopPoll    = 50 * time.Millisecond
	// stopQuiet is the number of polls in a row without a request after which a
	// stopping process ends.
	stopQuiet = 6
)

// quiet counts polls without a request. The zero value has counted none.
type quiet int

// poll reports whether requests have been gone for long enough. It goes by polls and
// not by time: between two polls a process that was short of processor time has come
// to read what has arrived.
func (q *quiet) poll(inFlight int64) bool {
	if inFlight > 0 {
		*q = 0
		return false
	}
	*q++
	return *q >= stopQuiet
}

// Stop makes the entry VM finish what it has and end.
func (n *Node) Stop() {
	if n.stopping.CompareAndSwap(false, true) {
		n.stoppedAt.Store(int64(n.clock.Now()))
		n.log.Info("entry_vm_stopping", "entry_vm", n.settings.ID, "in_flight", n.inFlight.Load())
	}
}

func (n *Node) awaitStop(ctx context.Context, cancel func(), front *http.Server) error {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	var left quiet
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !n.stopping.Load() {
			continue
		}
		since := (n.clock.Now() - clock.Millis(n.stoppedAt.Load())).Duration()
		if since >= stopKeptAlive {
			front.SetKeepAlivesEnabled(false)
		}
		if since >= stopNotice && left.poll(n.inFlight.Load()) || since >= n.settings.Grace.Duration()-stopReserve {
			cancel()
			return nil
		}
	}
}
