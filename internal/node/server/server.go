// Package server runs one entry VM: the deterministic core and the goroutines around it.
package server

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/quota"
	"mangostile/internal/base/ring"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"
	"mangostile/internal/node/certs"
	"mangostile/internal/node/door"
	"mangostile/internal/node/edge"
	"mangostile/internal/node/links"
	"mangostile/internal/node/meter"
	"mangostile/internal/plat/system"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Options configure a Server.
type Options struct {
	Core entry.Config
	Edge edge.Options
	// Logger receives a line for each event; nil discards them.
	Logger hclog.Logger
	// Meter collects metrics; nil collects none. Run closes it.
	Meter  *meter.Meter
	System system.System
	Clock  clock.Clock
	// ServeListener accepts callers, PeerListener other entry VMs, AdminListener
	// operators. The server closes them. AdminListener may be nil.
	ServeListener net.Listener
	PeerListener  net.Listener
	AdminListener net.Listener
	// ServeTLS and AdminTLS are nil for plain HTTP.
	ServeTLS *tls.Config
	AdminTLS *tls.Config
	// PeerTLS is nil for plain connections between entry VMs.
	PeerTLS *certs.Mutual
	HTTP    HTTPLimits
	// MemoryMB is the memory of the process in MiB; 0 means no limit.
	MemoryMB int
	// Admin returns the handler of the admin API.
	Admin func(*Server) fasthttp.RequestHandler
}

// Server is one entry VM: the core, the queues of its effects and the workers that
// execute them.
type Server struct {
	options Options
	core    *entry.Core
	edge    *edge.Edge
	links   *links.Links
	// memory is that of answers, events and messages of other entry VMs.
	memory  quota.Pool
	doors   doors
	inputs  *ring.Ring[input]
	appends *ring.Ring[event.AppendRecord]
	orders  *ring.Ring[event.OrderServer]
	polls   *ring.Ring[event.PollServer]
	tails   tails
	edits   editWaiters
	// decisions are the recent decisions that Explain returns.
	decisions decisionLines
	ready     atomic.Bool
	// leaveDone is closed when the core has finished all work after LeaveRequested.
	leaveDone chan struct{}
}

// input is one item for the core's goroutine: an event, or a read-only query of the
// core's state. A query is run instead of the event if it is not nil.
type input struct {
	event event.Event
	query func(*entry.Core)
}

// Capacities of the rings, sizes of the worker pools, and timing.
const (
	inputRing       = 8192
	appendRing      = 4096
	orderRing       = 1024
	pollRing        = 1024
	orderWorkers    = 16
	pollWorkers     = 16
	vmListPeriod    = time.Second
	shutdownTimeout = 2 * time.Second
)

// New returns a server; Run starts it.
func New(options Options) *Server {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	s := &Server{
		options:   options,
		core:      entry.New(options.Core),
		inputs:    ring.New[input](inputRing),
		appends:   ring.New[event.AppendRecord](appendRing),
		orders:    ring.New[event.OrderServer](orderRing),
		polls:     ring.New[event.PollServer](pollRing),
		leaveDone: make(chan struct{}),
	}
	edgeOptions := options.Edge
	edgeOptions.Submit = s.Submit
	edgeOptions.Ready = s.ready.Load
	edgeOptions.Models = s.models
	edgeOptions.Clock = options.Clock
	edgeOptions.Logger = options.Logger
	edgeOptions.Meter = options.Meter
	edgeOptions.EntryVM = units.EntryVMID(options.Core.Self.ID)
	s.memory.Limit = quota.LimitOf(options.MemoryMB)
	edgeOptions.Memory = &s.memory
	s.openDoors()
	s.edge = edge.New(edgeOptions)
	s.links = links.New(links.Options{
		Self: edgeOptions.EntryVM, Deliver: func(ev event.PeerReceived) bool { return s.Submit(ev) }, TLS: options.PeerTLS, Logger: options.Logger,
		Memory: &s.memory,
	})
	return s
}

// Submit queues an event for the core. It reports false if the queue is full.
func (s *Server) Submit(ev event.Event) bool { return s.inputs.Push(input{event: ev}) }

// Query runs f on the core's goroutine, between two events, and waits until f has
// returned. It reports false if the queue is full or ctx is done first; in the latter case
// f may still run later.
func (s *Server) Query(ctx context.Context, f func(*entry.Core)) bool {
	done := make(chan struct{})
	ok := s.inputs.Push(input{query: func(c *entry.Core) {
		f(c)
		close(done)
	}})
	if !ok {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Ready reports whether the entry VM can serve requests.
func (s *Server) Ready() bool { return s.ready.Load() }

// Links returns the links to other entry VMs.
func (s *Server) Links() *links.Links { return s.links }

// Leave starts a graceful shutdown: Run returns when all open work has finished.
//
// It waits while the core's queue is full, for leaveRetries times leaveRetryPeriod at most.
func (s *Server) Leave() {
	for range leaveRetries {
		if s.Submit(event.LeaveRequested{}) {
			return
		}
		time.Sleep(leaveRetryPeriod)
	}
}

// Attempts to pass on a request to leave to the core.
const (
	leaveRetries     = 500
	leaveRetryPeriod = 20 * time.Millisecond
)

// Run runs all goroutines of the server until ctx is done or a shutdown by Leave is
// complete.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s.tails.start(ctx, group, s)
	group.Go(func() error { return s.runCore(ctx) })
	group.Go(func() error { return s.runTicks(ctx) })
	group.Go(func() error { return s.runAppends(ctx) })
	group.Go(func() error { return s.runVMList(ctx) })
	group.Go(func() error { return s.runGauges(ctx) })
	group.Go(func() error {
		return s.links.Run(ctx, &door.Listener{Listener: s.options.PeerListener, Door: &s.doors.peers})
	})
	for range orderWorkers {
		group.Go(func() error { return s.runOrders(ctx) })
	}
	for range pollWorkers {
		group.Go(func() error { return s.runPolls(ctx) })
	}
	group.Go(func() error {
		s.edge.WatchCallers(ctx)
		s.edge.Close()
		return nil
	})
	s.serveHTTP(ctx, group, &door.Listener{Listener: withTLS(s.options.ServeListener, s.options.ServeTLS), Door: &s.doors.serve}, s.edge.Handle)
	if s.options.AdminListener != nil {
		s.serveHTTP(ctx, group, &door.Listener{Listener: withTLS(s.options.AdminListener, s.options.AdminTLS), Door: &s.doors.admin}, s.adminHandler())
	}
	group.Go(func() error {
		select {
		case <-s.leaveDone:
			s.options.Logger.Info("entry_vm_left", "entry_vm", s.options.Core.Self.ID)
			cancel()
		case <-ctx.Done():
		}
		return nil
	})
	err := group.Wait()
	if closeErr := s.options.Meter.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (s *Server) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(event.TickPeriod.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.Submit(event.Tick{})
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) runVMList(ctx context.Context) error {
	ticker := time.NewTicker(vmListPeriod)
	defer ticker.Stop()
	for {
		vms, err := s.options.System.ListVMs(ctx)
		if err == nil && len(vms) > 0 {
			s.mustSubmit(ctx, event.VMsListed{VMs: vms})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// models returns the enabled adapters that caller may use, sorted by name.
func (s *Server) models(caller units.Caller) []units.AdapterVersion {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var models []units.AdapterVersion
	var rows []*table.Row
	s.Query(ctx, func(c *entry.Core) { rows = c.Table.UnsortedRows() })
	table.SortRows(rows)
	for _, row := range rows {
		if row.Enabled && row.Allows(caller) {
			models = append(models, units.AdapterVersion{Adapter: row.Adapter})
		}
	}
	return models
}
