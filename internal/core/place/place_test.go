package place

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var adapterA = units.AdapterVersion{Adapter: "a", Version: "v1"}

// TestServerRemovalKeepsOtherCopies checks that the removal of a server leaves the copies
// on the other servers in place. Each moved copy is a load from the weight store.
func TestServerRemovalKeepsOtherCopies(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var all []Candidate
		for i := range rapid.IntRange(1, 20).Draw(t, "servers") {
			id := fmt.Sprint("engine-", i)
			all = append(all, Candidate{Server: units.BackendServerID(id), Hash: xxhash.Sum64String(id)})
		}
		n := rapid.IntRange(1, 4).Draw(t, "copies")
		before := SelectServers(nil, adapterA, n, all)
		must.Len(t, min(n, len(all)), before)
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		lost := all[gone]
		after := SelectServers(nil, adapterA, n, append(append([]Candidate{}, all[:gone]...), all[gone+1:]...))
		for _, candidate := range before {
			if candidate != lost {
				must.SliceContains(t, after, candidate)
			}
		}
	})
}

// TestBudgetKeepsItsBounds checks the limits of the rate and of the loads in flight while
// loads are taken as fast as the budget allows.
func TestBudgetKeepsItsBounds(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		b := Budget{Policy: Policy{LoadsPerSecond: float64(rapid.IntRange(1, 20).Draw(t, "rate")), LoadsInFlight: 8}}
		members := rapid.IntRange(1, 8).Draw(t, "members")
		b.SetShare(rapid.Float64Range(0.01, 1).Draw(t, "share"), 1, members)
		var now clock.Millis
		started := 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 500).Draw(t, "gap"))
			for b.Ready(now) {
				b.Take(now)
				started++
			}
			must.LessEq(t, 8, b.InFlight()+members-1)
			if b.InFlight() > 0 && rapid.Bool().Draw(t, "ends") {
				b.Done()
			}
			must.LessEq(t, b.Policy.LoadsPerSecond*now.Duration().Seconds()+burst, float64(started))
		}
	})
}

func TestPopularityDecays(t *testing.T) {
	var p Popularity
	p.Record(0, adapterA)
	p.Record(0, adapterA)
	fresh := p.Rate(0, adapterA)
	must.InDelta(t, fresh/2, p.Rate(halfLife, adapterA), 1e-9)
	must.Eq(t, 0, p.Rate(0, units.AdapterVersion{Adapter: "b"}))
	p.Prune(20 * halfLife)
	must.Eq(t, 0, p.Len())
}

// TestBackoffGrowsUntilOpen checks that the backoff grows with each failure in a row, that
// requests are refused only from OpenAfter failures on, and that a successful load ends it.
func TestBackoffGrowsUntilOpen(t *testing.T) {
	var f Failures
	var last clock.Millis
	for n := 1; n < OpenAfter; n++ {
		must.False(t, f.Failed(0, adapterA))
		wait := clock.Millis(1)
		for f.InBackoff(wait, adapterA) {
			wait++
		}
		must.Greater(t, last, wait)
		last = wait
		must.Eq(t, 0, f.OpenRemaining(0, adapterA))
	}
	must.True(t, f.Failed(0, adapterA))
	must.Eq(t, OpenPeriod, f.OpenRemaining(0, adapterA))
	f.Loaded(adapterA)
	must.Eq(t, 0, f.OpenRemaining(0, adapterA))
}
