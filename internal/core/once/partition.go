package once

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/vmihailenco/msgpack/v5"
)

// Bounds of one partition.
const (
	maxStates       = 4096
	maxOutcomeTotal = 512 << 10
)

// gapState is how far a partition has come after records expired unread.
type gapState uint8

// States after a gap.
const (
	gapNone gapState = iota
	// gapNoticed: no batch has been read since.
	gapNoticed
	// gapAtEnd: the stream was empty when the gap was noticed, so that all that
	// was lost had been kept for the log service's whole retention.
	gapAtEnd
)

// state is what a partition holds of one key.
type state struct {
	digest units.Fingerprint
	// first is the request whose intent came first and that alone may run.
	first   units.RequestID
	outcome *Outcome
}

// partition is the fold of one action stream.
type partition struct {
	// neededAt is the last instant at which an action needed the stream.
	neededAt clock.Millis
	// next is the offset of the first record that is not folded.
	next   units.Offset
	states map[string]*state
	// notRun holds requests that surely did not run, so that an intent that
	// comes later than that word does not count.
	notRun map[units.RequestID]bool
	// expiry lists what to drop, by the minute after which it is not needed.
	expiry map[clock.Millis]*expired
	// swept is the last minute whose expiry was done.
	swept clock.Millis
	// outcomeBytes counts the bodies in states; order lists their keys, oldest
	// first.
	outcomeBytes int
	order        []string
	// lostUntil is the log service's wall clock up to which records may have
	// expired unread, or 0.
	lostUntil clock.Millis
	gap       gapState
}

// expired lists keys and requests that expire in the same minute.
type expired struct {
	keys     []string
	requests []units.RequestID
}

// fold applies the record at offset next. Records before it are ignored.
func (p *partition) fold(record *peer.Record, watched map[units.RequestID]*watch) {
	if record.Offset != p.next {
		return
	}
	p.next++
	p.noteGap(record.At)
	p.sweep(record.At)
	var entry Entry
	if err := msgpack.Unmarshal(record.Body, &entry); err != nil {
		return
	}
	if entry.Outcome == nil {
		p.foldIntent(&entry, record.At, watched[entry.Request])
		return
	}
	p.foldOutcome(&entry, record.At)
}

// resume notes that a batch was read after a gap.
func (p *partition) resume(hadRecords bool) {
	if p.gap == gapNoticed && !hadRecords {
		p.gap = gapAtEnd
	}
}

// noteGap bounds the time of the records that were lost, by that of the first
// one after them.
func (p *partition) noteGap(at clock.Millis) {
	switch p.gap {
	case gapNoticed:
		p.lostUntil = max(p.lostUntil, at)
	case gapAtEnd:
		p.lostUntil = max(p.lostUntil, at-MinRetention)
	case gapNone:
	}
	p.gap = gapNone
}

// foldIntent decides by the log's own clock whether an intent is in time, so
// that all entry VMs decide alike.
func (p *partition) foldIntent(entry *Entry, at clock.Millis, w *watch) {
	keyTime, ok := scopedTime(entry.Key)
	var void Verdict
	switch {
	case !ok || at > keyTime+KeyWindow:
		void = VerdictTooOld
	case at < keyTime-MaxKeyAhead:
		void = VerdictAhead
	}
	s := p.states[entry.Key]
	if void == 0 && !p.notRun[entry.Request] && (s == nil || s.released(entry)) {
		p.states[entry.Key] = &state{digest: entry.Digest, first: entry.Request}
		p.expireAfter(keyTime + KeyWindow).keys = append(p.expireAfter(keyTime+KeyWindow).keys, entry.Key)
	}
	if w == nil {
		return
	}
	if void == 0 && p.lostUntil > 0 && keyTime-MaxKeyAhead <= p.lostUntil {
		void = VerdictTooOld
	}
	w.found, w.void = true, void
}

func (p *partition) foldOutcome(entry *Entry, at clock.Millis) {
	if entry.Outcome.NotRun {
		p.notRun[entry.Request] = true
		p.expireAfter(at + KeyWindow).requests = append(p.expireAfter(at+KeyWindow).requests, entry.Request)
	}
	s := p.states[entry.Key]
	if s == nil || s.first != entry.Request || s.outcome != nil {
		return
	}
	s.outcome = entry.Outcome
	p.outcomeBytes += len(entry.Outcome.Body)
	p.order = append(p.order, entry.Key)
	for p.outcomeBytes > maxOutcomeTotal {
		p.shortenOldest()
	}
}

// shortenOldest drops the body of the oldest outcome.
func (p *partition) shortenOldest() {
	s := p.states[p.order[0]]
	p.order = p.order[1:]
	if s == nil || s.outcome == nil {
		return
	}
	p.outcomeBytes -= len(s.outcome.Body)
	short := *s.outcome
	short.Shortened = short.Shortened || len(short.Body) > 0
	short.Body = nil
	s.outcome = &short
}

// released reports whether a new intent may take the place of the first, which
// surely did not run.
func (s *state) released(entry *Entry) bool {
	return s.outcome != nil && s.outcome.NotRun && s.digest == entry.Digest
}

func (p *partition) expireAfter(at clock.Millis) *expired {
	minute := at/clock.Minute + 1
	if p.expiry == nil {
		p.expiry = map[clock.Millis]*expired{}
	}
	if p.expiry[minute] == nil {
		p.expiry[minute] = &expired{}
	}
	return p.expiry[minute]
}

// sweep drops what the log's clock shows to be out of the window.
func (p *partition) sweep(at clock.Millis) {
	minute := at / clock.Minute
	if minute <= p.swept {
		return
	}
	p.swept = minute
	for due, list := range p.expiry {
		if due > minute {
			continue
		}
		delete(p.expiry, due)
		for _, key := range list.keys {
			p.dropState(key, at)
		}
		for _, request := range list.requests {
			delete(p.notRun, request)
		}
	}
}

// dropState forgets a key whose window has passed.
func (p *partition) dropState(key string, at clock.Millis) {
	keyTime, _ := scopedTime(key)
	s := p.states[key]
	if s == nil || at <= keyTime+KeyWindow {
		return
	}
	if s.outcome != nil {
		p.outcomeBytes -= len(s.outcome.Body)
	}
	delete(p.states, key)
}
