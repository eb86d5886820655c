package entry

import (
	"testing"

	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/admit"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// TestCallerIsHeldToItsLimits checks that a caller's limits apply to services and
// adapters together, and not to other callers.
func TestCallerIsHeldToItsLimits(t *testing.T) {
	for _, tc := range []struct {
		name     string
		limits   admit.Limits
		caller   units.Caller
		tokens   units.Tokens
		accepted int
	}{
		{"requests", admit.Limits{RequestsPerSecond: 3}, "guild", 0, 3},
		{"tokens", admit.Limits{TokensPerSecond: 100}, "guild", 60, 2},
		{"concurrency", admit.Limits{Concurrency: 2}, "guild", 0, 2},
		{"no limit", admit.Limits{}, "guild", 0, 10},
		{"another caller", admit.Limits{RequestsPerSecond: 3}, "village", 0, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, out := startCore(t)
			c.cfg.Callers = map[units.Caller]admit.Limits{"guild": tc.limits}
			c.cfg.Services = map[units.ServiceName]Service{"stock": {}}
			accepted := 0
			for i := range 10 {
				out.Reset()
				request := modelRequest(units.RequestID(rune('a' + i)))
				if i%2 == 1 {
					request = event.Request{ID: request.ID, Service: "stock", Idempotent: true}
				}
				request.Caller, request.MaxTokens = tc.caller, tc.tokens
				c.Step(3100, event.RequestArrived{Request: request}, out)
				refused := refusals(out)
				if len(refused) == 0 {
					accepted++
					continue
				}
				must.Eq(t, errs.CodeLimited, refused[0].Code)
				must.Eq(t, errs.RanNo, refused[0].Ran)
				must.Positive(t, refused[0].RetryAfter)
			}
			must.Eq(t, tc.accepted, accepted)
		})
	}
}
