package place

import (
	"math"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// halfLife is the time after which a request counts half. It is long, since
// adapters that are asked for seldom are told apart only over minutes.
const halfLife = 5 * clock.Minute

// forgetBelow is the count under which an adapter is forgotten.
const forgetBelow = 0.05

// Popularity counts requests for adapters, with older ones weighing less. The
// zero value has counted none.
type Popularity struct {
	counts map[units.AdapterVersion]*counter
}

// counter holds a decayed count as of at.
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

// Note counts one request for av.
func (p *Popularity) Note(now clock.Millis, av units.AdapterVersion) {
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

// Rate returns the expected requests for av in a second.
func (p *Popularity) Rate(now clock.Millis, av units.AdapterVersion) float64 {
	c := p.counts[av]
	if c == nil {
		return 0
	}
	c.decayTo(now)
	return c.count * math.Ln2 / halfLife.Duration().Seconds()
}

// Len returns the number of adapters that are remembered.
func (p *Popularity) Len() int { return len(p.counts) }

// Prune forgets adapters that are hardly asked for any more.
func (p *Popularity) Prune(now clock.Millis) {
	for av, c := range p.counts {
		if c.decayTo(now); c.count < forgetBelow {
			delete(p.counts, av)
		}
	}
}

// Each calls f for each adapter that is remembered, in no order.
func (p *Popularity) Each(f func(av units.AdapterVersion)) {
	for av := range p.counts {
		f(av)
	}
}

// Steps gives a rate as a whole number from 1 to 255: the steps of a factor of
// the square root of two from once in an hour on.
func Steps(rate float64) uint8 {
	steps := 2 * math.Log2(rate*clock.Hour.Duration().Seconds())
	return uint8(min(max(steps, 1), math.MaxUint8))
}
