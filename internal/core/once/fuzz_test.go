package once

import (
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// FuzzFold checks that after any two records of an action stream at most one of two
// requests with the same key may run.
func FuzzFold(f *testing.F) {
	key := Scope("c", "s", "0199a1f0-0000-7000-8000-000000000000")
	intent := func(request units.RequestID) []byte { return Encode(Entry{Key: key, Digest: 1, Request: request}) }
	f.Add(intent("a"), intent("b"))
	f.Add(intent("b"), intent("a"))
	f.Add(intent("a"), []byte{0xc0})
	f.Add([]byte{}, Encode(Entry{Key: key, Digest: 1, Request: "a", Outcome: &Outcome{NotRun: true}}))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var ledger Ledger
		var out event.Effects
		ledger.Follow(0, key, "a", &out)
		ledger.Follow(0, key, "b", &out)
		records := []peer.Record{{Offset: 0, ID: "1", At: 0x0199a1f00000, Body: first}, {Offset: 1, ID: "2", At: 0x0199a1f00000, Body: second}}
		ledger.Fold(event.RecordsRead{Stream: StreamOf(key), Records: records, Next: 2, End: 2}, &out)
		a, _ := ledger.Evaluate(key, 1, "a")
		b, _ := ledger.Evaluate(key, 1, "b")
		must.False(t, a == VerdictRun && b == VerdictRun)
	})
}
