package place

import (
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// halfLife is the time after which a request counts half. It is long because the rates of
// rarely requested adapters differ measurably only over minutes.
const halfLife = 5 * clock.Minute

// minCount is the decayed count below which an adapter is removed.
const minCount = 0.05

// Popularity counts requests for each adapter with exponential decay. The zero value has
// no counts.
type Popularity struct {
	counts map[units.AdapterVersion]*counter
}

// counter is a decayed count as of at.
type counter struct {
	at    clock.Millis
	count float64
}

func (c *counter) decayTo(now clock.Millis) {
	if now <= c.at {
		return
	}
	c.count *= math.Exp2(-float64(now-c.at) / float64(halfLife))
	c.at = now
}

// Record counts one request for av.
func (p *Popularity) Record(now clock.Millis, av units.AdapterVersion) {
	if p.counts == nil {
		p.counts = map[units.AdapterVersion]*counter{}
	}
	c := p.counts[av]
	if c == nil {
		c = &counter{at: now}
		p.counts[av] = c
	}
	c.decayTo(now)
	c.count++
}

// Rate returns the estimated requests a second for av.
func (p *Popularity) Rate(now clock.Millis, av units.AdapterVersion) float64 {
	c := p.counts[av]
	if c == nil {
		return 0
	}
	c.decayTo(now)
	return c.count * math.Ln2 / halfLife.Duration().Seconds()
}

// Len returns the number of counted adapters.
func (p *Popularity) Len() int { return len(p.counts) }

// Prune removes adapters whose count has decayed below minCount.
func (p *Popularity) Prune(now clock.Millis) {
	for av, c := range p.counts {
		if c.decayTo(now); c.count < minCount {
			delete(p.counts, av)
		}
	}
}

// Each calls f for each counted adapter, in no particular order.
func (p *Popularity) Each(f func(av units.AdapterVersion)) {
	for av := range p.counts {
		f(av)
	}
}

// RateSteps converts a rate in requests a second to a logarithmic scale from 1 to 255.
// Each step is a factor of the square root of two; step 0 would be one request an hour.
func RateSteps(rate float64) uint8 {
	steps := 2 * math.Log2(rate*clock.Hour.Duration().Seconds())
	return uint8(min(max(steps, 1), math.MaxUint8))
}
