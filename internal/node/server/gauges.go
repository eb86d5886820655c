package server

import (
	"context"
	"runtime"
	"time"

	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"

	"github.com/valyala/fasthttp"
)

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = time.Second

// adminHandler serves the paths that need no token itself and passes all others to
// the admin API.
func (s *Server) adminHandler() fasthttp.RequestHandler {
	admin := s.options.Admin(s)
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			ctx.SetContentType("text/plain; version=0.0.4")
			s.options.Meter.Write(ctx)
		case "/healthz", "/readyz":
			s.edge.Handle(ctx)
		default:
			admin(ctx)
		}
	}
}

// runGauges updates the gauges every gaugePeriod.
func (s *Server) runGauges(ctx context.Context) error {
	if s.options.Meter == nil {
		return nil
	}
	ticker := time.NewTicker(gaugePeriod)
	defer ticker.Stop()
	for {
		s.setGauges(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Server) setGauges(ctx context.Context) {
	m := s.options.Meter
	for name, depth := range map[string]int{
		"inputs": s.inputs.Len(), "appends": s.appends.Len(), "orders": s.orders.Len(), "polls": s.polls.Len(),
	} {
		m.Set("ring_depth", float64(depth), "ring", name)
	}
	m.Held(&s.memory)
	frames, bytes := s.links.Sent().Counts()
	m.Set("link_sent_frames", float64(frames))
	m.Set("link_sent_bytes", float64(bytes))
	frames, bytes = s.links.Received().Counts()
	m.Set("link_received_frames", float64(frames))
	m.Set("link_received_bytes", float64(bytes))
	m.Set("open_requests", float64(s.edge.OpenRequests()))
	m.Set("goroutines", float64(runtime.NumGoroutine()))
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	m.Set("heap_bytes", float64(memory.HeapAlloc))
	queryCtx, cancel := context.WithTimeout(ctx, gaugePeriod)
	defer cancel()
	s.Query(queryCtx, s.setCoreGauges)
}

// setCoreGauges sets the gauges of the core's state and of the load of the engines that
// this entry VM owns.
func (s *Server) setCoreGauges(c *entry.Core) {
	m := s.options.Meter
	ready := 0.0
	if c.Ready() {
		ready = 1
	}
	m.Set("ready", ready)
	m.Set("table_revision", float64(c.Table.Next()))
	m.Set("members", float64(len(c.Members.Members())))
	for _, b := range c.Router.Servers() {
		if b.Spec.Kind != event.KindEngine || c.Members.OwnerOf(b.ID()) != c.Members.SelfID() {
			continue
		}
		id := string(b.ID())
		m.Set("backend_running", float64(b.Summary.Running), "backend_server", id)
		m.Set("backend_waiting", float64(b.Summary.Waiting), "backend_server", id)
		m.Set("backend_batch_max", float64(b.Summary.BatchMax), "backend_server", id)
		m.Set("backend_resident", float64(len(b.Summary.Resident)), "backend_server", id)
	}
}
