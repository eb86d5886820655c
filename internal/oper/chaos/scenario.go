// Package chaos plays disturbances of model engines against the decisions of several entry VMs in
// virtual time: the choice of a backend server on each (core/choose) and one placer (core/homes).
package chaos

import (
	"mangostile/internal/base/clock"
)

// Disturbance is what happens to backend servers.
type Disturbance string

// Disturbances.
const (
	// Backoff lets backend servers refuse requests and ask for a back-off.
	Backoff Disturbance = "backoff"
	// Leaving lets backend servers say that they leave, and end some time later.
	Leaving Disturbance = "leaving"
	// Release replaces backend servers by ones of another software version, one after the other.
	Release Disturbance = "release"
	// Limit slows backend servers down to a tenth and lets them name a tenth of their requests as
	// their limit.
	Limit Disturbance = "limit"
	// Slow lets backend servers work at a third of their pace.
	Slow Disturbance = "slow"
	// Restart lets backend servers crash and come back empty, at a third of their pace at first, while
	// demand is at its peak.
	Restart Disturbance = "restart"
)

// Disturbances lists all of them.
func Disturbances() []Disturbance {
	return []Disturbance{Backoff, Leaving, Release, Limit, Slow, Restart}
}

// ofPace reports whether backend servers say nothing of d: only the pace of their answers shows it.
func (d Disturbance) ofPace() bool { return d == Slow || d == Restart }

// Scenario describes a run. The zero values of fields other than Disturbance take the defaults.
type Scenario struct {
	Name        string      `json:"name"`
	Disturbance Disturbance `json:"disturbance"`
	Seed        uint64      `json:"seed"`
	EntryVMs    int         `json:"entry_vms"`
	Engines     int         `json:"engines"`
	// Share is the share of the engines that are disturbed.
	Share float64 `json:"share"`
	// Rate is the number of requests in a second, Adapters that of adapters, the first ones of
	// which are requested more often.
	Rate     float64 `json:"rate"`
	Adapters int     `json:"adapters"`
	// From and To bound the disturbance, Duration the run, in ms.
	From     clock.Millis `json:"from_ms"`
	To       clock.Millis `json:"to_ms"`
	Duration clock.Millis `json:"duration_ms"`
}

// Defaults of Scenario.
const (
	defaultEntryVMs = 7
	defaultEngines  = 18
	defaultShare    = 1.0 / 3
	defaultRate     = 60
	// peakRate is that of disturbances of the pace: about two thirds of what the engines read.
	peakRate        = 110
	defaultAdapters = 120
	defaultFrom     = 20 * clock.Second
	defaultTo       = 30 * clock.Second
	defaultDuration = 50 * clock.Second
)

func (s Scenario) withDefaults() Scenario {
	setDefault(&s.EntryVMs, defaultEntryVMs)
	setDefault(&s.Engines, defaultEngines)
	setDefault(&s.Share, defaultShare)
	if s.Disturbance.ofPace() {
		setDefault(&s.Rate, peakRate)
	}
	setDefault(&s.Rate, defaultRate)
	setDefault(&s.Adapters, defaultAdapters)
	setDefault(&s.From, defaultFrom)
	setDefault(&s.To, defaultTo)
	setDefault(&s.Duration, defaultDuration)
	setDefault(&s.Name, string(s.Disturbance))
	return s
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Phase is a part of a run, relative to the disturbance.
type Phase string

// Phases. After begins at the end of the disturbance.
const (
	Before Phase = "before"
	During Phase = "during"
	After  Phase = "after"
)

func (s *Scenario) phaseOf(at clock.Millis) Phase {
	switch {
	case at < s.From:
		return Before
	case at < s.To:
		return During
	default:
		return After
	}
}
