package fleet

import (
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// stubSystem decodes feed records whose key is a backend server; an empty value removes it.
type stubSystem struct{ System }

// DecodeUpdate implements Store.
func (stubSystem) DecodeUpdate(_ Feed, records []peer.FeedRecord) *FeedUpdate {
	update := &FeedUpdate{}
	for _, r := range records {
		if len(r.Value) == 0 {
			update.Removed = append(update.Removed, units.BackendServerID(r.Key))
			continue
		}
		update.Servers = append(update.Servers, &topo.Server{ID: units.BackendServerID(r.Key), Address: string(r.Value)})
	}
	return update
}

// TestRelayedUpdatesNeverRevert passes feed updates of several readers to an entry VM. One that
// is older than what it knows must not bring back a backend server that has left.
func TestRelayedUpdatesNeverRevert(t *testing.T) {
	s1 := []peer.FeedRecord{{Key: "s1", Value: []byte("a:1")}}
	gone := []peer.FeedRecord{{Key: "s1"}}
	for _, tc := range []struct {
		name    string
		updates []peer.FeedUpdate
		want    int
	}{
		{"new", []peer.FeedUpdate{{From: 10, Next: 11, Records: s1}}, 1},
		{"gap", []peer.FeedUpdate{{From: 12, Next: 13, Records: s1}}, 0},
		{"removed later", []peer.FeedUpdate{{From: 10, Next: 11, Records: s1}, {From: 11, Next: 12, Records: gone}}, 0},
		{"older one last", []peer.FeedUpdate{{From: 10, Next: 12, Records: gone}, {From: 10, Next: 11, Records: s1}}, 0},
		{"older one without a gap last", []peer.FeedUpdate{{From: 10, Next: 11, Records: s1}, {From: 10, Next: 14, Records: gone}, {From: 9, Next: 13, Records: s1}}, 0},
		{"overlap", []peer.FeedUpdate{{From: 10, Next: 11, Records: s1}, {From: 8, Next: 12, Records: gone}}, 0},
		{"found at the same offset", []peer.FeedUpdate{{From: 10, Next: 11}, {From: 10, Next: 11, Records: s1}}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := New(Options{Settings: Settings{ID: "vm0", Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: stubSystem{}})
			n.serversFeed.synced, n.serversFeed.next = true, 10
			for i := range tc.updates {
				tc.updates[i].Feed = string(FeedServers)
				n.applyRelayed(&tc.updates[i])
			}
			must.Eq(t, tc.want, n.servers.Len())
		})
	}
}

// TestPlacerThatReadsTakesNoFeedUpdates guards against a storm of updates between the placer
// and entry VMs that read the store at the same time: each passed to the placer what it read,
// which sent it to all others.
func TestPlacerThatReadsTakesNoFeedUpdates(t *testing.T) {
	n := New(Options{Settings: Settings{ID: "vm0", Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: stubSystem{}})
	n.serversFeed.synced, n.serversFeed.next = true, 10
	p := n.ownPlacer()
	p.relaysFeeds.Store(true)
	update := &peer.FeedUpdate{Feed: string(FeedServers), From: 10, Next: 11, Records: []peer.FeedRecord{{Key: "s1", Value: []byte("a:1")}}}
	n.applyRelayed(update)
	must.Zero(t, n.servers.Len())
	must.Zero(t, p.inputs.Len())
	n.serversFeed.failures.Store(1)
	n.applyRelayed(update)
	must.One(t, n.servers.Len())
	must.One(t, p.inputs.Len())
}
