// Package plain is a stand-in for a plain service, such as payments or orders.
package plain

import (
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/node/render"

	"mangostile/internal/base/clock"
	"mangostile/internal/fake/reply"

	"github.com/valyala/fasthttp"
)

// Faults are the failures that a Service simulates. The zero value has none.
type Faults struct {
	// LoseAnswers runs calls and then closes the connection without an answer.
	LoseAnswers bool `json:"lose_answers"`
	// Leaving makes the instance that receives the faults refuse calls; the other instances
	// still accept them.
	Leaving bool `json:"leaving"`
	// Refuse answers calls with an error and does not run them.
	Refuse bool `json:"refuse"`
	// DelayMillis is the delay of each call, in ms.
	DelayMillis clock.Millis `json:"delay_ms"`
}

// Service counts the runs of each idempotency key. Its instances share the counts. The
// zero value is ready to use.
type Service struct {
	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// ActiveFaults returns the active faults.
func (s *Service) ActiveFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Runs returns the number of runs of each idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// SecondRuns returns the number of runs of keys that had run before. It must stay 0.
func (s *Service) SecondRuns() int {
	n := 0
	for _, runs := range s.Runs() {
		n += runs - 1
	}
	return n
}

// run counts a run of key and returns its number of runs and the active faults. It does not
// count refused calls and calls without a key.
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

// Instance is one backend server that runs a service.
type Instance struct {
	service *Service
	leaving atomic.Bool
}

// NewInstance returns a new backend server of the service.
func (s *Service) NewInstance() *Instance { return &Instance{service: s} }

// SetLeaving makes the instance report that it is leaving and refuse calls, or accept
// them again.
func (i *Instance) SetLeaving(leaving bool) { i.leaving.Store(leaving) }

// Handle serves GET /v1/report, GET /runs, POST /fault and, on all other paths, calls. A
// call is counted by its Idempotency-Key header. Faults other than leaving apply to all
// instances.
func (i *Instance) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/report":
		render.JSON(ctx, fasthttp.StatusOK, struct {
			Ready   bool `json:"ready"`
			Leaving bool `json:"leaving"`
		}{true, i.leaving.Load()})
	case "/runs":
		render.JSON(ctx, fasthttp.StatusOK, i.service.Runs())
	case "/fault":
		i.handleFault(ctx)
	default:
		i.handleCall(ctx)
	}
}

func (i *Instance) handleFault(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		reply.Refuse(ctx, fasthttp.StatusBadRequest, "bad_request", err.Error())
		return
	}
	i.SetLeaving(faults.Leaving)
	i.service.SetFaults(faults)
	render.JSON(ctx, fasthttp.StatusOK, faults)
}

func (i *Instance) handleCall(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV("X-Request-Id", ctx.Request.Header.Peek("X-Request-Id"))
	if i.leaving.Load() {
		reply.Refuse(ctx, fasthttp.StatusServiceUnavailable, "leaving", "the instance is leaving")
		return
	}
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	count, faults := i.service.run(key)
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
	render.JSON(ctx, fasthttp.StatusOK, map[string]string{
		"done": string(ctx.Path()), "key": key, "run": strconv.Itoa(count), "echo": string(ctx.PostBody()),
	})
}
