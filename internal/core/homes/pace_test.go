package homes

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/pace"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// pacePlacer returns a placer with n engines, the processes of which start at 1.
func pacePlacer(n int) (*Placer, []*topo.Server, map[units.ServiceName]*topo.Service) {
	services := map[units.ServiceName]*topo.Service{"llm": {Name: "llm", Engine: &topo.Engine{Slots: 96, Models: []topo.Model{{Name: "m"}}}}}
	var list []*topo.Server
	for i := range n {
		list = append(list, &topo.Server{ID: units.BackendServerID(fmt.Sprintf("e%02d", i)), Service: "llm", Region: "r", Slots: 96, StartedAt: 1})
	}
	p := New(Policy{})
	p.SetServers(clock.Hour, list, services)
	return p, list, services
}

// answer reports an answer of each engine of a list to an entry VM.
func answer(p *Placer, now clock.Millis, list []*topo.Server, took func(i int) clock.Millis, refused func(i int) int32) {
	u := &peer.UsageReport{Shard: "r", Address: "a"}
	for i, s := range list {
		u.Servers = append(u.Servers, peer.ServerUsage{Server: s.ID, Answers: 1, Timed: 1, Refused: refused(i), Took: took(i), Expected: 200})
	}
	p.HandleUsage(now, units.EntryVMID(fmt.Sprint("vm", now%7)), u)
}

// TestPaceOfSlowEngines answers engines that turn slow: the answers that reach seven entry VMs show it
// within two seconds, and it is published once.
func TestPaceOfSlowEngines(t *testing.T) {
	p, list, _ := pacePlacer(10)
	now := clock.Hour
	published := map[units.BackendServerID]pace.Step{}
	changes := 0
	run := func(rounds int, took func(i int) clock.Millis) {
		for range rounds {
			now += 100
			answer(p, now, list, took, func(int) int32 { return 0 })
			p.IncludeLoads(SameRegion)
			for _, h := range p.Update(now, SameRegion, "r", 1, 100).Servers {
				if h.Pace != published[h.Server] {
					changes++
				}
				published[h.Server] = h.Pace
			}
		}
	}
	run(30, func(int) clock.Millis { return 300 })
	must.Zero(t, changes)
	run(20, func(i int) clock.Millis {
		if i < 2 {
			return 1500
		}
		return 300
	})
	for i, s := range list {
		if i < 2 {
			must.Between(t, 1.9, published[s.ID].Factor(), 5)
		} else {
			must.Eq(t, 0, published[s.ID])
		}
	}
	must.LessEq(t, 2*maxPaceChanges, changes)
	run(100, func(int) clock.Millis { return 300 })
	must.Eq(t, 0, published[list[0].ID])
}

// maxPaceChanges is the number of steps that a change of an engine's pace may take to be published.
const maxPaceChanges = 8

// TestWindowOfReturnedEngines answers a fifth of the engines that return empty: they begin with a window,
// which ends as their answers come at the pace of the others, and not if they refuse.
func TestWindowOfReturnedEngines(t *testing.T) {
	p, list, services := pacePlacer(10)
	now := clock.Hour + clock.Second
	for i := range 2 {
		returned := *list[i]
		returned.StartedAt = 2
		list[i] = &returned
	}
	p.SetServers(now, list, services)
	window := func(id units.BackendServerID) int32 { return p.servers[id].pace.Window.Limit() }
	must.Eq(t, []int32{12, 12, 0}, []int32{window("e00"), window("e01"), window("e02")})
	for range 100 {
		now += 20
		answer(p, now, list, func(int) clock.Millis { return 200 }, func(i int) int32 { return int32(i % 2) })
	}
	must.Eq(t, 0, window("e00"))
	must.Eq(t, 12, window("e01"))
}
