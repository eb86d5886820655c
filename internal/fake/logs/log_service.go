// Package logs is a stand-in for the platform's append-only log service.
package logs

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"mangostile/internal/node/render"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/fake/reply"
	"mangostile/internal/plat/system"

	"github.com/valyala/fasthttp"
)

// Faults are the failures that a LogService shows. The zero value shows none.
type Faults struct {
	// Down refuses all calls.
	Down bool `json:"down"`
	// LoseAnswers takes appends and then breaks the connection.
	LoseAnswers bool `json:"lose_answers"`
	// DelayMillis delays each answer.
	DelayMillis clock.Millis `json:"delay_ms"`
}

// Options say how a LogService behaves.
type Options struct {
	// AppendsPerSecond bounds the appends of all streams; 0 is 500.
	AppendsPerSecond float64
	// Retention is how long a record is kept; 0 keeps all.
	Retention clock.Millis
}

// LogService holds streams of records. The zero value is empty and works.
type LogService struct {
	Options

	mu      sync.Mutex
	streams map[units.StreamName]*stream
	faults  Faults
	appends int64
	// budget holds appends that may be taken at once, refilled with time.
	budget   float64
	budgetAt time.Time
	// closed is closed by Close. It is nil until a read waits.
	closed     chan struct{}
	closedOnce sync.Once
}

type stream struct {
	// records holds those that have not expired; first is the offset of the
	// first of them.
	records []peer.Record
	first   units.Offset
	// changed is closed and replaced with each append.
	changed chan struct{}
}

// Limits of one read.
const (
	maxReadRecords = 1000
	maxWait        = 30 * clock.Second
	defaultAppends = 500
)

// SetFaults replaces the failures in force.
func (s *LogService) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Appends returns the number of records taken so far.
func (s *LogService) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *LogService) stream(name units.StreamName) *stream {
	if s.streams == nil {
		s.streams = map[units.StreamName]*stream{}
	}
	st := s.streams[name]
	if st == nil {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// Append adds records to a stream and returns the first one's offset. It
// reports false if the rate limit leaves no room.
func (s *LogService) Append(name units.StreamName, records []system.NewRecord) (units.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.take(1) {
		return 0, false
	}
	st := s.stream(name)
	s.expire(st)
	first := st.first + units.Offset(len(st.records))
	for i, r := range records {
		st.records = append(st.records, peer.Record{Offset: first + units.Offset(i), ID: r.ID, At: clock.WallNow(), Body: r.Body})
	}
	s.appends += int64(len(records))
	close(st.changed)
	st.changed = make(chan struct{})
	return first, true
}

// take spends n appends of the budget. One call is one append however many
// records it brings.
func (s *LogService) take(n float64) bool {
	rate := s.AppendsPerSecond
	if rate == 0 {
		rate = defaultAppends
	}
	now := time.Now()
	if s.budgetAt.IsZero() {
		s.budget, s.budgetAt = rate, now
	}
	s.budget = min(rate, s.budget+rate*now.Sub(s.budgetAt).Seconds())
	s.budgetAt = now
	if s.budget < n {
		return false
	}
	s.budget -= n
	return true
}

func (s *LogService) expire(st *stream) {
	if s.Retention == 0 {
		return
	}
	oldest := clock.WallNow() - s.Retention
	n := 0
	for n < len(st.records) && st.records[n].At < oldest {
		n++
	}
	st.records = st.records[n:]
	st.first += units.Offset(n)
}

// Read returns records from an offset on, with a channel that is closed at the
// next append.
func (s *LogService) Read(name units.StreamName, from units.Offset) (system.RecordBatch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	end := st.first + units.Offset(len(st.records))
	batch := system.RecordBatch{End: end, Oldest: st.first, Next: from}
	if from >= st.first && from < end {
		records := st.records[from-st.first:]
		records = records[:min(len(records), maxReadRecords)]
		batch.Records = records
		batch.Next = from + units.Offset(len(records))
	}
	return batch, st.changed
}

func (s *LogService) ends() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed == nil {
		s.closed = make(chan struct{})
	}
	return s.closed
}

// Close ends the reads that wait.
func (s *LogService) Close() {
	ended := s.ends()
	s.closedOnce.Do(func() { close(ended) })
}

// Handle answers the service's HTTP protocol.
func (s *LogService) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/fault" {
		s.handleFault(ctx)
		return
	}
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.DelayMillis > 0 {
		time.Sleep(faults.DelayMillis.Duration())
	}
	if faults.Down {
		reply.Refuse(ctx, fasthttp.StatusServiceUnavailable, "unavailable", "the log service is down")
		return
	}
	name, ok := streamOfPath(string(ctx.Path()))
	switch {
	case !ok:
		reply.Refuse(ctx, fasthttp.StatusNotFound, "not_found", "use /v1/streams/NAME/records")
	case ctx.IsPost():
		s.handleAppend(ctx, name, faults)
	default:
		s.handleRead(ctx, name)
	}
}

func (s *LogService) handleFault(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		reply.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s.SetFaults(faults)
	render.JSON(ctx, fasthttp.StatusOK, faults)
}

func streamOfPath(path string) (units.StreamName, bool) {
	rest, ok := strings.CutPrefix(path, "/v1/streams/")
	if !ok {
		return "", false
	}
	name, ok := strings.CutSuffix(rest, "/records")
	return units.StreamName(name), ok && name != ""
}

func (s *LogService) handleAppend(ctx *fasthttp.RequestCtx, name units.StreamName, faults Faults) {
	var request struct {
		Records []system.NewRecord `json:"records"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		reply.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	first, ok := s.Append(name, request.Records)
	if !ok {
		reply.Refuse(ctx, fasthttp.StatusServiceUnavailable, "rate_limited", "too many appends a second")
		return
	}
	if faults.LoseAnswers {
		_ = ctx.Conn().Close()
		return
	}
	render.JSON(ctx, fasthttp.StatusOK, struct {
		First units.Offset `json:"first_offset"`
	}{first})
}

func (s *LogService) handleRead(ctx *fasthttp.RequestCtx, name units.StreamName) {
	args := ctx.QueryArgs()
	from, err := strconv.ParseInt(string(args.Peek("from")), 10, 64)
	if err != nil || from < 0 {
		reply.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", "from must be an offset")
		return
	}
	wait := min(clock.Millis(args.GetUintOrZero("wait_ms")), maxWait)
	batch, changed := s.Read(name, units.Offset(from))
	if len(batch.Records) == 0 && from >= int64(batch.End) && wait > 0 {
		timer := time.NewTimer(wait.Duration())
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-s.ends():
		}
		batch, _ = s.Read(name, units.Offset(from))
	}
	render.JSON(ctx, fasthttp.StatusOK, batch)
}
