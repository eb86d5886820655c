package entry

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// TestLeavingAcceptsRequestsDuringNotice checks that a leaving entry VM immediately
// reports not ready, accepts requests for leaveNotice and leaves only after that.
func TestLeavingAcceptsRequestsDuringNotice(t *testing.T) {
	c, out := startCore(t)
	const leftAt = 4000 * clock.Millis(1)
	arrive := func(at clock.Millis, id units.RequestID) []errs.Code {
		out.Reset()
		c.Step(at, event.RequestArrived{Request: event.Request{
			ID: id, Caller: "guild", Adapter: units.AdapterVersion{Adapter: "braid"}, Idempotent: true, Deadline: at + clock.Second,
		}}, out)
		var codes []errs.Code
		for _, effect := range out.List {
			if refuse, ok := effect.(event.Refuse); ok {
				codes = append(codes, refuse.Refusal.Code)
			}
		}
		return codes
	}
	c.Step(leftAt, event.LeaveRequested{}, out)
	must.False(t, c.Ready())
	must.SliceEmpty(t, arrive(leftAt+leaveNotice-1, "early"))
	must.Eq(t, []errs.Code{errs.CodeLeaving}, arrive(leftAt+leaveNotice, "late"))
	must.False(t, c.hasLeft)
	c.Step(leftAt+leaveNotice+2*clock.Second, event.Tick{}, out)
	c.Step(leftAt+leaveNotice+3*clock.Second, event.Tick{}, out)
	must.True(t, c.hasLeft)
}
