package edge

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestRequestIDsDiffer checks that request ids are unique even if a caller reuses one:
// the intents of actions are distinguished by request id.
func TestRequestIDsDiffer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		given string
		ok    bool
	}{
		{"none given", "", true},
		{"one given twice", "order-7", true},
		{"blank inside", "order 7", false},
		{"line break", "order\r\n7", false},
		{"too long", strings.Repeat("x", maxCallerRequestID+1), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, refusal := uniqueRequestID(tc.given, maxCallerRequestID)
			must.Eq(t, tc.ok, refusal == nil)
			second, _ := uniqueRequestID(tc.given, maxCallerRequestID)
			must.Eq(t, tc.ok, first != second)
			must.True(t, !tc.ok || strings.HasPrefix(string(first), tc.given))
		})
	}
}
