package owner

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// pace learns how long a server takes for a token. The zero value expects
// nothing.
type pace struct {
	// perToken is in milliseconds.
	perToken float64
}

const (
	// paceGain is the weight of the newest request.
	paceGain = 0.05
	// paceMargin is the part of the learned time that a request surely takes.
	paceMargin = 0.95
)

// note takes in a request that took a time for its tokens.
func (p *pace) note(took clock.Millis, tokens units.Tokens) {
	if tokens <= 0 || took <= 0 {
		return
	}
	perToken := float64(took) / float64(tokens)
	if p.perToken == 0 {
		p.perToken = perToken
	}
	p.perToken += paceGain * (perToken - p.perToken)
}

// expect returns the least time that a request is expected to take.
func (p *pace) expect(tokens units.Tokens) clock.Millis {
	return clock.Millis(p.perToken * paceMargin * float64(tokens))
}
