package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of callers that take up streams.
const (
	retryDelay = 600 * time.Millisecond
	maxRetries = 4
	// adapters are those that callers ask for.
	adapters = 4
	// shiftedAdapters is the first of the adapters that they ask for after a shift.
	shiftedAdapters = 100
)

// streamConfig is a configuration with one resumable route.
func streamConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-fit", "host": "h.example", "pathPrefix": "/fit/", "kind": "stream", "service": "llm", "timeoutMs": streamDeadline.Milliseconds(), "targetLatencyMs": 1000,
			"priority": 0, "maxAttempts": 2, "sticky": true, "resumable": true, "gapAimMs": 400,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/health", "maxConnections": 490,
			"engine": map[string]any{
				"slots": 96, "kvCapacityTokens": 200056, "stride": 5, "weightsMb": 35300, "adapterSlots": 8, "loadsPerS": 4.2,
				"models": []any{map[string]any{"name": "m0", "weightsMb": 34300, "loadS": 0.6, "adapters": 3000, "adapterMb": 40}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// streamClients are callers that take up streams that break off.
type streamClients struct {
	*deployment
	quit  chan struct{}
	group sync.WaitGroup
	// shifted is true once the callers ask for other adapters than at first.
	shifted atomic.Bool

	mu       sync.Mutex
	killedAt time.Time
	// streams are those that were sent new, with their take-ups.
	streams []*stream
}

type stream struct {
	first   *attempt
	takeUps []*attempt
}

func newStreamClients(d *deployment) *streamClients {
	return &streamClients{deployment: d, quit: make(chan struct{})}
}

// stop waits until all callers have ended.
func (c *streamClients) stop() {
	close(c.quit)
	c.group.Wait()
}

func (c *streamClients) setKilled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killedAt = time.Now()
}

func (c *streamClients) quitting() bool {
	select {
	case <-c.quit:
		return true
	default:
		return false
	}
}

// run sends one stream after the other and takes up those that break off.
func (c *streamClients) run(z zone, index int) {
	for n := 0; !c.quitting(); n++ {
		model := fmt.Sprintf("m0/a%d", index%adapters)
		if c.shifted.Load() {
			model = fmt.Sprintf("m0/a%d", shiftedAdapters+index%adapters)
		}
		s := &stream{first: &attempt{id: fmt.Sprintf("%s-%d-%d", z.name, index, n), path: "/fit/x", model: model, machine: c.pick(z)}}
		s.first.send(streamDeadline)
		s.first.log(c.record)
		c.takeUp(z, s)
		c.mu.Lock()
		c.streams = append(c.streams, s)
		c.mu.Unlock()
		if s.first.status == 0 {
			time.Sleep(retryDelay)
		}
	}
}

func (c *streamClients) takeUp(z zone, s *stream) {
	last, deadline := s.first, s.first.sentAt.Add(streamDeadline)
	if !last.began() || last.complete {
		return
	}
	after := last.events[len(last.events)-1]
	for try := range maxRetries {
		if try > 0 {
			time.Sleep(retryDelay)
		}
		left := time.Until(deadline)
		if left <= 0 || c.quitting() {
			return
		}
		next := &attempt{id: fmt.Sprintf("%s-r%d", s.first.id, try), path: s.first.path, model: s.first.model, resumes: s.first.id, lastEvent: after, machine: c.pick(z)}
		next.send(left)
		next.log(c.record)
		s.takeUps = append(s.takeUps, next)
		if n := len(next.events); n > 0 {
			after = next.events[n-1]
		}
		if next.complete {
			return
		}
	}
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
