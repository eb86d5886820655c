// Package load sends requests to entry VMs on a fixed schedule and checks each answer
// against its request.
package load

import (
	"time"

	"mangostile/internal/base/units"

	"github.com/pkg/errors"
)

// Plan describes a load test: which requests are sent, where and at which rate.
type Plan struct {
	// Entries are the addresses, as host:port, at which the entry VMs serve callers.
	Entries []string
	// Token is sent as a bearer token unless it is empty.
	Token string
	// Adapters are requested by popularity, which is drawn from Seed. An empty version
	// leaves the choice to the entry VM.
	Adapters []units.AdapterVersion
	// Skew is the exponent of the Zipf distribution, greater than 1.
	Skew float64
	// ShiftEvery is the period after which other adapters become popular; 0 means never.
	ShiftEvery time.Duration
	// Rate is the number of requests per second, without repeated actions.
	Rate     float64
	Duration time.Duration
	// WarmUp is the first part of Duration. Its calls are checked, but the figures of
	// kinds, refusals and stalls leave them out, so that the first loads of all adapters
	// don't distort these figures.
	WarmUp time.Duration
	Mix    Mix
	// RepeatShare is the share of actions that are sent a second time with the same key, 0
	// to 1.
	RepeatShare float64
	// Service is the plain service that lookups and actions call.
	Service units.ServiceName
	// ActionPath and LookupPath are paths of the service.
	ActionPath string
	LookupPath string
	// ChatTokens and LetterTokens are the lengths in tokens of the answers to chats and to
	// letters.
	ChatTokens   int
	LetterTokens int
	// Deadline is the time limit for a complete answer.
	Deadline time.Duration
	// MaxOpen limits the requests that are open at once. A request beyond it isn't sent,
	// and the report warns of it.
	MaxOpen int
	Seed    uint64
	// Engines and Services are addresses of stand-ins, whose counters the report
	// includes. Both may be empty.
	Engines  []string
	Services []string
}

// Mix holds the relative shares of the kinds of requests.
type Mix struct {
	Chat   int `json:"chat"`
	Letter int `json:"letter"`
	Lookup int `json:"lookup"`
	Action int `json:"action"`
}

func (m Mix) sum() int { return m.Chat + m.Letter + m.Lookup + m.Action }

// Defaults of a plan.
const (
	DefaultSkew         = 1.1
	DefaultChatTokens   = 16
	DefaultLetterTokens = 32
	DefaultDeadline     = 15 * time.Second
	DefaultMaxOpen      = 4000
)

// Check fills in defaults and returns an error if p is invalid.
func (p *Plan) Check() error {
	if p.Skew == 0 {
		p.Skew = DefaultSkew
	}
	if p.ChatTokens == 0 {
		p.ChatTokens = DefaultChatTokens
	}
	if p.LetterTokens == 0 {
		p.LetterTokens = DefaultLetterTokens
	}
	if p.Deadline == 0 {
		p.Deadline = DefaultDeadline
	}
	if p.MaxOpen == 0 {
		p.MaxOpen = DefaultMaxOpen
	}
	switch {
	case len(p.Entries) == 0:
		return errors.New("no entry VM: name at least one address")
	case !(p.Rate > 0):
		return errors.New("the rate must be greater than 0 requests a second")
	case p.Duration <= 0:
		return errors.New("the duration must be greater than 0")
	case p.WarmUp < 0 || p.WarmUp >= p.Duration:
		return errors.New("the warm-up must be shorter than the run")
	case !(p.Skew > 1):
		return errors.New("the skew must be greater than 1")
	case p.Mix.Chat < 0 || p.Mix.Letter < 0 || p.Mix.Lookup < 0 || p.Mix.Action < 0 || p.Mix.sum() == 0:
		return errors.New("the mix must have a share above 0 and none below")
	case p.Mix.Chat+p.Mix.Letter > 0 && len(p.Adapters) == 0:
		return errors.New("no adapter to ask for: import a table first or name a file of adapters")
	case p.Mix.Lookup+p.Mix.Action > 0 && p.Service == "":
		return errors.New("no service for lookups and actions: name one or set their shares to 0")
	}
	return nil
}
