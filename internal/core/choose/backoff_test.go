package choose

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// plainCore returns a core with the plain service "plain" at some backend servers.
func plainCore(ids ...units.BackendServerID) *Core {
	c := New(Config{Self: "vm0", Domain: "z", Region: "r", Policy: Policy{RetryRatio: 1, RetryReserve: 1000}})
	c.SetConfig(&topo.Config{Version: 1, Services: map[units.ServiceName]*topo.Service{"plain": {Name: "plain"}}})
	var list []*topo.Server
	for _, id := range ids {
		list = append(list, &topo.Server{ID: id, Service: "plain", Domain: "z", Region: "r", Slots: 16, StartedAt: 1})
	}
	c.SetServers(0, list)
	return c
}

func plainRequest(id int, now, time clock.Millis) *Request {
	route := &topo.Route{Kind: topo.KindIdempotent, Target: clock.Second, MaxAttempts: 2}
	return &Request{ID: units.RequestID(fmt.Sprint(id)), Route: route, Service: "plain", Arrived: now, Deadline: now + time}
}

// TestNothingIsSentDuringABackoff draws sends, answers and back-offs in any order. Nothing may be let through
// in a back-off, also if it was chosen before, and the returning server must get requests by and
// by.
func TestNothingIsSentDuringABackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []units.BackendServerID{"a", "b"}
		c := plainCore(ids...)
		now := clock.Hour
		until := map[units.BackendServerID]clock.Millis{}
		type sent struct {
			r  *Request
			to units.BackendServerID
		}
		// chosen were not written yet, running have no answer yet.
		var chosen, running []sent
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 150).Draw(t, "pause"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := plainRequest(i, now, 2*clock.Second)
				switch choice := c.Choose(now, r).(type) {
				case Send:
					must.LessEq(t, now, until[choice.Server])
					chosen = append(chosen, sent{r, choice.Server})
				case Wait:
					must.Less(t, r.Deadline, choice.Until)
					must.Less(t, choice.Until, now)
				case Refuse:
					t.Fatalf("refused %s", choice.Reason)
				}
			case 2:
				for _, s := range chosen {
					if c.Withdrawn(now, s.to) != "" {
						must.Less(t, until[s.to], now)
						c.Ended(now, s.r, s.to, false, EndWithdrawn)
						continue
					}
					must.LessEq(t, now, until[s.to])
					running = append(running, s)
				}
				chosen = nil
			case 3:
				if len(running) > 0 {
					c.Ended(now, running[0].r, running[0].to, false, rapid.SampledFrom([]End{EndServed, EndBroken, EndFull}).Draw(t, "end"))
					running = running[1:]
				}
			default:
				id := rapid.SampledFrom(ids).Draw(t, "server")
				time := clock.Millis(rapid.IntRange(1, 1500).Draw(t, "time"))
				left, _ := c.NoteBackoff(now, id, 1, time)
				until[id] = max(until[id], now+time)
				must.Eq(t, until[id]-now, left)
			}
		}
	})
}

// TestReturnFromBackoffIsNoHerd guards against a backend server that is flooded when its back-off
// ends. The load is fifty requests that have waited for it.
func TestReturnFromBackoffIsNoHerd(t *testing.T) {
	const waiting = 50
	c := plainCore("a")
	now := clock.Hour
	c.NoteBackoff(now, "a", 1, 500)
	requests := make([]*Request, waiting)
	for i := range requests {
		requests[i] = plainRequest(i, now, 10*clock.Second)
		wait, ok := c.Choose(now, requests[i]).(Wait)
		must.True(t, ok)
		must.Eq(t, now+500, wait.Until)
	}
	now += 500
	var sizes []int
	for len(requests) > 0 {
		var sent, rest []*Request
		for _, r := range requests {
			if _, ok := c.Choose(now, r).(Send); ok {
				sent = append(sent, r)
			} else {
				rest = append(rest, r)
			}
		}
		now += 60
		for _, r := range sent {
			c.Ended(now, r, "a", false, EndServed)
		}
		sizes, requests = append(sizes, len(sent)), rest
	}
	must.Eq(t, []int{1, 2, 8, 39}, sizes)
}

// TestBackoffBeyondTheDeadlineIsRefused checks that a request whose deadline passes before any backend
// server returns is refused at once, with the time until then.
func TestBackoffBeyondTheDeadlineIsRefused(t *testing.T) {
	c := plainCore("a", "b")
	now := clock.Hour
	c.NoteBackoff(now, "a", 1, 5*clock.Second)
	c.NoteBackoff(now, "b", 1, 3*clock.Second)
	must.Eq(t, Choice(Refuse{Reason: "backend servers ask for a back-off", RetryAfter: 3 * clock.Second}), c.Choose(now, plainRequest(1, now, 2*clock.Second)))
	_, ok := c.Choose(now, plainRequest(2, now, 4*clock.Second)).(Wait)
	must.True(t, ok)
}

// TestBackoffIsBounded checks that a huge time, or that of an earlier process, shuts no backend
// server out.
func TestBackoffIsBounded(t *testing.T) {
	c := plainCore("a")
	now := clock.Hour
	left, _ := c.NoteBackoff(now, "a", 0, clock.Second)
	must.Zero(t, left)
	left, _ = c.NoteBackoff(now, "a", 1, clock.Hour)
	must.Eq(t, maxBackoff, left)
}

// TestBackoffIsReportedToThePlacer checks that a placer hears once of each back-off that is longer
// than the last one.
func TestBackoffIsReportedToThePlacer(t *testing.T) {
	c := plainCore("a", "b")
	now := clock.Hour
	c.NoteBackoff(now, "b", 1, clock.Second)
	c.NoteBackoff(now, "a", 1, 2*clock.Second)
	u := c.UsageReport(now+500, "r", "x")
	must.Eq(t, []peer.ServerBackoff{{Server: "a", StartedAt: 1, Remaining: 1500}, {Server: "b", StartedAt: 1, Remaining: 500}}, u.Backoffs)
	must.True(t, u.HasContent())
	must.Eq(t, 1400, c.Status(now + 600)[0].Backoff)
	c.NoteBackoff(now+600, "b", 1, 100)
	must.SliceEmpty(t, c.UsageReport(now+600, "r", "x").Backoffs)
	c.NoteBackoff(now+700, "b", 1, clock.Second)
	must.SliceLen(t, 1, c.UsageReport(now+700, "r", "x").Backoffs)
}
