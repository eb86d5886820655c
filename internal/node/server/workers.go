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

// runCore passes events to the core and its effects to the workers.
func (s *Server) runCore(ctx context.Context) error {
	var out event.Effects
	for {
		in, ok := s.inputs.Pop(ctx)
		if !ok {
			return nil
		}
		if in.query != nil {
			in.query(s.core)
			continue
		}
		out.Reset()
		if !s.guard("event", func() { s.core.Step(s.options.Clock.Now(), in.event, &out) }) {
			// Its effects may be incomplete; what needs them is repeated or times out.
			continue
		}
		s.ready.Store(s.core.Ready())
		for _, effect := range out.List {
			s.execute(effect)
		}
	}
}

// execute passes one effect to the worker that executes it. It never blocks: if a queue is
// full, an append is reported to the core as refused and an order as not sent; a poll is
// dropped.
func (s *Server) execute(effect event.Effect) {
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
		close(s.leaveDone)
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

// runOrders sends orders to model engines.
func (s *Server) runOrders(ctx context.Context) error {
	for {
		order, ok := s.orders.Pop(ctx)
		if !ok {
			return nil
		}
		sentAt := s.options.Clock.Now()
		result := event.OrderResult{Kind: event.OrderNotSent, Reason: "the order's deadline passes before it can be sent"}
		if sentAt+system.DialTimeout <= order.Order.NotAfter {
			result = s.options.System.OrderServer(ctx, order.Address, order.Order)
		}
		s.mustSubmit(ctx, event.OrderDone{Server: order.Server, Order: order.Order, Result: result, SentAt: sentAt})
	}
}

// runPolls fetches the reports of backend servers and submits them to the core. It doesn't
// retry while the core's queue is full, because the core polls each server periodically.
func (s *Server) runPolls(ctx context.Context) error {
	for {
		poll, ok := s.polls.Pop(ctx)
		if !ok {
			return nil
		}
		sentAt := s.options.Clock.Now()
		report, err := s.options.System.ReportServer(ctx, poll.Address)
		if err != nil {
			var noEffect *system.NoEffectError
			s.Submit(event.ReportFailed{Server: poll.Server, Refused: errors.As(err, &noEffect)})
			continue
		}
		s.Submit(event.ReportReceived{Server: poll.Server, Report: report, SentAt: sentAt})
	}
}

// mustSubmit retries until the queue has room, because the core can't proceed without
// the event. It gives up when ctx is done.
func (s *Server) mustSubmit(ctx context.Context, ev event.Event) {
	for !s.Submit(ev) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// Limits of one append. The record that exceeds maxAppendBytes is the last of its batch.
const (
	maxAppendBatch = 256
	maxAppendBytes = 1 << 20
)

// runAppends appends queued records to the log service, in one batch for each stream.
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
	start := time.Now()
	first, err := s.options.System.AppendRecords(ctx, stream, records)
	result := event.AppendAccepted
	if err != nil {
		result = event.AppendUnknown
		var noEffect *system.NoEffectError
		if errors.As(err, &noEffect) {
			result = event.AppendRefused
		}
		s.options.Logger.Warn("append_failed", "stream", stream, "records", len(batch), "error", err)
	}
	s.options.Meter.Appended(result.String(), len(batch), time.Since(start))
	for i, r := range batch {
		done := event.AppendDone{Stream: stream, ID: r.ID, Result: result}
		if result == event.AppendAccepted {
			done.Offset = first + units.Offset(i)
		}
		s.mustSubmit(ctx, done)
	}
}

// tails runs one goroutine for each log stream that the core follows.
type tails struct {
	mu      sync.Mutex
	ctx     context.Context
	group   *errgroup.Group
	server  *Server
	cancels map[units.StreamName]context.CancelFunc
}

// tailWaitLimit is the longest time that a read waits for records; tailRetryDelay is
// the delay after a read that failed.
const (
	tailWaitLimit  = 10 * clock.Second
	tailRetryDelay = 300 * time.Millisecond
)

func (t *tails) start(ctx context.Context, group *errgroup.Group, server *Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ctx, t.group, t.server = ctx, group, server
	t.cancels = map[units.StreamName]context.CancelFunc{}
}

// tail starts to follow a stream from the given offset. It replaces an earlier tail of the
// same stream.
func (t *tails) tail(effect event.TailStream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel := t.cancels[effect.Stream]; cancel != nil {
		cancel()
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.cancels[effect.Stream] = cancel
	t.group.Go(func() error {
		t.follow(ctx, effect)
		return nil
	})
}

func (t *tails) stop(stream units.StreamName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cancel := t.cancels[stream]; cancel != nil {
		cancel()
		delete(t.cancels, stream)
	}
}

// follow reads the records of a stream and submits them to the core until ctx is done. Until
// a read has succeeded, reads don't wait for records, so that the core receives the stream's
// end at once. If the next records have expired, it submits a StreamGap and skips them. Only
// a StreamUnreachable may be lost while the core's queue is full: the next failed read
// submits it again.
func (t *tails) follow(ctx context.Context, tail event.TailStream) {
	next := tail.From
	first := true
	for ctx.Err() == nil {
		wait := tailWaitLimit
		if first {
			wait = 0
		}
		batch, err := t.server.options.System.ReadRecords(ctx, tail.Stream, next, wait)
		if err != nil {
			t.server.Submit(event.StreamUnreachable{Stream: tail.Stream})
			sleep(ctx, tailRetryDelay)
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

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
