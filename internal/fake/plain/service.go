// Package plain is a stand-in for a plain service, such as payments or orders.
package plain

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/fake/reply"

	"github.com/valyala/fasthttp"
)

// Faults are the failures that a Service shows. The zero value shows none.
type Faults struct {
	// LoseAnswers runs calls and then breaks the connection.
	LoseAnswers bool `json:"lose_answers"`
	// Refuse answers that the call was not run.
	Refuse bool `json:"refuse"`
	// DelayMillis delays each run.
	DelayMillis clock.Millis `json:"delay_ms"`
}

// Service counts the runs of each key. Several instances may share one.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

// SetFaults replaces the failures in force.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Runs returns the number of runs of each key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// SecondRuns counts the runs of keys that had run before. It must stay 0.
func (s *Service) SecondRuns() int {
	n := 0
	for _, runs := range s.Runs() {
		n += runs - 1
	}
	return n
}

func (s *Service) run(key string) (count int, faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse {
		return 0, s.faults
	}
	if s.runs == nil {
		s.runs = map[string]int{}
	}
	if key != "" {
		s.runs[key]++
	}
	return s.runs[key], s.faults
}

// Handle answers calls, GET /runs and POST /fault. A call is counted by its
// Idempotency-Key header.
func (s *Service) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/report":
		reply.JSON(ctx, fasthttp.StatusOK, struct {
			Ready bool `json:"ready"`
		}{true})
		return
	case "/runs":
		reply.JSON(ctx, fasthttp.StatusOK, s.Runs())
		return
	case "/fault":
		var faults Faults
		if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
			reply.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
			return
		}
		s.SetFaults(faults)
		reply.JSON(ctx, fasthttp.StatusOK, faults)
		return
	}
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	count, faults := s.run(key)
	if faults.DelayMillis > 0 {
		time.Sleep(faults.DelayMillis.Duration())
	}
	if faults.Refuse {
		reply.Refuse(ctx, fasthttp.StatusServiceUnavailable, "not_run", "the service refuses calls now")
		return
	}
	if faults.LoseAnswers {
		_ = ctx.Conn().Close()
		return
	}
	reply.JSON(ctx, fasthttp.StatusOK, map[string]string{
		"done": string(ctx.Path()), "key": key, "run": strconv.Itoa(count), "echo": string(ctx.PostBody()),
	})
}
