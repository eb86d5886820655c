package fleet

import (
	"context"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// restoredSystem answers reads of the backend servers from a store that was restored.
type restoredSystem struct {
	stubSystem
	era  units.Era
	end  units.Offset
	list []*topo.Server
}

// ReadFull implements Store.
func (s *restoredSystem) ReadFull(context.Context, Feed) (*FeedUpdate, error) {
	return &FeedUpdate{Full: true, Era: s.era, Next: s.end, Servers: s.list}, nil
}

// ReadUpdates implements Store.
func (s *restoredSystem) ReadUpdates(_ context.Context, _ Feed, from units.Offset, _ clock.Millis) (*FeedUpdate, error) {
	return &FeedUpdate{Era: s.era, Next: from}, nil
}

// ReadSoftware implements Store.
func (s *restoredSystem) ReadSoftware(context.Context, units.Offset, units.Offset) ([]topo.ServiceSoftware, error) {
	return nil, nil
}

func newRestoredNode(system System, manual clock.Clock) *Node {
	n := New(Options{Settings: Settings{ID: "vm0", Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: system, Clock: manual})
	f := &n.serversFeed
	f.synced, f.era, f.next, f.fullReadAt = true, 1, 100, manual.Now()
	for _, s := range []*topo.Server{{ID: "runs", StartedAt: 5}, {ID: "leaves", StartedAt: 5, Draining: true}, {ID: "new", StartedAt: 5}, {ID: "restarted", StartedAt: 9}} {
		n.servers.Put(s)
	}
	return n
}

// TestRestoredListNeverReverts guards against what a store that was restored from a copy some seconds old
// says of the backend servers: one that leaves must not be used again, one that is gone must not come back,
// and one that started since must not be lost. After two and a half seconds the list counts as it is.
func TestRestoredListNeverReverts(t *testing.T) {
	manual := clock.NewManual(clock.Hour)
	system := &restoredSystem{era: 2, end: 90, list: []*topo.Server{{ID: "runs", StartedAt: 5}, {ID: "leaves", StartedAt: 5}, {ID: "gone", StartedAt: 5}, {ID: "restarted", StartedAt: 5}}}
	n := newRestoredNode(system, manual)
	f := &n.serversFeed
	read := func() *FeedUpdate {
		r, err := n.readFeed(t.Context(), f, 0)
		must.NoError(t, err)
		n.applyRead(f, r, n.applyServers)
		return r.update
	}
	update := read()
	must.True(t, update.Restored)
	must.True(t, update.Gap)
	must.Eq(t, 2, f.era)
	must.Eq(t, 90, f.next)
	must.Nil(t, n.servers.Get("gone"))
	must.NotNil(t, n.servers.Get("new"))
	must.True(t, n.servers.Get("leaves").Draining)
	must.Eq(t, 9, n.servers.Get("restarted").StartedAt)
	must.False(t, read().Full)

	manual.Advance(restoredReadDelay)
	update = read()
	must.True(t, update.Full)
	must.False(t, update.Restored)
	must.Nil(t, n.servers.Get("new"))
	must.NotNil(t, n.servers.Get("gone"), must.Sprint("its entry is still written"))
}

// TestRelayedUpdatesOfAnotherEra checks which relayed updates an entry VM takes around a restore of the
// store. It may be cut off from the store meanwhile.
func TestRelayedUpdatesOfAnotherEra(t *testing.T) {
	records := []peer.FeedRecord{{Key: "s1", Value: []byte("a:1")}}
	for _, tc := range []struct {
		name   string
		update peer.FeedUpdate
		era    units.Era
		next   units.Offset
	}{
		{"same era", peer.FeedUpdate{FromEra: 1, Era: 1, From: 100, Next: 101, Records: records}, 1, 101},
		{"into the next era", peer.FeedUpdate{FromEra: 1, Era: 2, From: 100, Next: 90, Records: records}, 2, 90},
		{"into the next era after a gap", peer.FeedUpdate{FromEra: 1, Era: 2, From: 105, Next: 90, Records: records}, 1, 100},
		{"within the next era", peer.FeedUpdate{FromEra: 2, Era: 2, From: 90, Next: 110, Records: records}, 1, 100},
		{"of an ended era", peer.FeedUpdate{FromEra: 0, Era: 0, From: 100, Next: 110, Records: records}, 1, 100},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := newRestoredNode(stubSystem{}, clock.NewManual(clock.Hour))
			tc.update.Feed = string(FeedServers)
			must.NoError(t, tc.update.Check())
			n.applyRelayed(&tc.update)
			must.Eq(t, tc.era, n.serversFeed.era)
			must.Eq(t, tc.next, n.serversFeed.next)
			must.Eq(t, tc.next != 100, n.servers.Get("s1") != nil)
			must.NotNil(t, n.servers.Get("new"))
		})
	}
}
