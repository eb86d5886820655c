package entry

import (
	"fmt"
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/once"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// actionCore returns a core with one ledger instance and the given number of other live
// members in its failure domain.
func actionCore(t *testing.T, others int) (*Core, *event.Effects) {
	t.Helper()
	vms := []event.VM{{ID: "ledger-1", Address: "127.0.0.1:1", FailureDomain: "galle", Kind: event.KindService, Service: "ledger", State: event.VMLive}}
	for i := range others {
		vms = append(vms, event.VM{
			ID: fmt.Sprintf("other-%02d", i), ServeAddress: fmt.Sprintf("127.0.0.1:1%02d", i), FailureDomain: "galle", Entry: true, State: event.VMLive,
		})
	}
	c := New(Config{
		Self: event.VM{ID: "entry-1", FailureDomain: "galle", Entry: true}, Incarnation: 1, VMs: vms,
		Services: map[units.ServiceName]Service{"ledger": {}},
	})
	out := &event.Effects{}
	c.Step(1000, event.RecordsRead{Stream: event.ConfigStream}, out)
	for i := range others {
		id := units.EntryVMID(fmt.Sprintf("other-%02d", i))
		c.Step(1001, event.PeerReceived{From: id, Message: &peer.Heartbeat{Incarnation: 1}}, out)
	}
	must.SliceLen(t, others+1, c.Members.Members())
	out.Reset()
	return c, out
}

func action(n int) event.Request {
	return event.Request{ID: units.RequestID(fmt.Sprint("r", n)), Caller: "guild", Service: "ledger", Key: fmt.Sprintf("1780000000000-%d", n)}
}

// intentAppended reports whether the effects contain an intent.
func intentAppended(out *event.Effects) bool {
	for _, effect := range out.List {
		if _, ok := effect.(event.AppendRecord); ok {
			return true
		}
	}
	return false
}

// TestActionIsForwardedToStreamFollower checks that in a large failure domain an
// action's intent is either appended here or the action is forwarded, never both, and
// that only the streams assigned to this entry VM are followed.
func TestActionIsForwardedToStreamFollower(t *testing.T) {
	for _, tc := range []struct {
		name     string
		others   int
		forwards bool
	}{
		{"3 entry VMs", 2, false},
		{"24 entry VMs", 23, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, out := actionCore(t, tc.others)
			forwarded := 0
			for i := range 100 {
				out.Reset()
				request := action(i)
				c.Step(1002, event.RequestArrived{Request: request}, out)
				appended := intentAppended(out)
				sent := dispatches(out)
				must.Eq(t, appended, len(sent) == 0)
				if appended {
					continue
				}
				forwarded++
				stream := once.StreamOf(once.Scope("guild", "ledger", request.Key))
				must.Eq(t, string(c.Members.FollowerOf(stream)), string(sent[0].Server))
			}
			must.Eq(t, tc.forwards, forwarded > 0)
		})
	}
}

// TestIntentIsAppendedHereIfFollowerIsUnreachable checks that an intent is appended here
// after the connection to the stream's follower was refused.
func TestIntentIsAppendedHereIfFollowerIsUnreachable(t *testing.T) {
	c, out := actionCore(t, 23)
	for i := range 100 {
		out.Reset()
		c.Step(1002, event.RequestArrived{Request: action(i)}, out)
		sent := dispatches(out)
		if len(sent) == 0 {
			continue
		}
		c.Step(1003, event.DispatchDone{Request: sent[0].Request, Attempt: 1, Result: event.DispatchResult{Kind: event.ResultNotSent}}, out)
		must.True(t, intentAppended(out))
		return
	}
	t.Fatal("no action was forwarded")
}

// TestIdleStreamIsDroppedAndReadAnew checks that an idle stream that is needed again is
// followed from its start.
func TestIdleStreamIsDroppedAndReadAnew(t *testing.T) {
	var l once.Ledger
	out := &event.Effects{}
	key := once.Scope("guild", "ledger", "1780000000000-a")
	tail := event.TailStream{Stream: once.StreamOf(key)}
	l.Follow(0, key, "r1", out)
	must.SliceContains(t, out.List, event.Effect(tail))
	out.Reset()
	l.DropIdle(1, out)
	must.SliceEmpty(t, out.List)
	l.Forget("r1")
	l.DropIdle(1, out)
	must.SliceContains(t, out.List, event.Effect(event.StopTail{Stream: tail.Stream}))
	out.Reset()
	l.Follow(2, key, "r2", out)
	must.SliceContains(t, out.List, event.Effect(tail))
}
