// Package credit keeps customers' quotas over all entry VMs together. One entry VM, the keeper of a
// customer, counts what the customer's requests use in a sliding window and grants credit to the
// others, which they may spend for a short time without asking again.
//
// All times are by the clock that counts suspended time, so that no grant outlives a freeze.
package credit

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"
)

// Terms are what the deployment promises about quotas. The zero value stands for the defaults.
type Terms struct {
	// Window is the time over which use is summed up.
	Window clock.Millis
	// Overshoot is the part of a limit, and Slack the number of units, by which the use in a window
	// may exceed the limit.
	Overshoot float64
	Slack     float64
}

// DefaultWindow is the window if the deployment names none.
const DefaultWindow = 8 * clock.Second

const (
	// coordinatedPart is the part of the room above the limit that the keeper deals out, so that
	// credit in the hands of others and the width of a slot refuse nothing below the limit.
	coordinatedPart = 0.35
	// smallPart is the part of that room that the keeper deals out to small requests only.
	smallPart = 0.25
	// smallFactor is how often a small request fits into the biggest one.
	smallFactor = 16
	// alonePart is the part of that room that entry VMs without a keeper share.
	alonePart = 0.25
)

// limit returns what a customer may use in a window.
func (t Terms) limit(q topo.Quota) float64 {
	return q.Rate*t.Window.Duration().Seconds() + q.Burst
}

func (t Terms) room(q topo.Quota) float64 { return t.limit(q)*t.Overshoot + t.Slack }

// isSmall reports whether a cost is small beside the biggest: what requests that small use together
// hardly counts, so that refusing them spares next to nothing.
func isSmall(cost, biggest units.Amount) bool { return cost <= biggest/smallFactor }

// dealt returns what the keeper lets a customer use in a window.
func (t Terms) dealt(q topo.Quota) float64 { return t.limit(q) + coordinatedPart*t.room(q) }
