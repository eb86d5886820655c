package meter

import (
	"strconv"
	"time"
)

// Only package fleet calls the methods in this file. AttemptEnded, FirstEvent and LoadWait
// feed the same metrics as Attempted, FirstToken and LoadStalled do for package edge.

// AttemptEnded counts an attempt at a backend server, by outcome.
func (m *Meter) AttemptEnded(outcome string) {
	if m != nil {
		m.scope.Tagged(map[string]string{"end": outcome}).Counter("attempts_total").Inc(1)
	}
}

// UnknownKey counts a request that was refused since its key is unknown or missing.
func (m *Meter) UnknownKey() {
	if m != nil {
		m.scope.Counter("unknown_keys_total").Inc(1)
	}
}

// ClientGaveWay counts a connection of a listener that was closed or turned away for want of room, by
// reason.
func (m *Meter) ClientGaveWay(listener, reason string) {
	if m != nil {
		m.scope.Tagged(map[string]string{"listener": listener, "reason": reason}).Counter("clients_gave_way_total").Inc(1)
	}
}

// QuotaRefused counts a request that was refused for its customer's quota. unknown is true if it was
// not known whether the quota is used up.
func (m *Meter) QuotaRefused(customer string, unknown bool) {
	if m == nil {
		return
	}
	reason := "used_up"
	if unknown {
		reason = "unknown"
	}
	m.scope.Tagged(map[string]string{"customer": customer, "reason": reason}).Counter("quota_refused_total").Inc(1)
}

// GivenUp counts a request that ended without an answer from a backend server, by
// reason.
func (m *Meter) GivenUp(reason string) {
	if m != nil {
		m.scope.Tagged(map[string]string{"reason": reason}).Counter("given_up_total").Inc(1)
	}
}

// FirstEvent records the time from a request's arrival to its first event or its answer.
func (m *Meter) FirstEvent(took time.Duration) {
	if m != nil {
		m.firstToken.RecordDuration(took)
	}
}

// ProcessDelay records by how much a goroutine ran later than it should.
func (m *Meter) ProcessDelay(delay time.Duration) {
	if m != nil {
		m.processDelay.RecordDuration(delay)
	}
}

// StreamEnded counts a stream of a route with an objective for pauses: whether one beyond it was expected
// to be more likely than not when a backend server was chosen, and whether there was one.
func (m *Meter) StreamEnded(route string, expected, late bool) {
	if m != nil {
		m.scope.Tagged(map[string]string{"route": route, "expected": strconv.FormatBool(expected), "late": strconv.FormatBool(late)}).Counter("stream_pauses_total").Inc(1)
	}
}

// RunOutlived records how long an attempt at a backend server went on after its caller had left
// or after its deadline, by kind of request and reason.
func (m *Meter) RunOutlived(kind, reason string, late time.Duration) {
	if m != nil {
		m.scope.Tagged(map[string]string{"kind": kind, "reason": reason}).Histogram("run_outlived_seconds", latencyBuckets).RecordDuration(late)
	}
}

// LoadWait records the time that a request waited for its adapter.
func (m *Meter) LoadWait(took time.Duration) {
	if m != nil {
		m.loadStall.RecordDuration(took)
	}
}

// OrderAnswered counts an order to a backend server, by kind and result.
func (m *Meter) OrderAnswered(kind, result string) {
	if m != nil {
		m.scope.Tagged(map[string]string{"kind": kind, "result": result}).Counter("orders_total").Inc(1)
	}
}

// StoreRead counts a read of a feed from the store.
func (m *Meter) StoreRead(feed string, ok bool) {
	if m != nil {
		answer := "ok"
		if !ok {
			answer = "failed"
		}
		m.scope.Tagged(map[string]string{"feed": feed, "answer": answer}).Counter("store_reads_total").Inc(1)
	}
}

// PeerSent counts bytes of messages to other entry VMs, by kind of message.
func (m *Meter) PeerSent(kind string, bytes int64) {
	if m != nil {
		m.scope.Tagged(map[string]string{"kind": kind}).Counter("peer_sent_bytes_total").Inc(bytes)
	}
}

// SetPlacing sets the gauge that is 1 while the entry VM is the placer of a shard.
func (m *Meter) SetPlacing(shard string, placing bool) {
	if m != nil {
		value := 0.0
		if placing {
			value = 1
		}
		m.scope.Tagged(map[string]string{"shard": shard}).Gauge("placing").Update(value)
	}
}

// SetLoads sets the gauges of a shard's loads: those in flight, those that wait, and the limit of the
// first.
func (m *Meter) SetLoads(shard string, inFlight, queued int, limit float64) {
	if m != nil {
		scope := m.scope.Tagged(map[string]string{"shard": shard})
		scope.Gauge("loads_in_flight").Update(float64(inFlight))
		scope.Gauge("loads_queued").Update(float64(queued))
		scope.Gauge("load_limit").Update(limit)
	}
}

// SetConfigVersion sets the gauge of the active configuration version.
func (m *Meter) SetConfigVersion(version int64) {
	if m != nil {
		m.scope.Gauge("config_version").Update(float64(version))
	}
}
