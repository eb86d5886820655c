package choose

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// crowdedCopy publishes a copy of an adapter at n1 with waiting prompts, and one that loads at n2.
func crowdedCopy(c *Core, now clock.Millis, waiting units.Tokens, ready clock.Millis) {
	c.ApplyUpdate(now, &peer.PlacementUpdate{Shard: "near", Fence: 1, Sequence: 1, Servers: []peer.ServerPlacement{
		{Server: "n1", Models: []units.ModelName{"m"}, Copies: []peer.PlacedCopy{placedCopy("m/hot", 0)}, Active: 10, Prefill: waiting},
		{Server: "n2", Models: []units.ModelName{"m"}, Copies: []peer.PlacedCopy{placedCopy("m/hot", ready)}},
	}})
}

// TestCrowdWaitsForTheNextCopy plays demand that moves to one adapter: while its only copy has a long
// queue, requests wait for the next copy, where they are answered sooner; with a short queue, or a copy
// that comes too late, they are sent at once.
func TestCrowdWaitsForTheNextCopy(t *testing.T) {
	for _, tt := range []struct {
		name    string
		waiting units.Tokens
		ready   clock.Millis
		waits   bool
	}{
		{"a long queue", 60000, 200, true},
		{"a short queue", 6000, 200, false},
		{"a copy that is late", 30000, 900, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestCore()
			crowdedCopy(c, 1000, tt.waiting, tt.ready)
			choice := c.Choose(1000, testRequest("r", "m/hot", 1000))
			wait, waits := choice.(Wait)
			must.Eq(t, tt.waits, waits, must.Sprint(choice))
			if waits {
				must.Eq(t, 1000+tt.ready, wait.Until)
				send, ok := c.Choose(wait.Until, testRequest("r", "m/hot", 1000)).(Send)
				must.True(t, ok)
				must.Eq(t, "n2", send.Server)
			}
		})
	}
}

// TestQueueOfLoadsRefusesByRank plays a shard with more requests for loads than it can serve: urgent
// requests, which are served first, wait, and those that can't be served are refused at once.
func TestQueueOfLoadsRefusesByRank(t *testing.T) {
	for rank, waits := range []bool{true, false, false, false} {
		c := newTestCore()
		c.ApplyUpdate(1000, &peer.PlacementUpdate{Shard: "near", Fence: 1, Sequence: 1, LoadWait: 100, LoadWaits: []clock.Millis{100, 100, 100, 5000}})
		r := testRequest("r", "m/rare", 1000)
		r.Rank = rank
		_, ok := c.Choose(1000, r).(Wait)
		must.Eq(t, waits, ok, must.Sprint("rank", rank))
	}
}

// TestRefusedCallersReturnSpread plays the refusal of a crowd in one moment: its callers must come back
// spread over the time in which places become free, none before the first.
func TestRefusedCallersReturnSpread(t *testing.T) {
	c := newTestCore()
	c.ApplyUpdate(1000, &peer.PlacementUpdate{Shard: "near", Fence: 1, Sequence: 1, LoadWait: 5000})
	const callers, parts = 400, 4
	var returns [parts]int
	for i := range callers {
		refuse := c.Choose(1000, testRequest(fmt.Sprint("r", i), "m/rare", 1000)).(Refuse)
		must.Between(t, 5000, refuse.RetryAfter, 10000)
		returns[min(parts-1, (refuse.RetryAfter-5000)*parts/5000)]++
	}
	for _, n := range returns {
		must.GreaterEq(t, callers/parts/2, n)
	}
}

// TestLoadInAnotherRegionIsAwaited plays a shard with a queue of loads while another region loads the
// adapter already: a load of its own would come later and take a place from another adapter.
func TestLoadInAnotherRegionIsAwaited(t *testing.T) {
	for _, queue := range []clock.Millis{0, 600} {
		c := newTestCore()
		c.ApplyUpdate(1000, &peer.PlacementUpdate{Shard: "near", Fence: 1, Sequence: 1, LoadWait: queue})
		c.ApplyUpdate(1000, &peer.PlacementUpdate{Shard: "far", Fence: 1, Sequence: 1, Servers: []peer.ServerPlacement{
			{Server: "f1", Models: []units.ModelName{"m"}, Copies: []peer.PlacedCopy{placedCopy("m/rare", 250)}},
		}})
		wait, ok := c.Choose(1000, testRequest("r", "m/rare", 1000)).(Wait)
		must.True(t, ok)
		must.Eq(t, queue > 0, wait.Until == 1250)
	}
}
