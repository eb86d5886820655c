// Package once ensures that a request that is not idempotent runs at most once: its
// intent is in the log before its first byte is sent, and of all requests with a key
// only the one with the earliest intent may run.
package once

import (
	"fmt"
	"maps"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Partitions is the number of streams among which intents are distributed.
const Partitions = 16

// Entry is one record of an action stream.
type Entry struct {
	// Key is the scoped idempotency key.
	Key    string            `msgpack:"k"`
	Digest units.Fingerprint `msgpack:"d"`
	// Request is the request to which the intent or outcome belongs.
	Request units.RequestID `msgpack:"r"`
	// Outcome is nil for an intent.
	Outcome *Outcome `msgpack:"o,omitempty"`
}

// Outcome is the recorded answer of an action that ran, or the record that it did not
// run.
type Outcome struct {
	// NotRun is set if the request did not run and never will.
	NotRun      bool   `msgpack:"n,omitempty"`
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
	// Shortened is set if the body was dropped because it, or all bodies of its
	// partition together, were too large.
	Shortened bool `msgpack:"x,omitempty"`
}

// MaxOutcomeBytes is the maximum size of the body of a recorded outcome, in bytes.
const MaxOutcomeBytes = 16 << 10

// Shorten drops a body that is too long to be recorded.
func (o *Outcome) Shorten() {
	if len(o.Body) > MaxOutcomeBytes {
		o.Body, o.Shortened = nil, true
	}
}

// Verdict is the decision on a request whose intent was appended.
type Verdict uint8

// Verdicts.
const (
	// VerdictWait: the intent has not been read from the log yet.
	VerdictWait Verdict = iota
	// VerdictRun: the request is the first with its key and may run.
	VerdictRun
	// VerdictReplay: an earlier request has a recorded outcome.
	VerdictReplay
	// VerdictUnknown: an earlier request has no recorded outcome, or was recorded as not
	// run only after the intent of this one.
	VerdictUnknown
	// VerdictKeyReused: an earlier request with the key had another content.
	VerdictKeyReused
	// VerdictTooOld: the key's window has passed or its time is invalid, or the records of
	// an earlier request may have expired.
	VerdictTooOld
	// VerdictAhead: the time in the key is more than MaxKeyAhead ahead of the log service's
	// clock.
	VerdictAhead
)

// Ledger is the state folded from the action streams that the entry VM follows. The
// zero value follows none.
type Ledger struct {
	partitions map[units.StreamName]*partition
	// watched holds the requests of this entry VM whose intents are expected in the log.
	watched map[units.RequestID]*watch
}

// watch tracks one expected intent.
type watch struct {
	stream units.StreamName
	// found is set once the intent has been read from the log.
	found bool
	// rejection is VerdictTooOld or VerdictAhead if the intent is invalid, otherwise 0.
	rejection Verdict
}

// StreamOf returns the stream that holds the records of key.
func StreamOf(key string) units.StreamName {
	return units.StreamName(fmt.Sprintf("%s%02d", event.ActionStreamPrefix, xxhash.Sum64String(key)%Partitions))
}

// Follow starts to follow the stream of key unless it is already followed, and waits
// for the intent of request.
func (l *Ledger) Follow(now clock.Millis, key string, request units.RequestID, out *event.Effects) {
	if l.partitions == nil {
		l.partitions = map[units.StreamName]*partition{}
		l.watched = map[units.RequestID]*watch{}
	}
	stream := StreamOf(key)
	if l.watched[request] == nil {
		l.watched[request] = &watch{stream: stream}
	}
	if p := l.partitions[stream]; p != nil {
		p.neededAt = now
		return
	}
	l.partitions[stream] = &partition{neededAt: now, states: map[string]*keyState{}, notRun: map[units.RequestID]bool{}}
	out.Add(event.TailStream{Stream: stream})
}

// DropIdle stops following streams that have not been needed since an instant. A stream
// that is needed again is read from its oldest record on.
func (l *Ledger) DropIdle(since clock.Millis, out *event.Effects) {
	watched := map[units.StreamName]bool{}
	for _, w := range l.watched {
		watched[w.stream] = true
	}
	for _, stream := range slices.Sorted(maps.Keys(l.partitions)) {
		if watched[stream] || l.partitions[stream].neededAt >= since {
			continue
		}
		delete(l.partitions, stream)
		out.Add(event.StopTail{Stream: stream})
	}
}

// Forget stops waiting for the intent of request.
func (l *Ledger) Forget(request units.RequestID) { delete(l.watched, request) }

// Full reports whether the partition of key already holds the maximum number of keys.
func (l *Ledger) Full(key string) bool {
	p := l.partitions[StreamOf(key)]
	return p != nil && len(p.states) >= maxKeys
}

// Evaluate returns the verdict on a request that Follow was called for, and the recorded
// outcome of the first request with the key, if any.
func (l *Ledger) Evaluate(key string, digest units.Fingerprint, request units.RequestID) (Verdict, *Outcome) {
	p, w := l.partitions[StreamOf(key)], l.watched[request]
	if p == nil || w == nil || !w.found {
		return VerdictWait, nil
	}
	s := p.states[key]
	switch {
	case s == nil && w.rejection != 0:
		return w.rejection, nil
	case s == nil:
		return VerdictTooOld, nil
	case s.digest != digest:
		return VerdictKeyReused, nil
	case s.first == request && w.rejection != 0:
		return w.rejection, nil
	case s.first == request:
		return VerdictRun, nil
	case s.outcome != nil && !s.outcome.NotRun:
		return VerdictReplay, s.outcome
	default:
		return VerdictUnknown, s.outcome
	}
}

// Fold applies records of a stream. It reports whether the stream is followed. If the
// batch begins after the next expected offset, Fold requests the missing records again.
func (l *Ledger) Fold(ev event.RecordsRead, out *event.Effects) bool {
	p := l.partitions[ev.Stream]
	if p == nil {
		return false
	}
	for i := range ev.Records {
		if ev.Records[i].Offset > p.next {
			out.Add(event.TailStream{Stream: ev.Stream, From: p.next})
			return true
		}
		p.fold(&ev.Records[i], l.watched)
	}
	p.noteBatch(len(ev.Records) > 0)
	return true
}

// Skip continues a stream after a gap: records before ev.Oldest have expired.
func (l *Ledger) Skip(ev event.StreamGap) {
	if p := l.partitions[ev.Stream]; p != nil && ev.Oldest > p.next {
		p.next = ev.Oldest
		p.gap = gapNoticed
	}
}

// Encode returns the body of the record of entry.
func Encode(entry Entry) []byte {
	body, err := msgpack.Marshal(entry)
	if err != nil {
		panic("once: entry can't be encoded: " + err.Error())
	}
	return body
}
