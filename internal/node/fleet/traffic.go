package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// trafficPeriod is the time between two updates of the metrics of messages to other entry VMs.
	trafficPeriod = 5 * time.Second
	// loggedTraffic is the number of bytes in a second from which on they are logged.
	loggedTraffic = 1 << 20
)

// traffic counts the bytes sent to other entry VMs by kind of message. The zero value is empty.
type traffic struct {
	mu    sync.Mutex
	bytes map[string]int64
}

func (t *traffic) add(kind string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes == nil {
		t.bytes = map[string]int64{}
	}
	t.bytes[kind] += int64(bytes)
}

// take returns the bytes since the last call.
func (t *traffic) take() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	bytes := t.bytes
	t.bytes = nil
	return bytes
}

// reportTraffic updates the metrics until ctx is done, and logs what makes up the traffic of an
// entry VM that sends much.
func (n *Node) reportTraffic(ctx context.Context) error {
	ticker := time.NewTicker(trafficPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		var sum int64
		var pairs []any
		bytes := n.traffic.take()
		for _, kind := range slices.Sorted(maps.Keys(bytes)) {
			n.meter.PeerSent(kind, bytes[kind])
			pairs = append(pairs, kind, bytes[kind])
			sum += bytes[kind]
		}
		if sum >= loggedTraffic*int64(trafficPeriod/time.Second) {
			n.log.Info("peer_traffic", append([]any{"for_ms", trafficPeriod.Milliseconds(), "bytes", sum}, pairs...)...)
		}
	}
}
