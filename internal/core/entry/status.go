package entry

import (
	"maps"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/core/event"
	"mangostile/internal/core/poison"
)

// Now returns the time of the last event.
func (c *Core) Now() clock.Millis { return c.now }

// RequestCounts holds the numbers of open requests by state.
type RequestCounts struct {
	// Queued counts the requests that wait for a usable backend server.
	Queued int `json:"queued"`
	// AwaitingGrant counts the requests that wait for an owner's reply to a grant request.
	AwaitingGrant int `json:"asking"`
	// Running counts the requests that were dispatched and have not ended.
	Running int `json:"running"`
	// Intent counts the actions that wait for the log service.
	Intent int `json:"intent"`
}

// CountRequests counts the open requests by state.
func (c *Core) CountRequests() RequestCounts {
	var counts RequestCounts
	for _, r := range c.requests {
		switch r.state {
		case stateQueued:
			counts.Queued++
		case stateGrantRequested:
			counts.AwaitingGrant++
		case stateRunning:
			counts.Running++
		case stateIntent:
			counts.Intent++
		}
	}
	return counts
}

// PoisonMarks returns the active marks against requests.
func (c *Core) PoisonMarks() []poison.Entry { return c.Poison.List(c.now) }

// Refusals returns the number of requests that the core has refused since it started, by
// code.
func (c *Core) Refusals() map[errs.Code]int64 { return maps.Clone(c.refusals) }

func (c *Core) countRefusals(effects []event.Effect) {
	for _, effect := range effects {
		refuse, ok := effect.(event.Refuse)
		if !ok {
			continue
		}
		if c.refusals == nil {
			c.refusals = map[errs.Code]int64{}
		}
		c.refusals[refuse.Refusal.Code]++
	}
}
