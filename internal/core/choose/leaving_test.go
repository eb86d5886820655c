package choose

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestNothingIsSentToALeavingProcess draws notices, lists and requests in any order. Nothing may be
// chosen at, or be let through to, a process that said that it leaves; the next process of the same
// name must not be shut out.
func TestNothingIsSentToALeavingProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(Config{Self: "vm0", Domain: "z", Region: "r"})
		must.True(t, c.SetConfig(&topo.Config{Version: 1, Services: map[units.ServiceName]*topo.Service{"plain": {Name: "plain"}}}))
		route := &topo.Route{Kind: topo.KindIdempotent, Target: clock.Second, MaxAttempts: 2}
		now := clock.Hour
		ids := []units.BackendServerID{"a", "b", "c"}
		started := map[units.BackendServerID]int64{"a": 1, "b": 1, "c": 1}
		said := map[units.BackendServerID]int64{}
		listed := map[units.BackendServerID]bool{}
		list := func() {
			var servers []*topo.Server
			for _, id := range ids {
				if listed[id] {
					servers = append(servers, &topo.Server{ID: id, Service: "plain", Domain: "z", Region: "r", Slots: 4, StartedAt: started[id]})
				}
			}
			c.SetServers(now, servers)
		}
		for _, id := range ids {
			listed[id] = true
		}
		list()
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 200).Draw(t, "pause"))
			id := rapid.SampledFrom(ids).Draw(t, "server")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				c.NoteLeaving(id, started[id])
				said[id] = max(said[id], started[id])
			case 1:
				started[id]++
				listed[id] = true
				list()
			case 2:
				listed[id] = !listed[id]
				list()
			default:
				r := &Request{ID: units.RequestID(fmt.Sprint(i)), Route: route, Service: "plain", Arrived: now, Deadline: now + clock.Second}
				sent, ok := c.Choose(now, r).(Send)
				available := false
				for _, id := range ids {
					available = available || listed[id] && said[id] < started[id]
				}
				must.Eq(t, available, ok)
				if !ok {
					continue
				}
				must.Less(t, sent.StartedAt, said[sent.Server])
				must.Eq(t, "", c.Withdrawn(now, sent.Server))
				c.NoteLeaving(sent.Server, sent.StartedAt)
				said[sent.Server] = sent.StartedAt
				must.NotEq(t, "", c.Withdrawn(now, sent.Server))
				c.Ended(now, r, sent.Server, false, EndWithdrawn)
				must.SliceEmpty(t, r.Tried)
			}
		}
	})
}

// TestLeavingIsReportedToThePlacer checks that a placer hears once of a backend server that leaves.
func TestLeavingIsReportedToThePlacer(t *testing.T) {
	c := New(Config{Self: "vm0", Domain: "z", Region: "r"})
	c.SetServers(0, []*topo.Server{{ID: "a", Service: "llm", Region: "r", StartedAt: 7}})
	must.True(t, c.NoteLeaving("a", 7))
	must.False(t, c.NoteLeaving("a", 7))
	must.Eq(t, []ServerStatus{{Server: "a", Service: "llm", Region: "r", Leaving: true}}, c.Status(clock.Hour))
	u := c.UsageReport(clock.Hour, "r", "x")
	must.SliceLen(t, 1, u.Leaving)
	must.Eq(t, 7, u.Leaving[0].StartedAt)
	must.SliceEmpty(t, c.UsageReport(clock.Hour, "r", "x").Leaving)
}
