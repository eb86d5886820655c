package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	// maxTakeUps is the number of attempts to take up a stream at one event, takeUpDelay the time
	// between them.
	maxTakeUps  = 4
	takeUpDelay = 300 * time.Millisecond
	// minTakenUp is the number of streams taken up from which on the share that goes on is
	// checked.
	minTakenUp = 12
	// minShareOfNew is the least share of streams that go on, relative to that of new streams that
	// begin.
	minShareOfNew = 0.5
	// minSiblings is the number of running servers of a stream's version at which it must go on.
	minSiblings = 2
)

// takeUp returns the next attempt of a stream that has broken off, nil if it has not or the caller
// does not go on with it. That attempt is at any entry VM.
func (c *caller) takeUp(q *request) *request {
	got := strings.Count(q.body, "\n\n")
	if !q.isStream() || q.complete || q.deadly || q.lastEvent+got == 0 {
		return nil
	}
	next := &request{path: "/stream/x", model: q.model, parts: q.parts, resumes: q.root(), lastEvent: q.lastEvent + got, tries: 1}
	switch {
	case q.status != 200:
		if next.tries += q.tries; next.tries > maxTakeUps {
			return nil
		}
		time.Sleep(takeUpDelay)
	case !q.disconnectedAt.IsZero() && c.r.IntN(2) == 0:
		return nil
	}
	c.close()
	if !c.connect() {
		return nil
	}
	next.id, next.vm, next.began = c.newID(), c.vm.index, q.began
	if next.began == "" {
		next.began = q.server()
	}
	next.siblings = c.d.countVersion(next.began)
	return next
}

// root returns the id of the attempt that began the stream.
func (q *request) root() string {
	if q.resumes != "" {
		return q.resumes
	}
	return q.id
}

// server returns the server that the answer names.
func (q *request) server() string { return strings.TrimPrefix(q.stamp, "stamp-") }

// softwareOf returns the software version of a server that has run a request.
func (h *history) softwareOf(server string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.softwareVersion(server)
}

func (h *history) softwareVersion(server string) string {
	for _, runs := range h.runs {
		for _, run := range runs {
			if run.Replica == server {
				return run.Version
			}
		}
	}
	return ""
}

// mixedAttempts finds streams whose callers got events of two software versions over their attempts.
func (d *deployment) mixedAttempts(byID map[string]*request) (list []string) {
	h := &d.history
	for _, q := range h.requests {
		if q.resumes == "" {
			continue
		}
		d.coverage.takenUp++
		if q.status != 200 || q.body == "" {
			continue
		}
		d.coverage.wentOn++
		began, wentOn := h.softwareVersion(byID[q.resumes].server()), h.softwareVersion(q.server())
		if began != wentOn {
			list = append(list, fmt.Sprintf("%s by vm%d went on at version %s, %s began it at %s", q.id, q.vm, wentOn, q.resumes, began))
		}
	}
	return list
}

// lostStreams reports whether streams that callers took up were refused more often than new ones,
// although servers of their version ran and nothing else was disturbed.
func (d *deployment) lostStreams() (list []string) {
	var sent, began, wentOn int
	// takenUp holds whether each stream that was taken up went on, by its attempt and event.
	takenUp := map[string]bool{}
	for _, q := range d.history.requests {
		if !q.isStream() || q.deadly || !q.disconnectedAt.IsZero() || !d.undisturbed(q.vm, q.sent, q.ended) || !d.history.serverFaults.free(q.sent, q.ended) {
			continue
		}
		answered := q.status == 200 && (q.complete || q.body != "")
		switch {
		case q.resumes == "":
			sent++
			began += count(answered)
		case q.siblings >= minSiblings:
			key := fmt.Sprint(q.resumes, " ", q.lastEvent)
			takenUp[key] = takenUp[key] || answered
		}
	}
	for _, answered := range takenUp {
		wentOn += count(answered)
	}
	if len(takenUp) >= minTakenUp && float64(wentOn*sent) < minShareOfNew*float64(began*len(takenUp)) {
		list = append(list, fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d new ones began", wentOn, len(takenUp), began, sent))
	}
	return list
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
