package homes

import (
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/peer"
)

// loadQueue holds the load requests that the last step left waiting, and how many loads begin for such
// requests in a second. The zero value is empty.
type loadQueue struct {
	// waiting holds the urgencies in descending order.
	waiting []float64
	// begun counts the loads begun, decaying with rateTime, as of countedAt.
	begun     float64
	countedAt clock.Millis
	// since is when loads began to wait, unless none do.
	since clock.Millis
}

const (
	// rateTime is the time over which the rate of loads is averaged: several times that of a load.
	rateTime = clock.Second
	// rankWeight is by how much each priority rank lowers the urgency of a load.
	rankWeight = 3
	// agingTime is the wait that doubles the urgency of a load. One and a half times that makes up
	// for one rank, three times that for two.
	agingTime = clock.Second
	// lateWeight lowers the urgency of a load for requests that will be late in any case: they lose
	// less by a further wait than those that can still be in time.
	lateWeight = 0.3
	// minTimeLeft bounds the urgency of loads that are late soon.
	minTimeLeft = 500 * clock.Millis(1)
)

// urgency returns how urgent a load is: by the number of requests that wait for it, their most urgent
// rank, the time left until it is late for them and, so that neither a low rank nor a rare adapter
// starves, the square of the time for which the oldest has waited.
func (p *Placer) urgency(w *loadRequest) float64 {
	waited := float64(max(0, p.now-w.since)) / float64(agingTime)
	timely := lateWeight
	if p.inTime(w) {
		left := max(minTimeLeft, w.loadDeadline-p.now-p.loadTimeNow())
		timely = max(lateWeight, float64(agingTime)/float64(left))
	}
	return float64(w.Count) * weightOf(int(w.Rank)) * (timely + waited*waited)
}

func weightOf(rank int) float64 {
	return math.Pow(rankWeight, -float64(max(0, min(rank, peer.MaxLoadRank)))/peer.RankSteps)
}

// begin begins a step.
func (q *loadQueue) begin(now clock.Millis) {
	if q.len() == 0 {
		q.since = now
	}
	q.waiting = q.waiting[:0]
	q.decay(now)
}

func (q *loadQueue) decay(now clock.Millis) {
	q.begun *= math.Exp(-float64(now-q.countedAt) / float64(rateTime))
	q.countedAt = now
}

// add records that w waits on. Load requests are added in descending order of urgency.
func (q *loadQueue) add(w *loadRequest) {
	if w.Count > 0 {
		q.waiting = append(q.waiting, w.urgency)
	}
}

// served records that a load began.
func (q *loadQueue) served(now clock.Millis) {
	q.decay(now)
	q.begun++
}

func (q *loadQueue) len() int { return len(q.waiting) }

// loadWait estimates how long a load that is requested now for one request of a rank waits before it
// begins: behind those of the queue that are at least as urgent, at the rate at which loads begin.
func (p *Placer) loadWait(rank int) clock.Millis {
	ahead := 0
	for ahead < len(p.queue.waiting) && p.queue.waiting[ahead] >= weightOf(rank) {
		ahead++
	}
	if ahead == 0 {
		return 0
	}
	// Loads that have just begun to queue don't show their rate yet: until then it is that of the limit.
	most := p.maxLoadsInFlight() / float64(p.loadTimeNow())
	unseen := math.Exp(-float64(p.now-p.queue.since) / float64(rateTime))
	rate := max(p.queue.begun/float64(rateTime), unseen*most, most/slowestRate)
	return clock.Millis(float64(ahead) / rate)
}

// slowestRate is by how much the rate of loads may be below that of the limit of loads in flight, such
// as when no places are free.
const slowestRate = 8

// loadWaits returns the waits by rank, nil if they are all 0.
func (p *Placer) loadWaits() []clock.Millis {
	if p.queue.len() == 0 {
		return nil
	}
	waits := make([]clock.Millis, peer.MaxLoadRank+1)
	for rank := range waits {
		waits[rank] = p.loadWait(rank)
	}
	return waits
}
