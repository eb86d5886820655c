package once

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits of one partition: keys, and bytes of the bodies of outcomes.
const (
	maxKeys              = 4096
	maxTotalOutcomeBytes = 512 << 10
)

// gapState is the progress of a partition after records expired unread.
type gapState uint8

// States after a gap.
const (
	gapNone gapState = iota
	// gapNoticed: no batch has been read since the gap.
	gapNoticed
	// gapAtEnd: the stream was empty when the gap was noticed, so every lost record had
	// been retained for the log service's whole retention.
	gapAtEnd
)

// keyState is what a partition stores for one key.
type keyState struct {
	digest units.Fingerprint
	// first is the request with the earliest intent, the only one that may run.
	first   units.RequestID
	outcome *Outcome
}

// partition is the state folded from one action stream.
type partition struct {
	// neededAt is the last instant at which an action needed the stream.
	neededAt clock.Millis
	// next is the offset of the first record that is not folded.
	next   units.Offset
	states map[string]*keyState
	// notRun holds the requests that are recorded as not run, so that an intent that
	// follows such a record in the stream is ignored.
	notRun map[units.RequestID]bool
	// expiry lists the keys and requests to drop, by the minute since the Unix epoch from
	// which on they are not needed.
	expiry map[clock.Millis]*expired
	// swept is the minute since the Unix epoch up to which sweep has dropped expired
	// entries.
	swept clock.Millis
	// outcomeBytes is the size of all bodies in states, in bytes; outcomeOrder lists the keys
	// of the outcomes, oldest first.
	outcomeBytes int
	outcomeOrder []string
	// lostUntil is the time, by the log service's wall clock, up to which records may
	// have expired unread, or 0.
	lostUntil clock.Millis
	gap       gapState
}

// expired lists keys and requests that expire in the same minute.
type expired struct {
	keys     []string
	requests []units.RequestID
}

// fold applies the record at offset next. Records at other offsets are ignored.
func (p *partition) fold(record *peer.Record, watched map[units.RequestID]*watch) {
	if record.Offset != p.next {
		return
	}
	p.next++
	p.endGap(record.At)
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

// noteBatch updates the gap state after a batch was read.
func (p *partition) noteBatch(hadRecords bool) {
	if p.gap == gapNoticed && !hadRecords {
		p.gap = gapAtEnd
	}
}

// endGap derives lostUntil from the time of the first record after a gap.
func (p *partition) endGap(at clock.Millis) {
	switch p.gap {
	case gapNoticed:
		p.lostUntil = max(p.lostUntil, at)
	case gapAtEnd:
		p.lostUntil = max(p.lostUntil, at-MinRetention)
	case gapNone:
	}
	p.gap = gapNone
}

// foldIntent decides by the log service's clock whether an intent is within its key's
// window, so that all entry VMs decide alike.
func (p *partition) foldIntent(entry *Entry, at clock.Millis, w *watch) {
	keyTime, ok := scopedTime(entry.Key)
	var rejection Verdict
	switch {
	case !ok || at > keyTime+KeyWindow:
		rejection = VerdictTooOld
	case at < keyTime-MaxKeyAhead:
		rejection = VerdictAhead
	}
	s := p.states[entry.Key]
	if rejection == 0 && !p.notRun[entry.Request] && (s == nil || s.released(entry)) {
		p.states[entry.Key] = &keyState{digest: entry.Digest, first: entry.Request}
		p.expireAfter(keyTime + KeyWindow).keys = append(p.expireAfter(keyTime+KeyWindow).keys, entry.Key)
	}
	if w == nil {
		return
	}
	if rejection == 0 && p.lostUntil > 0 && keyTime-MaxKeyAhead <= p.lostUntil {
		rejection = VerdictTooOld
	}
	w.found, w.rejection = true, rejection
}

// foldOutcome records the outcome of the first request with a key. An outcome of another
// request is ignored, except that the request did not run.
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
	p.outcomeOrder = append(p.outcomeOrder, entry.Key)
	for p.outcomeBytes > maxTotalOutcomeBytes {
		p.shortenOldest()
	}
}

// shortenOldest drops the body of the oldest outcome.
func (p *partition) shortenOldest() {
	s := p.states[p.outcomeOrder[0]]
	p.outcomeOrder = p.outcomeOrder[1:]
	if s == nil || s.outcome == nil {
		return
	}
	p.outcomeBytes -= len(s.outcome.Body)
	short := *s.outcome
	short.Shortened = short.Shortened || len(short.Body) > 0
	short.Body = nil
	s.outcome = &short
}

// released reports whether a new intent may replace the first one, because that one is
// recorded as not run and has the same digest.
func (s *keyState) released(entry *Entry) bool {
	return s.outcome != nil && s.outcome.NotRun && s.digest == entry.Digest
}

// expireAfter returns the list of what expires in the first whole minute after at, to
// which the caller adds.
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

// sweep drops keys and requests whose window has passed by the log service's clock.
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

// dropState removes the state of a key if its window has passed.
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
