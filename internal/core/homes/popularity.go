package homes

import (
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// memory is the time after which a request counts a third in popularity.
const memory = 5 * clock.Second

// popularity counts recent requests by adapter, so that older ones count less.
// The zero value has counted nothing.
type popularity struct {
	counts   map[units.AdapterName]*count
	prunedAt clock.Millis
}

type count struct {
	sum float64
	at  clock.Millis
}

func (c *count) value(now clock.Millis) float64 {
	return c.sum * math.Exp(-float64(now-c.at)/float64(memory))
}

// add counts n requests.
func (p *popularity) add(now clock.Millis, adapter units.AdapterName, n float64) {
	if p.counts == nil {
		p.counts = map[units.AdapterName]*count{}
	}
	c := p.counts[adapter]
	if c == nil {
		c = &count{}
		p.counts[adapter] = c
	}
	c.sum, c.at = c.value(now)+n, now
}

// of returns the recent requests for an adapter.
func (p *popularity) of(now clock.Millis, adapter units.AdapterName) float64 {
	if c := p.counts[adapter]; c != nil {
		return c.value(now)
	}
	return 0
}

// forgotten is the count under which an adapter is dropped.
const forgotten = 0.02

// prune drops adapters that are not asked for any more.
func (p *popularity) prune(now clock.Millis) {
	if now < p.prunedAt+memory {
		return
	}
	p.prunedAt = now
	for adapter, c := range p.counts {
		if c.value(now) < forgotten {
			delete(p.counts, adapter)
		}
	}
}
