package choose

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

const (
	// newestWeight is the weight of the newest stream or request in the means of a service: some dozen
	// even out the different prompts.
	newestWeight = 1.0 / 16
	// defaultPrompt is the number of prompt tokens that an engine has to read for a request, before any
	// was sent.
	defaultPrompt = 2000
	// gapShare is the share of the objective that an event is expected to take before any were seen.
	gapShare = 0.2
)

// streamMeans holds decayed means over the requests of one service.
type streamMeans struct {
	// prompt is the number of prompt tokens that an engine had to read.
	prompt float64
	// event is the time of an event in ms, stall the longest time between two events of a stream, as it
	// would have been at the common pace. 0 means that none were seen.
	event, stall float64
}

// streams returns the means of a service.
func (c *Core) streams(service units.ServiceName) *streamMeans {
	m := c.means[service]
	if m == nil {
		m = &streamMeans{prompt: defaultPrompt}
		c.means[service] = m
	}
	return m
}

// SeenGaps is what an attempt has shown of the times between its events.
type SeenGaps struct {
	// Longest is the longest time between two events.
	Longest clock.Millis
	// Events is the number of events after the first one, Took the time from the first to the last.
	Events int
	Took   clock.Millis
}

// NoteGaps records what an attempt has shown of the times between its events.
func (c *Core) NoteGaps(now clock.Millis, server units.BackendServerID, seen SeenGaps) {
	c.now = max(c.now, now)
	v := c.servers[server]
	if v == nil || v.engine == nil || c.gapTargets[v.Service] == 0 || seen.Events <= 0 {
		return
	}
	m := c.streams(v.Service)
	mean(&m.event, float64(seen.Took)/float64(seen.Events))
	if seen.Took >= c.gapTargets[v.Service] {
		// A shorter stream has seldom met a prompt.
		mean(&m.stall, float64(seen.Longest)/c.slowness(v))
	}
}

// notePrompt records the prompt tokens that v has to read for a request.
func (c *Core) notePrompt(v *view, tokens units.Tokens) {
	if v.engine != nil && tokens > 0 {
		mean(&c.streams(v.Service).prompt, float64(tokens))
	}
}

// mean includes a value in a decayed mean; 0 is one without values.
func mean(m *float64, value float64) {
	if *m == 0 {
		*m = value
		return
	}
	*m += newestWeight * (value - *m)
}
