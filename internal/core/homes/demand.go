package homes

import (
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// decayTime is the time after which a request counts 1/e, about a third, in demand.
const decayTime = 5 * clock.Second

// demand counts requests by adapter with exponential decay. The zero value is empty.
type demand struct {
	counts   map[units.AdapterName]*count
	prunedAt clock.Millis
}

// count is the decayed number of requests for an adapter at time at.
type count struct {
	sum float64
	at  clock.Millis
}

func (c *count) value(now clock.Millis) float64 {
	return c.sum * math.Exp(-float64(now-c.at)/float64(decayTime))
}

// add counts n requests.
func (p *demand) add(now clock.Millis, adapter units.AdapterName, n float64) {
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

// get returns the decayed number of requests for an adapter.
func (p *demand) get(now clock.Millis, adapter units.AdapterName) float64 {
	if c := p.counts[adapter]; c != nil {
		return c.value(now)
	}
	return 0
}

// minDemand is the count below which an adapter is dropped.
const minDemand = 0.02

// prune drops adapters that are no longer requested.
func (p *demand) prune(now clock.Millis) {
	if now < p.prunedAt+decayTime {
		return
	}
	p.prunedAt = now
	for adapter, c := range p.counts {
		if c.value(now) < minDemand {
			delete(p.counts, adapter)
		}
	}
}
