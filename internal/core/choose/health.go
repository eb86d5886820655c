package choose

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// health is how a backend server has fared lately. The zero value is healthy.
type health struct {
	// failures is a moving share of requests that failed, 0 to 1.
	failures float64
	// row counts failures without a success between.
	row int
	// avoidUntil is when the server is chosen again before others.
	avoidUntil clock.Millis
	// downUntil is when a server is tried again that could not be reached.
	downUntil clock.Millis
}

// Weights of health.
const (
	failureWeight = 0.15
	// brokenPause is how long a server is avoided after a connection to it broke
	// or could not be opened; it doubles with each in a row.
	brokenPause    = 400 * clock.Millis(1)
	maxBrokenPause = 3 * clock.Second
	// fullPause is how long a server is avoided that said it is full.
	fullPause = 150 * clock.Millis(1)
)

func (h *health) succeeded() {
	h.failures -= h.failures * failureWeight
	h.row = 0
	h.avoidUntil, h.downUntil = 0, 0
}

func (h *health) failed() { h.failures += (1 - h.failures) * failureWeight }

func (h *health) broke(now clock.Millis) {
	h.failed()
	h.avoidUntil = now + min(brokenPause<<min(h.row, 6), maxBrokenPause)
	h.row++
}

// unreached takes that no connection could be had.
func (h *health) unreached(now clock.Millis) {
	h.broke(now)
	h.downUntil = h.avoidUntil
}

// prefixes remembers which beginnings of prompts a backend server has read. The
// zero value remembers nothing.
type prefixes struct {
	seen map[uint64]clock.Millis
}

// maxPrefixes bounds what is remembered of one server.
const maxPrefixes = 1024

// chain identifies a part behind the parts before it, for one adapter.
func chain(before uint64, part uint64) uint64 {
	x := before ^ part*0x9e3779b97f4a7c15
	x ^= x >> 29
	return x * 0xbf58476d1ce4e5b9
}

func adapterSeed(adapter units.AdapterName) uint64 { return xxhash.Sum64String(string(adapter)) }

// cached returns how many tokens of a prompt a server is likely to keep.
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

// note remembers the parts of a prompt.
func (p *prefixes) note(now clock.Millis, r *Request) {
	if p.seen == nil {
		p.seen = map[uint64]clock.Millis{}
	}
	at := adapterSeed(r.Adapter)
	for _, part := range r.Parts {
		at = chain(at, part.ID)
		p.seen[at] = now
	}
	if len(p.seen) > maxPrefixes {
		p.forgetOlder()
	}
}

// forgetOlder drops the older half.
func (p *prefixes) forgetOlder() {
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
