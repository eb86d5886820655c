package choose

import (
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// health tracks recent failures of a backend server. The zero value is healthy.
type health struct {
	// failures is a moving average of the share of failed requests, 0 to 1.
	failures float64
	// failedAt is when the last failure was counted.
	failedAt clock.Millis
	// broken counts broken connections since the last success.
	broken int
	// avoidUntil is the time until which avoidedCost is added.
	avoidUntil clock.Millis
	// downUntil is the time until which an unreachable engine is not chosen.
	downUntil clock.Millis
}

// Constants of health.
const (
	// failureWeight is the weight of the newest outcome in the average of failures.
	failureWeight = 0.15
	// failureTime is the time after a failure in which the average falls to 1/e, about a third: a
	// server that gets no requests could else never show that it has recovered.
	failureTime = 10 * clock.Second
	// brokenBackoff is how long a server is avoided after a connection to it broke or
	// could not be opened; it doubles with each consecutive one.
	brokenBackoff    = 400 * clock.Millis(1)
	maxBrokenBackoff = 3 * clock.Second
	// fullBackoff is how long a server is avoided after it reported that it is full.
	fullBackoff = 150 * clock.Millis(1)
)

func (h *health) succeeded() {
	h.failures -= h.failures * failureWeight
	h.broken = 0
	h.avoidUntil, h.downUntil = 0, 0
}

func (h *health) failed(now clock.Millis) {
	h.failures = h.share(now)
	h.failures += (1 - h.failures) * failureWeight
	h.failedAt = now
}

// share returns the share of failed requests that is believed now, 0 to 1.
func (h *health) share(now clock.Millis) float64 {
	if h.failures == 0 {
		return 0
	}
	return h.failures * math.Exp(-float64(max(0, now-h.failedAt))/float64(failureTime))
}

func (h *health) broke(now clock.Millis) {
	h.failed(now)
	h.avoidUntil = now + min(brokenBackoff<<min(h.broken, 6), maxBrokenBackoff)
	h.broken++
}

// unreachable records that no connection could be opened.
func (h *health) unreachable(now clock.Millis) {
	h.broke(now)
	h.downUntil = h.avoidUntil
}

// prefixes records which prompt prefixes a backend server has read. The zero value is
// empty.
type prefixes struct {
	// seen holds the time of the last use by hash of the prefix.
	seen map[uint64]clock.Millis
}

// maxPrefixes limits the number of prefixes recorded for one server.
const maxPrefixes = 1024

// chain hashes a prompt part together with the hash of the parts before it.
func chain(before uint64, part uint64) uint64 {
	x := before ^ part*0x9e3779b97f4a7c15
	x ^= x >> 29
	return x * 0xbf58476d1ce4e5b9
}

func adapterSeed(adapter units.AdapterName) uint64 { return xxhash.Sum64String(string(adapter)) }

// cached returns how many tokens of a prompt the server is likely to have in its cache.
func (p *prefixes) cached(r *Request) units.Tokens {
	at := adapterSeed(r.Adapter)
	var tokens units.Tokens
	for _, part := range r.Parts {
		at = chain(at, part.ID)
		if _, ok := p.seen[at]; !ok {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// add records the prefixes of a prompt.
func (p *prefixes) add(now clock.Millis, r *Request) {
	if p.seen == nil {
		p.seen = map[uint64]clock.Millis{}
	}
	at := adapterSeed(r.Adapter)
	for _, part := range r.Parts {
		at = chain(at, part.ID)
		p.seen[at] = now
	}
	if len(p.seen) > maxPrefixes {
		p.evictOlder()
	}
}

// evictOlder drops the prefixes whose last use is not later than the average.
func (p *prefixes) evictOlder() {
	var sum clock.Millis
	for _, at := range p.seen {
		sum += at
	}
	mean := sum / clock.Millis(len(p.seen))
	for key, at := range p.seen {
		if at <= mean {
			delete(p.seen, key)
		}
	}
}
