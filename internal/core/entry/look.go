package entry

import (
	"maps"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/core/event"
	"mangostile/internal/core/poison"
)

// Now returns the instant of the last event.
func (c *Core) Now() clock.Millis { return c.now }

// RequestCounts counts the requests that have not ended.
type RequestCounts struct {
	// Queued requests wait for a backend server that can be used.
	Queued int `json:"queued"`
	// Asking requests wait for the word of an owner.
	Asking int `json:"asking"`
	// Running requests are on their way to a backend server or run there.
	Running int `json:"running"`
	// Intent requests wait for the log service.
	Intent int `json:"intent"`
}

// CountRequests counts the open requests by how far they have come.
func (c *Core) CountRequests() RequestCounts {
	var counts RequestCounts
	for _, r := range c.requests {
		switch r.state {
		case stateQueued:
			counts.Queued++
		case stateAsking:
			counts.Asking++
		case stateRunning:
			counts.Running++
		case stateIntent:
			counts.Intent++
		}
	}
	return counts
}

// Marks returns the marks in force against requests.
func (c *Core) Marks() []poison.Entry { return c.Poison.List(c.now) }

// Refusals counts the requests that the core refused since it began, by code.
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
