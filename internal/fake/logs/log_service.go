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

// Faults are the failures that a LogService simulates. The zero value has none.
type Faults struct {
	// Down refuses all calls with status 503.
	Down bool `json:"down"`
	// LoseAnswers executes appends and then closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers"`
	// DelayMillis is the delay before each call, in ms.
	DelayMillis clock.Millis `json:"delay_ms"`
}

// Options configure a LogService.
type Options struct {
	// AppendsPerSecond limits the calls of Append per second, for all streams together; 0
	// is 500.
	AppendsPerSecond float64
	// Retention is the age in ms at which a record expires; 0 is never.
	Retention clock.Millis
}

// LogService holds streams of records. The zero value is empty and ready to use.
type LogService struct {
	Options

	mu      sync.Mutex
	streams map[units.StreamName]*stream
	faults  Faults
	appends int64
	// budget is the number of appends allowed now; it is refilled over time.
	budget   float64
	budgetAt time.Time
	// closed is closed by Close. It is nil until the first call of closedChannel.
	closed     chan struct{}
	closedOnce sync.Once
}

type stream struct {
	// records holds the records that have not expired; first is the offset of records[0], or
	// of the next record if there is none.
	records []peer.Record
	first   units.Offset
	// changed is closed and replaced with each append.
	changed chan struct{}
}

// Limits and defaults.
const (
	maxReadRecords          = 1000
	maxWait                 = 30 * clock.Second
	defaultAppendsPerSecond = 500
)

// SetFaults replaces the active faults.
func (s *LogService) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Appends returns the number of records appended so far.
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

// Append appends records to a stream and returns the offset of the first one. It
// reports false if the append would exceed the rate limit.
func (s *LogService) Append(name units.StreamName, records []system.NewRecord) (units.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.spendBudget(1) {
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

// spendBudget spends n appends of the budget and reports whether it sufficed. A call of
// Append counts as one append, regardless of its number of records. The caller holds mu.
func (s *LogService) spendBudget(n float64) bool {
	rate := s.AppendsPerSecond
	if rate == 0 {
		rate = defaultAppendsPerSecond
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

// Read returns at most maxReadRecords records from an offset on, and a channel that is
// closed at the next append. If the record at from has expired, it returns no records and
// an Oldest above from.
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

func (s *LogService) closedChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed == nil {
		s.closed = make(chan struct{})
	}
	return s.closed
}

// Close ends all waiting reads.
func (s *LogService) Close() {
	ended := s.closedChannel()
	s.closedOnce.Do(func() { close(ended) })
}

// Handle serves the HTTP protocol of the log service.
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
		case <-s.closedChannel():
		}
		batch, _ = s.Read(name, units.Offset(from))
	}
	render.JSON(ctx, fasthttp.StatusOK, batch)
}
