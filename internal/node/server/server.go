// Package server runs one entry VM: the core and the duties round it.
package server

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/ring"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"
	"mangostile/internal/node/certs"
	"mangostile/internal/node/edge"
	"mangostile/internal/node/links"
	"mangostile/internal/node/meter"
	"mangostile/internal/plat/system"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// Options say what a Server is made of.
type Options struct {
	Core entry.Config
	Edge edge.Options
	// Logger takes a line for each event; nil drops them.
	Logger hclog.Logger
	// Meter counts; nil counts nothing. Run closes it.
	Meter  *meter.Meter
	System system.System
	Clock  clock.Clock
	// ServeListener takes callers, PeerListener other entry VMs, AdminListener
	// operators. The server closes them.
	ServeListener net.Listener
	PeerListener  net.Listener
	AdminListener net.Listener
	// ServeTLS and AdminTLS are nil for plain HTTP.
	ServeTLS *tls.Config
	AdminTLS *tls.Config
	// PeerTLS is nil for plain connections between entry VMs.
	PeerTLS *certs.Mutual
	HTTP    HTTPLimits
	// Admin answers operators.
	Admin func(*Server) fasthttp.RequestHandler
}

// Server is one entry VM.
type Server struct {
	options Options
	core    *entry.Core
	edge    *edge.Edge
	links   *links.Links
	inputs  *ring.Ring[input]
	appends *ring.Ring[event.AppendRecord]
	orders  *ring.Ring[event.OrderServer]
	polls   *ring.Ring[event.PollServer]
	tails   tails
	edits   editWaiters
	// decisions are kept for Explain.
	decisions decisionLines
	ready     atomic.Bool
	// left is closed once nothing is left to do after LeaveRequested.
	left chan struct{}
}

// input is one thing for the core's duty: an event, or a look at the core.
type input struct {
	event event.Event
	look  func(*entry.Core)
}

// Sizes of rings and pools.
const (
	inputRing   = 8192
	appendRing  = 4096
	orderRing   = 1024
	pollRing    = 1024
	orderDuties = 16
	pollDuties  = 16
	listPeriod  = time.Second
	leaveGrace  = 2 * time.Second
)

// New returns a server that is not running.
func New(options Options) *Server {
	if options.Logger == nil {
		options.Logger = hclog.NewNullLogger()
	}
	s := &Server{
		options: options,
		core:    entry.New(options.Core),
		inputs:  ring.New[input](inputRing),
		appends: ring.New[event.AppendRecord](appendRing),
		orders:  ring.New[event.OrderServer](orderRing),
		polls:   ring.New[event.PollServer](pollRing),
		left:    make(chan struct{}),
	}
	edgeOptions := options.Edge
	edgeOptions.Submit = s.Submit
	edgeOptions.Ready = s.ready.Load
	edgeOptions.Models = s.models
	edgeOptions.Clock = options.Clock
	edgeOptions.Logger = options.Logger
	edgeOptions.Meter = options.Meter
	edgeOptions.EntryVM = units.EntryVMID(options.Core.Self.ID)
	s.edge = edge.New(edgeOptions)
	s.links = links.New(links.Options{
		Self: edgeOptions.EntryVM, Deliver: func(ev event.PeerReceived) bool { return s.Submit(ev) }, TLS: options.PeerTLS, Logger: options.Logger,
	})
	return s
}

// Submit hands an event to the core. It reports false if there is no room.
func (s *Server) Submit(ev event.Event) bool { return s.inputs.Push(input{event: ev}) }

// Look runs f on the core's duty, between two events, and waits for it. It
// reports false if there is no room or ctx is done first.
func (s *Server) Look(ctx context.Context, f func(*entry.Core)) bool {
	done := make(chan struct{})
	ok := s.inputs.Push(input{look: func(c *entry.Core) {
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

// Ready reports whether the entry VM may be sent requests.
func (s *Server) Ready() bool { return s.ready.Load() }

// Links returns the links to other entry VMs.
func (s *Server) Links() *links.Links { return s.links }

// Leave makes the server finish what runs and then end Run.
func (s *Server) Leave() { s.Submit(event.LeaveRequested{}) }

// Run runs all duties until ctx is done or the server has left.
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
	group.Go(func() error { return s.links.Run(ctx, s.options.PeerListener) })
	for range orderDuties {
		group.Go(func() error { return s.runOrders(ctx) })
	}
	for range pollDuties {
		group.Go(func() error { return s.runPolls(ctx) })
	}
	group.Go(func() error {
		s.edge.WatchCallers(ctx)
		s.edge.Close()
		return nil
	})
	s.serveHTTP(ctx, group, withTLS(s.options.ServeListener, s.options.ServeTLS), s.edge.Handle)
	if s.options.AdminListener != nil {
		s.serveHTTP(ctx, group, withTLS(s.options.AdminListener, s.options.AdminTLS), s.adminHandler())
	}
	group.Go(func() error {
		select {
		case <-s.left:
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
	ticker := time.NewTicker(listPeriod)
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

func (s *Server) models(caller units.Caller) []units.AdapterVersion {
	limit, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var models []units.AdapterVersion
	var rows []*table.Row
	s.Look(limit, func(c *entry.Core) { rows = c.Table.UnsortedRows() })
	table.SortRows(rows)
	for _, row := range rows {
		if row.Enabled && row.Allows(caller) {
			models = append(models, units.AdapterVersion{Adapter: row.Adapter})
		}
	}
	return models
}
