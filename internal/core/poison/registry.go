// Package poison tracks the requests that are suspected of crashing backend servers
// and those that are quarantined for it.
package poison

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Durations of marks, in ms.
const (
	// SuspectTerm is how long a request only runs alone after its connection broke or a
	// backend server crashed while it was in flight, so that a crash implicates no other.
	SuspectTerm = 2 * clock.Minute
	// QuarantineTerm is how long a request is refused after its last crash.
	QuarantineTerm = 15 * clock.Minute
)

// crashesToQuarantine is the number of different crashes at which a request must have
// been in flight to be quarantined.
const crashesToQuarantine = 2

// maxMarks is the maximum number of requests in a Registry. Beyond it the one whose last
// mark is the oldest is dropped.
const maxMarks = 4096

// Registry holds the marks of suspected and quarantined requests by fingerprint. The
// zero value is empty.
type Registry struct {
	marks map[units.Fingerprint]*mark
}

// mark holds the recorded crashes of one request and until when it is restricted.
type mark struct {
	// crashes lists the ids of the different crashes at which the request was in flight.
	crashes []string
	// suspectUntil is the instant until which the request only runs alone.
	suspectUntil clock.Millis
	// quarantinedUntil is the instant until which the request is refused.
	quarantinedUntil clock.Millis
	// server is the backend server that crashed last.
	server   units.BackendServerID
	markedAt clock.Millis
}

// mark returns the mark of f with markedAt set to now. It adds one if there is none.
func (r *Registry) mark(now clock.Millis, f units.Fingerprint) *mark {
	if r.marks == nil {
		r.marks = map[units.Fingerprint]*mark{}
	}
	m := r.marks[f]
	if m == nil {
		r.dropOldest()
		m = &mark{}
		r.marks[f] = m
	}
	m.markedAt = now
	return m
}

// dropOldest drops the mark with the smallest markedAt if there is no capacity for another.
func (r *Registry) dropOldest() {
	if len(r.marks) < maxMarks {
		return
	}
	var oldest units.Fingerprint
	for f, m := range r.marks {
		if old := r.marks[oldest]; old == nil || m.markedAt < old.markedAt {
			oldest = f
		}
	}
	delete(r.marks, oldest)
}

// Suspect makes a request whose connection broke run alone for SuspectTerm, so that a crash
// implicates no other request. It has no effect if f is 0, which stands for an unknown
// request.
func (r *Registry) Suspect(now clock.Millis, f units.Fingerprint) {
	if f != 0 {
		r.mark(now, f).suspectUntil = now + SuspectTerm
	}
}

// Crashed records that a request was in flight on server at a crash. It reports whether
// this crash puts the request in quarantine. f is 0, which has no effect, if the request's
// content is unknown, such as that of a grant adopted from an earlier owner.
func (r *Registry) Crashed(now clock.Millis, f units.Fingerprint, server units.BackendServerID, crash string) bool {
	if f == 0 {
		return false
	}
	m := r.mark(now, f)
	m.server = server
	m.suspectUntil = now + SuspectTerm
	if slices.Contains(m.crashes, crash) {
		return false
	}
	m.crashes = append(m.crashes, crash)
	if len(m.crashes) < crashesToQuarantine {
		return false
	}
	m.quarantinedUntil = now + QuarantineTerm
	return true
}

// Quarantine quarantines a request for term, in ms, as reported by another entry VM.
func (r *Registry) Quarantine(now clock.Millis, f units.Fingerprint, server units.BackendServerID, term clock.Millis) {
	if f == 0 || term <= 0 {
		return
	}
	m := r.mark(now, f)
	m.server = server
	m.quarantinedUntil = max(m.quarantinedUntil, now+term)
}

// Served removes the mark of a request that completed, unless it is quarantined.
func (r *Registry) Served(now clock.Millis, f units.Fingerprint) {
	if !r.Quarantined(now, f) {
		delete(r.marks, f)
	}
}

// Lift removes the mark of a request on behalf of an operator.
func (r *Registry) Lift(f units.Fingerprint) { delete(r.marks, f) }

// Suspected reports whether a request only runs alone.
func (r *Registry) Suspected(now clock.Millis, f units.Fingerprint) bool {
	m := r.marks[f]
	return m != nil && now < m.suspectUntil
}

// Quarantined reports whether a request is in quarantine and is refused.
func (r *Registry) Quarantined(now clock.Millis, f units.Fingerprint) bool {
	m := r.marks[f]
	return m != nil && now < m.quarantinedUntil
}

// Entry describes one marked request to operators.
type Entry struct {
	Fingerprint units.Fingerprint `json:"fingerprint"`
	// Server is the backend server that crashed last.
	Server      units.BackendServerID `json:"backend_server"`
	Crashes     int                   `json:"crashes"`
	Quarantined bool                  `json:"quarantined"`
	// Remaining is the time in ms until the mark ends.
	Remaining clock.Millis `json:"left_ms"`
}

// List returns the marks that have not ended, sorted by fingerprint.
func (r *Registry) List(now clock.Millis) []Entry {
	var entries []Entry
	for f, m := range r.marks {
		remaining := max(m.suspectUntil, m.quarantinedUntil) - now
		if remaining <= 0 {
			continue
		}
		entries = append(entries, Entry{
			Fingerprint: f, Server: m.server, Crashes: len(m.crashes), Quarantined: now < m.quarantinedUntil, Remaining: remaining,
		})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Tick drops marks that have ended.
func (r *Registry) Tick(now clock.Millis) {
	for f, m := range r.marks {
		if now >= m.suspectUntil && now >= m.quarantinedUntil {
			delete(r.marks, f)
		}
	}
}
