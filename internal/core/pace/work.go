// Package pace learns from answers how fast backend servers work, and how much one that has just
// started or recovered takes. It does no I/O.
package pace

import (
	"math"
	"slices"

	"mangostile/internal/base/clock"
)

const (
	// forgetTime is the time after which an answer counts 1/e, about a third. A server that is slow
	// after its start recovers within seconds, and gets few answers to show it.
	forgetTime = 2 * clock.Second
	// priorAnswers is the number of answers that the prior counts as: what is in an engine's cache changes
	// the time of one by more than the paces of most servers differ.
	priorAnswers = 4
	// maxRatio bounds how far one report of answers may lie from the belief, so that an outlier counts
	// little but a lasting change still moves it.
	maxRatio = 3
	// refusedRatio is the time of a refused or failed request as a multiple of that of an answer: its
	// caller needs another send, and the server would else look fast.
	refusedRatio = 3
	// overhead is added to each time in ms: callers don't notice smaller differences, and a server
	// that answers in 2 ms is not half as fast as one that does in 1 ms.
	overhead = 20
)

// Sample sums up answers: their number and how many of them were refusals or failures. Timed of them show
// the pace: Took sums up the times in ms that these took, Expected those expected of a server at the common
// pace under the load that was known. The zero value is empty.
type Sample struct {
	Answers, Refused, Timed int32
	Took, Expected          float64
}

// Add counts an answer. It is not timed if expected is 0.
func (s *Sample) Add(took, expected float64) {
	s.Answers++
	if expected == 0 {
		return
	}
	s.Timed++
	s.Took += took + overhead
	s.Expected += expected + overhead
}

// Merge counts the answers in t.
func (s *Sample) Merge(t Sample) {
	s.Answers, s.Refused, s.Timed = s.Answers+t.Answers, s.Refused+t.Refused, s.Timed+t.Timed
	s.Took, s.Expected = s.Took+t.Took, s.Expected+t.Expected
}

// AddRefused counts a request that was refused, or failed, after took. usual is the time of an answer.
func (s *Sample) AddRefused(took, expected, usual float64) {
	s.Add(max(took, refusedRatio*usual), expected)
	s.Refused++
}

// Work holds the timed answers of one process of a backend server, weighted by their age. The zero value
// has none.
type Work struct {
	answers, took, expected float64
	at                      clock.Millis
}

// forget lowers the weights by the time since the last call.
func (w *Work) forget(now clock.Millis) {
	if now <= w.at {
		return
	}
	if w.answers > 0 {
		keep := math.Exp(-float64(now-w.at) / float64(forgetTime))
		w.answers, w.took, w.expected = w.answers*keep, w.took*keep, w.expected*keep
	}
	w.at = now
}

// Add counts timed answers. prior is the slowness believed without any.
func (w *Work) Add(now clock.Millis, s Sample, prior float64) {
	if s.Timed <= 0 || !(s.Expected > 0) || !(s.Took >= 0) {
		return
	}
	believed := w.Slowness(now, prior)
	w.answers += float64(s.Timed)
	w.expected += s.Expected
	w.took += min(max(s.Took, s.Expected*believed/maxRatio), s.Expected*believed*maxRatio)
}

// Known reports whether there are enough answers to compare the server with others.
func (w *Work) Known(now clock.Millis) bool {
	w.forget(now)
	return w.answers >= priorAnswers/2
}

// Slowness returns the time of answers as a multiple of the expected one. Without answers it is prior,
// and it returns to prior as they age.
func (w *Work) Slowness(now clock.Millis, prior float64) float64 {
	w.forget(now)
	if w.answers <= 0 || w.expected <= 0 {
		return prior
	}
	weight := priorAnswers * w.expected / w.answers
	return (w.took + weight*prior) / (w.expected + weight)
}

// Median returns the median of slownesses, 1 if there are none. It sorts them.
func Median(list []float64) float64 {
	if len(list) == 0 {
		return 1
	}
	slices.Sort(list)
	upper, lower := list[len(list)/2], list[(len(list)-1)/2]
	return math.Sqrt(upper * lower)
}

// Step is a slowness relative to that of other servers, in quarters of an octave: servers of step 4
// take twice as long as those of step 0, the common pace. It is between -maxStep and maxStep.
type Step int8

const (
	stepsPerOctave = 4
	maxStep        = 12
	// deadSteps is the least difference from the common pace that counts, one of twice the time: counts
	// of the load are up to some hundred ms old, and to avoid a server for a load that is over sends too
	// much to the others. One that counts does so until it falls below returnSteps, and a step changes
	// only by stepMargin, so that few changes are published.
	deadSteps   = 4
	returnSteps = 2
	stepMargin  = 0.75
)

// Next returns the step of a server whose slowness is now relative times that of others.
func (s Step) Next(relative float64) Step {
	x := min(max(stepsPerOctave*math.Log2(relative), -maxStep), maxStep)
	switch {
	case math.IsNaN(x):
		return 0
	case s == 0 && math.Abs(x) < deadSteps, math.Abs(x) < returnSteps:
		return 0
	case s != 0 && math.Abs(x-float64(s)) < stepMargin:
		return s
	default:
		return Step(math.Round(x))
	}
}

// Speed returns the pace as a multiple of the common one: a server of a speed of 0.5 takes twice as long.
func (s Step) Speed() float64 { return 1 / s.Factor() }

// factors holds the factors of all steps, since they are needed for each server at each choice.
var factors = func() (list [2*maxStep + 1]float64) {
	for i := range list {
		list[i] = math.Exp2(float64(i-maxStep) / stepsPerOctave)
	}
	return list
}()

// Factor returns the slowness of s as a multiple of the common one.
func (s Step) Factor() float64 { return factors[min(max(int(s), -maxStep), maxStep)+maxStep] }

// ColdSlowness is the prior of a server that says that it is still slow after its start, relative to
// others. Servers don't say how slow; answers soon do.
const ColdSlowness = 2
