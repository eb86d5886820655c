package peer

import (
	"math"
	"testing"

	"mangostile/internal/base/units"

	"github.com/shoenig/test/must"
)

// TestServerLimitIsChecked guards against a limit of another entry VM that overflows the number of its
// holders, or is newer than any answer.
func TestServerLimitIsChecked(t *testing.T) {
	for _, tc := range []struct {
		name  string
		limit ServerLimit
		ok    bool
	}{
		{"a rate", ServerLimit{Server: "s", Limit: 1.5}, true},
		{"ended", ServerLimit{Server: "s", Age: 5}, true},
		{"no backend server", ServerLimit{Limit: 1}, false},
		{"negative", ServerLimit{Server: "s", Limit: -1}, false},
		{"no number", ServerLimit{Server: "s", Limit: units.Rate(math.NaN())}, false},
		{"infinite", ServerLimit{Server: "s", Limit: units.Rate(math.Inf(1))}, false},
		{"from the future", ServerLimit{Server: "s", Limit: 1, Age: -1}, false},
	} {
		t.Run(tc.name, func(t *testing.T) { must.Eq(t, tc.ok, tc.limit.Check() == nil) })
	}
}
