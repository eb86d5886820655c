// Package once makes sure that a request that is not idempotent runs at most
// once: its intent is in the log before its first byte leaves, and the earliest
// intent of a key is the only one that may run.
package once

import (
	"fmt"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Partitions is the number of streams that intents are spread over.
const Partitions = 16

// Entry is one record of an action stream.
type Entry struct {
	Key    string            `msgpack:"k"`
	Digest units.Fingerprint `msgpack:"d"`
	// Request is the request whose intent this is, or whose outcome.
	Request units.RequestID `msgpack:"r"`
	// Outcome is nil for an intent.
	Outcome *Outcome `msgpack:"o,omitempty"`
}

// Outcome is the recorded answer of an action that ran, or the word that it did
// not run.
type Outcome struct {
	NotRun      bool   `msgpack:"n,omitempty"`
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
}

// State is what the ledger holds of one key.
type State struct {
	Digest units.Fingerprint
	// First is the request whose intent came first and that may run.
	First   units.RequestID
	Outcome *Outcome
}

// Ledger is the fold of the action streams that the entry VM follows. The zero
// value follows none.
type Ledger struct {
	partitions map[units.StreamName]*partition
}

type partition struct {
	next   units.Offset
	states map[string]*State
	// caughtUp is set once all records up to a known end are folded.
	caughtUp bool
}

// StreamOf returns the stream that holds the records of key.
func StreamOf(key string) units.StreamName {
	return units.StreamName(fmt.Sprintf("%s%02d", event.ActionStreamPrefix, xxhash.Sum64String(key)%Partitions))
}

// Follow starts to follow the stream of key unless it is followed already.
func (l *Ledger) Follow(key string, out *event.Effects) {
	stream := StreamOf(key)
	if l.partitions == nil {
		l.partitions = map[units.StreamName]*partition{}
	}
	if l.partitions[stream] != nil {
		return
	}
	l.partitions[stream] = &partition{states: map[string]*State{}}
	out.Add(event.TailStream{Stream: stream})
}

// State returns the state of key if its stream is folded beyond offset.
func (l *Ledger) State(key string, offset units.Offset) (*State, bool) {
	p := l.partitions[StreamOf(key)]
	if p == nil || p.next <= offset {
		return nil, false
	}
	return p.states[key], true
}

// Known returns the state of key as far as it is folded, or nil.
func (l *Ledger) Known(key string) *State {
	p := l.partitions[StreamOf(key)]
	if p == nil {
		return nil
	}
	return p.states[key]
}

// Fold applies records of a stream. It reports whether the stream is followed.
func (l *Ledger) Fold(ev event.RecordsRead) bool {
	p := l.partitions[ev.Stream]
	if p == nil {
		return false
	}
	for i := range ev.Records {
		p.fold(&ev.Records[i])
	}
	p.next = max(p.next, ev.Next)
	p.caughtUp = p.caughtUp || p.next >= ev.End
	return true
}

// Skip goes on after a gap: records before oldest have expired.
func (l *Ledger) Skip(ev event.StreamGap) {
	if p := l.partitions[ev.Stream]; p != nil {
		p.next = max(p.next, ev.Oldest)
	}
}

func (p *partition) fold(record *peer.Record) {
	if record.Offset < p.next {
		return
	}
	p.next = record.Offset + 1
	var entry Entry
	if err := msgpack.Unmarshal(record.Body, &entry); err != nil {
		return
	}
	state := p.states[entry.Key]
	switch {
	case entry.Outcome == nil && (state == nil || state.released(&entry)):
		p.states[entry.Key] = &State{Digest: entry.Digest, First: entry.Request}
	case entry.Outcome != nil && state != nil && state.First == entry.Request:
		state.Outcome = entry.Outcome
	}
}

// released reports whether a new intent may take the place of the first, which
// surely did not run.
func (s *State) released(entry *Entry) bool {
	return s.Outcome != nil && s.Outcome.NotRun && s.Digest == entry.Digest
}

// Encode returns the body of the record of entry.
func Encode(entry Entry) []byte {
	body, err := msgpack.Marshal(entry)
	if err != nil {
		panic("once: entry can't be encoded: " + err.Error())
	}
	return body
}

// KeyWindow is how long a key is remembered and so how old it may be.
const KeyWindow = clock.Hour
