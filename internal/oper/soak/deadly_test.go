package soak

import (
	"fmt"
	"time"
)

// deadlyPartID is the part of a prompt that crashes engines.
const deadlyPartID = "dead0001"

// Bounds on a part of a prompt that crashes engines.
const (
	stabilityWindow = 4 * time.Second
	// knownCrashes is the number of crashes after which the part has to be known within
	// stabilityWindow. From then on at most maxLateDeadly requests with it may run.
	knownCrashes  = 5
	maxLateDeadly = 3
	// soundWindow is the time in which sound requests are counted after the crashes, and
	// minSoundSamples the least number of them for the check.
	soundWindow     = 4 * time.Second
	minSoundSamples = 20
)

// knownSince returns the time of the crash by which the deadly part has to be known, the
// last one if there are fewer. It returns the zero time if there was none.
func knownSince(crashes []time.Time) time.Time {
	if len(crashes) == 0 {
		return time.Time{}
	}
	return crashes[min(len(crashes), knownCrashes)-1]
}

// awaitDeadlyRecovery waits until sound requests had time to recover from the deadly part
// and from the faults, and until enough of them were sent after that.
func (d *deployment) awaitDeadlyRecovery(faultsEnded time.Time) {
	if d.deadly == nil {
		return
	}
	time.Sleep(time.Until(faultsEnded.Add(settleWindow + soundWindow)))
	_, crashes := d.deadly.Times()
	time.Sleep(time.Until(knownSince(crashes).Add(2*stabilityWindow + soundWindow)))
}

// recordDeadlyCrashes records the crashes on the deadly part as faults of servers, which
// excuse answers that were cut off.
func (d *deployment) recordDeadlyCrashes() {
	if d.deadly == nil {
		return
	}
	_, crashes := d.deadly.Times()
	s := &d.history.serverFaults
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range crashes {
		s.list = append(s.list, [2]time.Time{at, at.Add(d.deadly.Downtime)})
	}
}

// deadlyViolations checks that requests with the deadly part stop running once the part is
// known, and that sound requests with the same first part are served again.
func (d *deployment) deadlyViolations() []string {
	if d.deadly == nil {
		return nil
	}
	_, crashes := d.deadly.Times()
	return d.deadlyViolationsAt(crashes, d.startedAt.Add(d.plan.deadly.at))
}

// deadlyViolationsAt is deadlyViolations with the times of the crashes and of the first
// request that may have the part.
func (d *deployment) deadlyViolationsAt(crashes []time.Time, start time.Time) (list []string) {
	h := &d.history
	h.mu.Lock()
	defer h.mu.Unlock()
	known := knownSince(crashes)
	late := 0
	var before, after soundRequests
	for _, q := range h.requests {
		for _, run := range h.runs[q.id] {
			if q.deadly && len(crashes) >= knownCrashes && run.At.After(known.Add(stabilityWindow)) && d.undisturbed(q.vm, run.At, run.At) {
				late++
			}
		}
		switch {
		case q.deadly || !q.isStream() || !q.disconnectedAt.IsZero() || !d.undisturbed(q.vm, q.sent, q.ended) || !h.serverFaults.free(q.sent, q.ended):
		case q.sent.Before(start):
			before.add(q)
		case len(crashes) > 0 && q.sent.After(known.Add(2*stabilityWindow)):
			after.add(q)
		}
	}
	if late > maxLateDeadly {
		list = append(list, fmt.Sprintf("%d requests with the deadly part ran later than %s after crash %d of %d", late, stabilityWindow, knownCrashes, len(crashes)))
	}
	if min(before.all, after.all) >= minSoundSamples && 2*after.served*before.all < before.served*after.all {
		list = append(list, fmt.Sprintf("sound requests beside the deadly part: %d of %d served after %d crashes, %d of %d before", after.served, after.all, len(crashes), before.served, before.all))
	}
	d.coverage.lateDeadly, d.coverage.soundAfter = late, after.all
	return list
}

// soundRequests counts sound requests and those that were served.
type soundRequests struct{ served, all int }

func (s *soundRequests) add(q *request) {
	s.all++
	if q.status == 200 {
		s.served++
	}
}
