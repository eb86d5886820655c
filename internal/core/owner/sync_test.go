package owner

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// TestLostUnload checks that nothing is granted on a copy whose eviction may still be
// executed.
func TestLostUnload(t *testing.T) {
	av := units.AdapterVersion{Adapter: "braid", Version: "v1"}
	const lostAt = 10 * clock.Second
	for _, tc := range []struct {
		name     string
		resident bool
		sentAt   clock.Millis
		kept     bool
		usable   bool
	}{
		{"report requested before the loss", true, lostAt - 1, true, false},
		{"still resident within lostOrderWindow", true, lostAt + 1, true, false},
		{"still resident after lostOrderWindow", true, lostAt + lostOrderWindow, true, true},
		{"no longer resident", false, lostAt + 1, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &server{copies: map[units.AdapterVersion]*copyState{av: {unloading: true}}}
			s.unloadDone(lostAt, event.OrderDone{Order: event.Order{Adapter: av}, Result: event.OrderResult{Kind: event.OrderLost}})
			if tc.resident {
				s.report.Resident = []event.ResidentAdapter{{AdapterVersion: av}}
			}
			s.syncCopies(tc.sentAt)
			c := s.copies[av]
			must.Eq(t, tc.kept, c != nil)
			must.Eq(t, tc.usable, c != nil && !c.unloading)
		})
	}
}
