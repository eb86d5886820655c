// Package poison keeps which requests are suspected of crashing backend servers
// and which are refused for that.
package poison

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Terms of suspicion.
const (
	// SuspectTerm is how long a request that ran at a crash is only run alone.
	SuspectTerm = 2 * clock.Minute
	// QuarantineTerm is how long a request is refused after its last crash.
	QuarantineTerm = 15 * clock.Minute
)

// crashesToQuarantine is the number of crashes at which a request must have run
// to be refused.
const crashesToQuarantine = 2

// maxMarks bounds the requests in a Book. The one marked the longest ago gives
// way.
const maxMarks = 4096

// Book holds the marks against requests. The zero value holds none.
type Book struct {
	marks map[units.Fingerprint]*mark
}

// mark is what speaks against one request.
type mark struct {
	// crashes names the different crashes at which the request ran.
	crashes []string
	// suspectUntil is the instant up to which it only runs alone.
	suspectUntil clock.Millis
	// quarantinedUntil is the instant up to which it is refused.
	quarantinedUntil clock.Millis
	server           units.BackendServerID
	markedAt         clock.Millis
}

func (b *Book) mark(now clock.Millis, f units.Fingerprint) *mark {
	if b.marks == nil {
		b.marks = map[units.Fingerprint]*mark{}
	}
	m := b.marks[f]
	if m == nil {
		b.dropOldest()
		m = &mark{}
		b.marks[f] = m
	}
	m.markedAt = now
	return m
}

func (b *Book) dropOldest() {
	if len(b.marks) < maxMarks {
		return
	}
	var oldest units.Fingerprint
	for f, m := range b.marks {
		if old := b.marks[oldest]; old == nil || m.markedAt < old.markedAt {
			oldest = f
		}
	}
	delete(b.marks, oldest)
}

// Doubt makes a request run alone for a time, since its connection broke.
func (b *Book) Doubt(now clock.Millis, f units.Fingerprint) {
	if f != 0 {
		b.mark(now, f).suspectUntil = now + SuspectTerm
	}
}

// Crashed notes that a request ran on server at a crash. It reports whether the
// request is quarantined for it.
func (b *Book) Crashed(now clock.Millis, f units.Fingerprint, server units.BackendServerID, crash string) bool {
	if f == 0 {
		return false
	}
	m := b.mark(now, f)
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

// Quarantine refuses a request for a time by the word of another entry VM.
func (b *Book) Quarantine(now clock.Millis, f units.Fingerprint, server units.BackendServerID, term clock.Millis) {
	if f == 0 || term <= 0 {
		return
	}
	m := b.mark(now, f)
	m.server = server
	m.quarantinedUntil = max(m.quarantinedUntil, now+term)
}

// Served clears a request that ran to its end, unless it is quarantined.
func (b *Book) Served(now clock.Millis, f units.Fingerprint) {
	if !b.Quarantined(now, f) {
		delete(b.marks, f)
	}
}

// Lift clears a request by order of an operator.
func (b *Book) Lift(f units.Fingerprint) { delete(b.marks, f) }

// Suspected reports whether a request is only run alone.
func (b *Book) Suspected(now clock.Millis, f units.Fingerprint) bool {
	m := b.marks[f]
	return m != nil && now < m.suspectUntil
}

// Quarantined reports whether a request is refused.
func (b *Book) Quarantined(now clock.Millis, f units.Fingerprint) bool {
	m := b.marks[f]
	return m != nil && now < m.quarantinedUntil
}

// Entry is one marked request, for operators.
type Entry struct {
	Fingerprint units.Fingerprint `json:"fingerprint"`
	// Server is the backend server that crashed last.
	Server      units.BackendServerID `json:"backend_server"`
	Crashes     int                   `json:"crashes"`
	Quarantined bool                  `json:"quarantined"`
	// Left is the time until the mark ends.
	Left clock.Millis `json:"left_ms"`
}

// List returns the marks in force, sorted by fingerprint.
func (b *Book) List(now clock.Millis) []Entry {
	var entries []Entry
	for f, m := range b.marks {
		left := max(m.suspectUntil, m.quarantinedUntil) - now
		if left <= 0 {
			continue
		}
		entries = append(entries, Entry{
			Fingerprint: f, Server: m.server, Crashes: len(m.crashes), Quarantined: now < m.quarantinedUntil, Left: left,
		})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// Tick drops marks that have ended.
func (b *Book) Tick(now clock.Millis) {
	for f, m := range b.marks {
		if now >= m.suspectUntil && now >= m.quarantinedUntil {
			delete(b.marks, f)
		}
	}
}
