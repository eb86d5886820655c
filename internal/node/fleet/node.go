// Package fleet runs one entry VM on a platform: it accepts callers' requests, forwards
// them to backend servers and places adapters while it is the placer of a shard.
package fleet

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/credit"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
	"mangostile/internal/node/conns"
	"mangostile/internal/node/door"
	"mangostile/internal/node/links"
	"mangostile/internal/node/meter"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Options configure a Node.
type Options struct {
	Settings Settings
	System   System
	Clock    clock.Clock
	// Logger receives a line for each decision; nil discards them.
	Logger hclog.Logger
	// Meter collects metrics; nil collects none. Node.Run closes it.
	Meter       *meter.Meter
	Incarnation units.Incarnation
	// Listeners are opened by Node.Run at the addresses of Settings if they are nil.
	// The node closes them.
	Listeners *Listeners
}

// Node is one entry VM. Create it with New.
type Node struct {
	settings    Settings
	system      System
	clock       clock.Clock
	log         hclog.Logger
	meter       *meter.Meter
	incarnation units.Incarnation
	// listeners is nil if Run has to open them.
	listeners *Listeners

	// startedAt is when the node was created.
	startedAt clock.Millis

	// mu guards core and servers.
	mu      sync.Mutex
	core    *choose.Core
	servers topo.Servers
	config  atomic.Pointer[topo.Config]
	ready   atomic.Bool

	configFeed  feed
	serversFeed feed

	pool    conns.Pool
	memory  quota.Pool
	links   *links.Links
	placers map[string]*placerWorker
	// reportNow requests a usage report ahead of its period.
	reportNow chan struct{}

	// members is the number of entry VMs that report to the placer of the own region.
	members atomic.Int32

	peers      peerBook
	traffic    traffic
	quarantine quarantine
	origins    origins
	starts     startKeeper
	ledger     ledgerKeeper
	credits    credits

	doors    doors
	callers  callers
	inFlight atomic.Int64
	delay    processDelay
	running  running

	// stoppedAt is the time of Stop, in ms, or 0.
	stoppedAt atomic.Int64
	// sendWindowOver is done once stopSendWindow has passed, graceOver once requests in
	// progress must end.
	sendWindowOver context.Context
	endSendWindow  context.CancelFunc
	graceOver      context.Context
	endGrace       context.CancelFunc
}

// New returns an entry VM that is not running.
func New(o Options) *Node {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	n := &Node{
		startedAt: o.Clock.Now(), settings: o.Settings, system: o.System, clock: o.Clock, log: o.Logger, meter: o.Meter, incarnation: o.Incarnation, listeners: o.Listeners,
		core:       choose.New(choose.Config{Self: o.Settings.ID, Domain: o.Settings.Domain, Region: o.Settings.Region, Policy: o.Settings.Choose}),
		configFeed: feed{name: FeedConfig}, serversFeed: feed{name: FeedServers}, pool: conns.Pool{Clock: o.Clock}, placers: map[string]*placerWorker{}, reportNow: make(chan struct{}, 1),
	}
	n.memory.Limit = quota.LimitOf(o.Settings.MemoryMB)
	n.openDoors()
	n.pool.Memory = &n.memory
	n.credits.core = newCredits(&o)
	n.quarantine.stored = newQuarantineStore(n, n)
	n.starts.kept.Limit = maxKeptStarts
	n.sendWindowOver, n.endSendWindow = context.WithCancel(context.Background())
	n.graceOver, n.endGrace = context.WithCancel(context.Background())
	n.links = links.New(links.Options{Self: o.Settings.ID, Deliver: n.received, OnSent: n.traffic.add, Logger: o.Logger, Memory: &n.memory})
	for _, region := range o.Settings.Regions {
		if shard := string(region); n.placers[shard] == nil {
			n.placers[shard] = newPlacerWorker(n, shard)
		}
	}
	return n
}

// received handles a message of another entry VM. It reports false if the message was
// dropped because the placer worker's queue is full or handling it failed.
func (n *Node) received(ev event.PeerReceived) (handled bool) {
	n.guard("message of "+string(ev.From), func() { handled = n.handleMessage(ev) })
	return handled
}

func (n *Node) handleMessage(ev event.PeerReceived) bool {
	switch m := ev.Message.(type) {
	case *peer.UsageReport:
		n.heardOf(peer.Member{ID: ev.From, Address: m.Address, Region: m.Region, Domain: m.Domain})
		if p := n.placers[m.Shard]; p != nil {
			return p.inputs.Push(usageInput{from: ev.From, usage: m})
		}
	case *peer.PlacementUpdate:
		n.heardOf(peer.Member{ID: ev.From, Address: m.Address})
		for _, member := range m.Members {
			n.heardOf(member)
		}
		n.applyPlacement(m)
		if p := n.placers[m.Shard]; p != nil {
			return p.inputs.Push(placementInput{from: ev.From, update: m})
		}
	case *peer.FeedUpdate:
		n.applyRelayed(m)
	case *peer.CrashNews:
		n.handleCrashNews(ev.From, m)
	case *peer.StreamStart:
		n.origins.add(n.clock.BootNow(), m.Start)
	case *peer.StreamStarts:
		n.starts.receive(ev.From, m)
	case *peer.StreamStartsKept:
		n.starts.confirm(m.Number)
	case *peer.OriginRequest:
		n.answerOrigin(ev.From, m)
	case *peer.OriginReply:
		n.origins.answered(m)
	case *peer.CreditRequest:
		n.heardOf(peer.Member{ID: ev.From, Address: m.Address, Region: n.settings.Regions[m.Domain], Domain: m.Domain})
		n.withCredits(func(core *credit.Core) { core.ReceiveRequest(n.clock.BootNow(), ev.From, m) })
	case *peer.CreditReply:
		n.withCredits(func(core *credit.Core) { core.ReceiveReply(n.clock.BootNow(), ev.From, m) })
	}
	return true
}

func (n *Node) applyPlacement(m *peer.PlacementUpdate) {
	n.withCore(func(core *choose.Core) { core.ApplyUpdate(n.clock.Now(), m) })
	if m.Shard == string(n.settings.Region) {
		n.members.Store(m.EntryVMs)
	}
}

// Run runs the entry VM until ctx is done, a stop requested by Stop has completed or a
// listener or worker fails. It returns the failure.
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
	front := &callerListener{Listener: opened.Front, callers: &n.callers, clock: n.clock}
	n.serve(ctx, group, &door.Listener{Listener: front, Door: &n.doors.front}, n.frontServer())
	n.serve(ctx, group, &door.Listener{Listener: opened.Ready, Door: &n.doors.ready}, innerServer(n.answerReady))
	if opened.Metrics != nil {
		n.serve(ctx, group, &door.Listener{Listener: opened.Metrics, Door: &n.doors.metrics}, innerServer(n.answerMetrics))
	}
	group.Go(func() error { return n.links.Run(ctx, &door.Listener{Listener: opened.Peers, Door: &n.doors.peers}) })
	group.Go(func() error { return n.follow(ctx, &n.configFeed, configPollTimeout, 0, n.applyConfig) })
	group.Go(func() error { return n.follow(ctx, &n.serversFeed, 0, serversReadPeriod, n.applyServers) })
	group.Go(func() error { return n.reportUsage(ctx) })
	group.Go(func() error { return n.sweep(ctx) })
	group.Go(func() error { return n.watchCallers(ctx) })
	group.Go(func() error { return n.reportTraffic(ctx) })
	group.Go(func() error { return n.syncCrashState(ctx) })
	group.Go(func() error { return n.keepCredits(ctx) })
	group.Go(func() error { return n.quarantine.stored.follow(ctx) })
	group.Go(func() error { return n.keepStarts(ctx) })
	group.Go(func() error { return n.keepLedger(ctx) })
	// Leases are released while the last answers are written.
	placing, endPlacing := context.WithCancel(ctx)
	defer context.AfterFunc(n.graceOver, endPlacing)()
	for _, p := range n.placers {
		group.Go(func() error { return p.run(placing) })
		group.Go(func() error { return p.followLease(placing) })
	}
	group.Go(func() error { return n.awaitStop(ctx, cancel, front) })
	n.log.Info("entry_vm_started", "entry_vm", n.settings.ID, "domain", n.settings.Domain, "region", n.settings.Region, "run", n.incarnation)
	err := group.Wait()
	n.log.Info("entry_vm_ended", "entry_vm", n.settings.ID, "in_flight", n.inFlight.Load(), "connections", n.callers.count(), "error", err)
	if closeErr := n.meter.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (n *Node) serve(ctx context.Context, group *errgroup.Group, listener net.Listener, server *http.Server) {
	group.Go(func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) || n.isStopping() && errors.Is(err, net.ErrClosed) {
			return nil
		}
		return errors.Wrap(err, "serve")
	})
	group.Go(func() error {
		<-ctx.Done()
		err := server.Close()
		if errors.Is(err, net.ErrClosed) {
			// A stop closes the listener of callers first.
			return nil
		}
		return errors.Wrap(err, "close server")
	})
}

func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready.Load() || n.isStopping() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServersPath is the path at the metrics address that lists the backend servers as JSON, as
// []choose.ServerStatus. All other paths have the metrics.
const ServersPath = "/servers"

func (n *Node) answerMetrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ServersPath {
		n.answerServers(w)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.meter.Write(w)
}

func (n *Node) answerServers(w http.ResponseWriter) {
	var list []choose.ServerStatus
	n.withCore(func(core *choose.Core) { list = core.Status(n.clock.Now()) })
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		n.log.Warn("servers_not_taken", "error", err)
	}
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
			n.meter.Held(&n.memory)
		}
	}
}

// Reload applies the policies and the handover interval of new settings. Addresses and
// names stay fixed until the process ends.
func (n *Node) Reload(s Settings) {
	n.withCore(func(core *choose.Core) { core.SetPolicy(s.Choose) })
	for _, p := range n.placers {
		p.inputs.Push(policyInput{policy: s.Homes, handoverInterval: s.HandoverInterval})
	}
	n.log.Info("settings_reloaded", "entry_vm", n.settings.ID)
}
