package once

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const epoch clock.Millis = 1_780_000_000_000

// testKeys returns scoped keys of one stream, with times spread over four hours.
func testKeys() []string {
	var keys []string
	for i := 0; len(keys) < 6; i++ {
		key := Scope("guild", "ledger", fmt.Sprintf("%013d-%d", epoch+clock.Millis(len(keys))*40*clock.Minute, i))
		if StreamOf(key) == StreamOf(Scope("guild", "ledger", fmt.Sprintf("%013d-0", epoch))) {
			keys = append(keys, key)
		}
	}
	return keys
}

func TestKeyTime(t *testing.T) {
	for _, tc := range []struct {
		name string
		key  string
		at   clock.Millis
		ok   bool
	}{
		{"uuid of version 7", "019e7044-b310-7000-8000-000000000007", 0x019e7044b310, true},
		{"uuid of version 4", "a3bb189e-8bf9-4888-9912-ace4e6543002", 0, false},
		{"time and text", "1780000000000-order-17", epoch, true},
		{"seconds", "1780000000-order-17", 0, false},
		{"text", "order-17", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at, ok := KeyTime(tc.key)
			must.Eq(t, tc.ok, ok)
			if ok {
				must.Eq(t, tc.at, at)
			}
		})
	}
}

// TestOneRunForEachKey checks that at most one request with a key runs, whatever ledger
// evaluates it. The ledgers start at random times and may find older records expired.
// Some requests that may run don't; at random they are recorded as not run.
func TestOneRunForEachKey(t *testing.T) {
	keys := testKeys()
	stream := StreamOf(keys[0])
	proof.Check(t, func(t *rapid.T) {
		var log []peer.Record
		ledgers := make([]Ledger, 3)
		runs := map[string]int{}
		ran := map[units.RequestID]bool{}
		now, first := epoch, 0
		retention := rapid.SampledFrom([]clock.Millis{20 * clock.Minute, MinRetention}).Draw(t, "retention")
		for i := range rapid.IntRange(5, 40).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "minutes")) * clock.Minute
			for first < len(log) && log[first].At < now-retention && (retention == MinRetention || first < len(log)-1) {
				first++
			}
			key := rapid.SampledFrom(keys).Draw(t, "key")
			l := &ledgers[rapid.IntRange(0, len(ledgers)-1).Draw(t, "ledger")]
			id := units.RequestID(fmt.Sprint("r", i))
			l.Follow(0, key, id, &event.Effects{})
			next := int(l.partitions[stream].next)
			if next < first {
				l.Skip(event.StreamGap{Stream: stream, Oldest: units.Offset(first)})
				next = first
				l.Fold(event.RecordsRead{Stream: stream, Records: log[next:], Next: units.Offset(len(log))}, &event.Effects{})
				next = len(log)
			}
			entry := Entry{Key: key, Digest: 1, Request: id}
			log = append(log, peer.Record{Offset: units.Offset(len(log)), At: now, Body: Encode(entry)})
			l.Fold(event.RecordsRead{Stream: stream, Records: log[next:], Next: units.Offset(len(log))}, &event.Effects{})
			verdict, _ := l.Evaluate(key, 1, id)
			must.NotEq(t, VerdictWait, verdict)
			switch {
			case verdict == VerdictRun && rapid.Bool().Draw(t, "runs"):
				runs[key]++
				ran[id] = true
				must.Eq(t, 1, runs[key], must.Sprintf("key %q", key))
			case verdict != VerdictRun || rapid.Bool().Draw(t, "told"):
				entry.Outcome = &Outcome{NotRun: true}
				log = append(log, peer.Record{Offset: units.Offset(len(log)), At: now, Body: Encode(entry)})
			}
		}
	})
}

// TestLedgerForgetsAfterTheWindow checks that an outcome is replayed until the end of its
// key's window, and that key and outcome are dropped afterwards.
func TestLedgerForgetsAfterTheWindow(t *testing.T) {
	var l Ledger
	key := Scope("guild", "ledger", fmt.Sprintf("%013d-a", epoch))
	l.Follow(0, key, "r0", &event.Effects{})
	fold := func(offset units.Offset, at clock.Millis, entry Entry) {
		l.Fold(event.RecordsRead{Stream: StreamOf(key), Records: []peer.Record{{Offset: offset, At: at, Body: Encode(entry)}}}, &event.Effects{})
	}
	fold(0, epoch, Entry{Key: key, Request: "r0"})
	fold(1, epoch, Entry{Key: key, Request: "r0", Outcome: &Outcome{Status: 200, Body: make([]byte, 100)}})
	l.Follow(0, key, "r1", &event.Effects{})
	fold(2, epoch+KeyWindow, Entry{Key: key, Request: "r1"})
	verdict, _ := l.Evaluate(key, 0, "r1")
	must.Eq(t, VerdictReplay, verdict)
	l.Follow(0, key, "r2", &event.Effects{})
	fold(3, epoch+KeyWindow+2*clock.Minute, Entry{Key: key, Request: "r2"})
	verdict, _ = l.Evaluate(key, 0, "r2")
	must.Eq(t, VerdictTooOld, verdict)
	p := l.partitions[StreamOf(key)]
	must.MapEmpty(t, p.states)
	must.Eq(t, 0, p.outcomeBytes)
}

// TestBodiesOfOutcomesAreBounded records outcomes with more bytes than a partition stores:
// the oldest bodies are dropped, never the newest one.
func TestBodiesOfOutcomesAreBounded(t *testing.T) {
	var l Ledger
	keys := testKeys()
	l.Follow(0, keys[0], "r", &event.Effects{})
	p := l.partitions[StreamOf(keys[0])]
	for i := range 3 * maxTotalOutcomeBytes / MaxOutcomeBytes {
		key := Scope("guild", "ledger", fmt.Sprintf("%013d-%d", epoch, i))
		intent := Entry{Key: key, Request: units.RequestID(key)}
		p.fold(&peer.Record{Offset: p.next, At: epoch, Body: Encode(intent)}, nil)
		intent.Outcome = &Outcome{Status: 200, Body: make([]byte, MaxOutcomeBytes)}
		p.fold(&peer.Record{Offset: p.next, At: epoch, Body: Encode(intent)}, nil)
		must.LessEq(t, maxTotalOutcomeBytes, p.outcomeBytes)
		must.False(t, p.states[key].outcome.Shortened)
	}
	must.True(t, p.states[Scope("guild", "ledger", fmt.Sprintf("%013d-0", epoch))].outcome.Shortened)
}
