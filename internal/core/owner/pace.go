package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// pace estimates how long a server takes for a token, from finished requests. Before the
// first one the estimate is 0.
type pace struct {
	// perToken is the moving average, in ms.
	perToken float64
}

const (
	// paceGain is the weight of the newest request.
	paceGain = 0.05
	// paceMargin is the fraction of the estimated time that a request takes at least.
	paceMargin = 0.95
)

// record updates the estimate with a finished request.
func (p *pace) record(took clock.Millis, tokens units.Tokens) {
	if tokens <= 0 || took <= 0 {
		return
	}
	perToken := float64(took) / float64(tokens)
	if p.perToken == 0 {
		p.perToken = perToken
	}
	p.perToken += paceGain * (perToken - p.perToken)
}

// minDuration returns the least time, in ms, that a request with tokens is expected to
// take.
func (p *pace) minDuration(tokens units.Tokens) clock.Millis {
	return clock.Millis(p.perToken * paceMargin * float64(tokens))
}
