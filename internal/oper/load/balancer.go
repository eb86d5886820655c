package load

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// balancer imitates the platform's load balancer: it distributes requests round robin
// over the entry VMs that are ready.
type balancer struct {
	entries []string
	client  *fasthttp.Client

	mu    sync.Mutex
	ready []bool
	next  int
}

// Period and timeout of health checks.
const (
	healthPeriod  = 200 * time.Millisecond
	healthTimeout = 500 * time.Millisecond
)

// newBalancer returns a balancer that treats all entry VMs as ready until their first check.
func newBalancer(entries []string, client *fasthttp.Client) *balancer {
	b := &balancer{entries: entries, client: client, ready: make([]bool, len(entries))}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// pick returns the next entry VM that is ready, or the next one if none is.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.entries {
		b.next = (b.next + 1) % len(b.entries)
		if b.ready[b.next] {
			break
		}
	}
	return b.entries[b.next]
}

// watch polls the readiness of all entry VMs until ctx is done.
func (b *balancer) watch(ctx context.Context) {
	ticker := time.NewTicker(healthPeriod)
	defer ticker.Stop()
	for {
		var wg sync.WaitGroup
		for i := range b.entries {
			wg.Go(func() { b.check(i) })
		}
		wg.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) check(i int) {
	status, _, err := b.client.GetTimeout(nil, "http://"+b.entries[i]+"/readyz", healthTimeout)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = err == nil && status == fasthttp.StatusOK
}
