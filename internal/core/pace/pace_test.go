package pace

import (
	"testing"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// answers adds answers of a ratio of the expected time, one each period, and returns the step that they
// lead to.
func answers(w *Work, now *clock.Millis, n int, period clock.Millis, ratio float64) (step Step) {
	for range n {
		*now += period
		s := Sample{}
		s.Add(200*ratio, 200)
		w.Add(*now, s, 1)
		step = step.Next(w.Slowness(*now, 1))
	}
	return step
}

// TestWork answers the loads of one server: it slows down, has one slow answer, or has none any more.
func TestWork(t *testing.T) {
	tests := []struct {
		name  string
		run   func(w *Work, now *clock.Millis) float64
		least float64
		most  float64
	}{
		{"a server at a third of the pace is found within 15 answers", func(w *Work, now *clock.Millis) float64 {
			answers(w, now, 20, 150, 1)
			return answers(w, now, 15, 150, 3).Factor()
		}, 1.6, 3},
		{"a server at a quarter of the pace", func(w *Work, now *clock.Millis) float64 { return answers(w, now, 40, 150, 4).Factor() }, 2.5, 4},
		{"a server a little slower than others", func(w *Work, now *clock.Millis) float64 { return answers(w, now, 40, 150, 1.5).Factor() }, 1, 1},
		{"one answer that took twenty times as long changes nothing", func(w *Work, now *clock.Millis) float64 {
			answers(w, now, 10, 150, 1)
			return answers(w, now, 1, 150, 20).Factor()
		}, 1, 1},
		{"a server without answers for long is tried again", func(w *Work, now *clock.Millis) float64 {
			answers(w, now, 40, 150, 4)
			*now += 20 * clock.Second
			return Step(8).Next(w.Slowness(*now, 1)).Factor()
		}, 1, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w, now := Work{}, clock.Hour
			got := tc.run(&w, &now)
			must.Between(t, tc.least, got, tc.most)
		})
	}
}

// TestStepsAreBounded draws any answers: a step stays within its bounds, and the slowness of a server lies
// between the prior and what its answers show.
func TestStepsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, now, step := Work{}, clock.Hour, Step(0)
		for range rapid.IntRange(1, 50).Draw(t, "answers") {
			now += clock.Millis(rapid.IntRange(0, 4000).Draw(t, "pause"))
			s := Sample{Timed: rapid.Int32Range(-1, 40).Draw(t, "n"), Took: rapid.Float64Range(-1, 1e7).Draw(t, "took"), Expected: rapid.Float64Range(-1, 1e7).Draw(t, "expected")}
			w.Add(now, s, 1)
			slowness := w.Slowness(now, 1)
			must.Greater(t, 0, slowness)
			step = step.Next(slowness)
			must.Between(t, -maxStep, step, maxStep)
		}
	})
}

// TestWindow answers the load of a server that has just started: demand would fill it at once.
func TestWindow(t *testing.T) {
	const slots = 96
	fast, slow, refused := Sample{Answers: 12, Timed: 12, Took: 1200, Expected: 1200}, Sample{Answers: 12, Timed: 1, Took: 1000, Expected: 100}, Sample{Answers: 12, Refused: 1}
	tests := []struct {
		name    string
		samples []Sample
		want    int32
	}{
		{"it begins with an eighth", nil, 12},
		{"it doubles with the answers to what it admits", []Sample{fast}, 24},
		{"it ends at the slots", []Sample{fast, fast, fast, fast, fast, fast, fast}, 0},
		{"it halves once for answers that come together", []Sample{fast, fast, fast, slow, slow}, 24},
		{"it stays at its start for a server that only refuses", []Sample{refused, slow, refused}, 12},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			w := Window{}
			w.Open(slots)
			for _, s := range tc.samples {
				w.Note(clock.Hour, s, 1, 1, slots)
			}
			must.Eq(t, tc.want, w.Limit())
		})
	}
}

// TestMedian compares servers of which one is an outlier.
func TestMedian(t *testing.T) {
	must.Eq(t, 1, Median(nil))
	must.Eq(t, 2, Median([]float64{50, 2, 1}))
	must.Eq(t, 2, Median([]float64{4, 1}))
}
