package server

import (
	"context"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/plat/system"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// runCore feeds the core and carries its effects to the other duties.
func (s *Server) runCore(ctx context.Context) error {
	var out event.Effects
	for {
		in, ok := s.inputs.Pop(ctx)
		if !ok {
			return nil
		}
		if in.look != nil {
			in.look(s.core)
			continue
		}
		out.Reset()
		s.core.Step(s.options.Clock.Now(), in.event, &out)
		s.ready.Store(s.core.Ready())
		for _, effect := range out.List {
			s.carry(effect)
		}
	}
}

// carry hands one effect to the duty that does it. It never blocks; what finds
// no room fails as if it had not been sent.
func (s *Server) carry(effect event.Effect) {
	switch effect := effect.(type) {
	case event.Dispatch:
		s.edge.Do(effect.Request, effect)
	case event.Refuse:
		s.edge.Do(effect.Request, effect)
	case event.Replay:
		s.edge.Do(effect.Request, effect)
	case event.CancelDispatch:
		s.edge.Do(effect.Request, effect)
	case event.SendPeer:
		s.links.Send(effect.To, effect.Address, effect.Message)
	case event.AppendRecord:
		if !s.appends.Push(effect) {
			s.Submit(event.AppendDone{Stream: effect.Stream, ID: effect.ID, Result: event.AppendRefused})
		}
	case event.TailStream:
		s.tails.tail(effect)
	case event.StopTail:
		s.tails.stop(effect.Stream)
	case event.OrderServer:
		if !s.orders.Push(effect) {
			s.Submit(event.OrderDone{Server: effect.Server, Order: effect.Order, Result: event.OrderResult{Kind: event.OrderNotSent}})
		}
	case event.PollServer:
		s.polls.Push(effect)
	case event.AnswerEdit:
		s.edits.answer(effect)
	case event.Decision:
		s.logDecision(effect)
	case event.LeaveDone:
		close(s.left)
	}
}

func (s *Server) logDecision(d event.Decision) {
	s.decisions.add(clock.WallNow(), d)
	pairs := make([]any, 0, 6+len(d.Pairs))
	if d.Request != "" {
		pairs = append(pairs, "request", d.Request)
	}
	pairs = append(pairs, "choice", d.Choice, "reason", d.Reason)
	s.options.Logger.Info("decision_"+d.Area, append(pairs, d.Pairs...)...)
}

// runOrders carries out orders to model engines.
func (s *Server) runOrders(ctx context.Context) error {
	for {
		order, ok := s.orders.Pop(ctx)
		if !ok {
			return nil
		}
		sentAt := s.options.Clock.Now()
		result := event.OrderResult{Kind: event.OrderNotSent, Reason: "the right to order has run out"}
		if sentAt+system.DialTimeout <= order.Order.NotAfter {
			result = s.options.System.OrderServer(ctx, order.Address, order.Order)
		}
		s.mustSubmit(ctx, event.OrderDone{Server: order.Server, Order: order.Order, Result: result, SentAt: sentAt})
	}
}

// runPolls fetches backend servers' reports.
func (s *Server) runPolls(ctx context.Context) error {
	for {
		poll, ok := s.polls.Pop(ctx)
		if !ok {
			return nil
		}
		sentAt := s.options.Clock.Now()
		report, err := s.options.System.ReportServer(ctx, poll.Address)
		if err != nil {
			var notTaken *system.NotTakenError
			s.Submit(event.ReportFailed{Server: poll.Server, Refused: errors.As(err, &notTaken)})
			continue
		}
		s.Submit(event.ReportReceived{Server: poll.Server, Report: report, SentAt: sentAt})
	}
}

// mustSubmit waits for room: the core needs the event to go on.
func (s *Server) mustSubmit(ctx context.Context, ev event.Event) {
	for !s.Submit(ev) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// Bounds of one append. The record that passes maxAppendBytes is the last.
const (
	maxAppendBatch = 256
	maxAppendBytes = 1 << 20
)

// runAppends appends records, as many of one stream together as are waiting.
func (s *Server) runAppends(ctx context.Context) error {
	for {
		first, ok := s.appends.Pop(ctx)
		if !ok {
			return nil
		}
		batches := map[units.StreamName][]event.AppendRecord{first.Stream: {first}}
		size := len(first.Body)
		for n := 1; n < maxAppendBatch && size < maxAppendBytes; n++ {
			next, ok := s.appends.TryPop()
			if !ok {
				break
			}
			size += len(next.Body)
			batches[next.Stream] = append(batches[next.Stream], next)
		}
		for stream, batch := range batches {
			s.append(ctx, stream, batch)
		}
	}
}

func (s *Server) append(ctx context.Context, stream units.StreamName, batch []event.AppendRecord) {
	records := make([]system.NewRecord, len(batch))
	for i, r := range batch {
		records[i] = system.NewRecord{ID: r.ID, Body: r.Body}
	}
	began := time.Now()
	first, err := s.options.System.AppendRecords(ctx, stream, records)
	result := event.AppendAccepted
	if err != nil {
		result = event.AppendUnknown
		var notTaken *system.NotTakenError
		if errors.As(err, &notTaken) {
			result = event.AppendRefused
		}
		s.options.Logger.Warn("append_failed", "stream", stream, "records", len(batch), "error", err)
	}
	s.options.Meter.Appended(result.String(), len(batch), time.Since(began))
	for i, r := range batch {
		done := event.AppendDone{Stream: stream, ID: r.ID, Result: result}
		if result == event.AppendAccepted {
			done.Offset = first + units.Offset(i)
		}
		s.mustSubmit(ctx, done)
	}
}

// tails runs one duty for each stream that is read.
type tails struct {
	mu     sync.Mutex
	ctx    context.Context
	group  *errgroup.Group
	server *Server
	ends   map[units.StreamName]context.CancelFunc
}

// Waits of a tail.
const (
	tailWait  = 10 * clock.Second
	tailRetry = 300 * time.Millisecond
)

func (t *tails) start(ctx context.Context, group *errgroup.Group, server *Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx, t.group, t.server = ctx, group, server
	t.ends = map[units.StreamName]context.CancelFunc{}
}

func (t *tails) tail(effect event.TailStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end := t.ends[effect.Stream]; end != nil {
		end()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.ends[effect.Stream] = cancel
	t.group.Go(func() error {
		t.follow(ctx, effect)
		return nil
	})
}

func (t *tails) stop(stream units.StreamName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if end := t.ends[stream]; end != nil {
		end()
		delete(t.ends, stream)
	}
}

func (t *tails) follow(ctx context.Context, tail event.TailStream) {
	next := tail.From
	first := true
	for ctx.Err() == nil {
		wait := tailWait
		if first {
			wait = 0
		}
		batch, err := t.server.options.System.ReadRecords(ctx, tail.Stream, next, wait)
		if err != nil {
			t.server.Submit(event.StreamUnreachable{Stream: tail.Stream})
			pause(ctx, tailRetry)
			continue
		}
		first = false
		if next < batch.Oldest {
			t.server.mustSubmit(ctx, event.StreamGap{Stream: tail.Stream, From: next, Oldest: batch.Oldest})
			next = batch.Oldest
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.server.mustSubmit(ctx, event.RecordsRead{Stream: tail.Stream, Records: batch.Records, Next: batch.Next, End: batch.End})
		next = batch.Next
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
