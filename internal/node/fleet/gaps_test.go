package fleet

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"

	"github.com/shoenig/test/must"
)

func TestEventGaps(t *testing.T) {
	type received struct {
		at     clock.Millis
		events int
	}
	tests := []struct {
		name   string
		events []received
		want   choose.SeenGaps
	}{
		{name: "no event", want: choose.SeenGaps{}},
		{name: "one event", events: []received{{1000, 1}}, want: choose.SeenGaps{}},
		{
			name:   "a pause among even events",
			events: []received{{1000, 1}, {1040, 1}, {1440, 1}, {1480, 1}, {1520, 1}, {1560, 1}, {1600, 1}},
			want:   choose.SeenGaps{Longest: 400, Events: 6, Took: 600},
		},
		{
			name:   "events that arrive together",
			events: []received{{1000, 2}, {1100, 3}, {1200, 8}},
			want:   choose.SeenGaps{Longest: 100, Events: 12, Took: 200},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var g eventGaps
			for _, e := range tt.events {
				g.received(e.at, e.events)
			}
			must.Eq(t, tt.want, g.seen())
		})
	}
}
