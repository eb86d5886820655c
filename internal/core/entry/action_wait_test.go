package entry

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/once"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// TestRepeatedActionWaitsForTheOutcome repeats an action through another entry VM as soon
// as the first response is sent, so that the second intent reaches the log before the
// first outcome.
func TestRepeatedActionWaitsForTheOutcome(t *testing.T) {
	const seenAt clock.Millis = 1010
	for _, tc := range []struct {
		name string
		// outcomeAt is when the first request's outcome is read; 0 means never.
		outcomeAt clock.Millis
		notRun    bool
		want      event.Effect
	}{
		{name: "outcome 5 ms late", outcomeAt: seenAt + 5, want: event.Replay{}},
		{name: "outcome at the end of the wait", outcomeAt: seenAt + earlierOutcomeTimeout - 1, want: event.Replay{}},
		{name: "first request was not run", outcomeAt: seenAt + 5, notRun: true, want: event.Refuse{}},
		{name: "no outcome", want: event.Refuse{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, out := actionCore(t, 0)
			second := action(1)
			key := once.Scope("guild", "ledger", second.Key)
			stream := once.StreamOf(key)
			record := func(offset units.Offset, entry once.Entry) peer.Record {
				entry.Key = key
				return peer.Record{Offset: offset, At: 1_780_000_000_000, Body: once.Encode(entry)}
			}
			c.Step(1005, event.RequestArrived{Request: second}, out)
			c.Step(seenAt, event.RecordsRead{Stream: stream, Next: 2, Records: []peer.Record{
				record(0, once.Entry{Request: "first"}), record(1, once.Entry{Request: second.ID}),
			}}, out)
			must.Nil(t, ended(out))
			end := seenAt
			for ended(out) == nil && end < seenAt+10*clock.Second {
				end++
				if end == tc.outcomeAt {
					c.Step(end, event.RecordsRead{Stream: stream, Next: 3, Records: []peer.Record{
						record(2, once.Entry{Request: "first", Outcome: &once.Outcome{Status: 200, NotRun: tc.notRun}}),
					}}, out)
				}
				c.Step(end, event.Tick{}, out)
			}
			switch got := ended(out).(type) {
			case event.Replay:
				must.Eq(t, tc.want, event.Effect(event.Replay{}))
				must.Eq(t, tc.outcomeAt, end)
			case event.Refuse:
				must.Eq(t, tc.want, event.Effect(event.Refuse{}))
				must.Eq(t, errs.CodeOutcomeUnknown, got.Refusal.Code)
				must.LessEq(t, seenAt+earlierOutcomeTimeout, end)
			default:
				t.Fatal("the request has not ended")
			}
			must.Eq(t, 1, intents(out))
		})
	}
}

// ended returns the effect that ends a request, or nil.
func ended(out *event.Effects) event.Effect {
	for _, effect := range out.List {
		switch effect.(type) {
		case event.Replay, event.Refuse:
			return effect
		}
	}
	return nil
}

// intents counts the appended intents.
func intents(out *event.Effects) (n int) {
	for _, effect := range out.List {
		if a, ok := effect.(event.AppendRecord); ok && a.ID == intentRecord("r1") {
			n++
		}
	}
	return n
}
