package fleet

import (
	"context"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// startLog is a System that keeps starts of streams.
type startLog struct {
	System
	batches []origin.Batch
	oldest  units.Offset
	era     units.Era
	reads   int
}

// AppendStarts implements Store.
func (l *startLog) AppendStarts(_ context.Context, batches []origin.Batch) error {
	l.batches = append(l.batches, batches...)
	return nil
}

// ReadStarts implements Store.
func (l *startLog) ReadStarts(_ context.Context, from units.Offset) (*StartRecords, error) {
	l.reads++
	end := units.Offset(len(l.batches))
	if from < l.oldest || from > end {
		return nil, &ExpiredError{Oldest: l.oldest, Era: l.era}
	}
	next := min(end, from+2)
	return &StartRecords{Batches: l.batches[from:next], Next: next, Era: l.era, More: next < end}, nil
}

func newStartNode(log *startLog, time clock.Clock) *Node {
	return New(Options{Settings: Settings{ID: "vm0", Region: "r", PeerAddress: "vm0:1", Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: log, Clock: time})
}

// TestStartsGoToAPlacerThatTakesThem guards against messages that a placer of an earlier release doesn't know:
// it would close the connection.
func TestStartsGoToAPlacerThatTakesThem(t *testing.T) {
	for _, tc := range []struct {
		name     string
		versions []topo.Software
		placer   *peer.PlacementUpdate
		appended int
	}{
		{"one version", []topo.Software{"1"}, nil, 0},
		{"no placer", []topo.Software{"1", "2"}, nil, 1},
		{"a placer of an earlier release", []topo.Software{"1", "2"}, &peer.PlacementUpdate{Address: "vm1:1", Fence: 1, Remaining: 3000}, 1},
		{"a placer that takes them", []topo.Software{"1", "2"}, &peer.PlacementUpdate{Address: "vm1:1", Fence: 1, Remaining: 3000, KeepsStarts: true}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := &startLog{}
			n := newStartNode(log, clock.NewManual(clock.Hour))
			var list []topo.ServiceSoftware
			for _, v := range tc.versions {
				list = append(list, topo.ServiceSoftware{Service: "llm", Software: v})
			}
			n.withCore(func(core *choose.Core) { core.AddSoftware(n.clock.Now(), list) })
			cfg := &topo.Config{Version: 1, Routes: []topo.Route{{Host: "h", PathPrefix: "/", Kind: topo.KindStream, Resumable: true, Shares: []topo.Share{{Service: "llm", Weight: 1}}}}}
			n.origins.applyConfigs(n.clock.Now(), &FeedUpdate{Config: cfg})
			if tc.placer != nil {
				n.ownPlacer().handlePlacement(placementInput{from: "vm1", update: tc.placer})
				n.ownPlacer().storeHolder()
			}
			n.starts.add(n.clock.BootNow(), origin.RouteKeyOf(&cfg.Routes[0]), origin.Start{Key: 7, Software: "1", Remaining: clock.Minute})
			n.stepStarts(t.Context())
			must.Len(t, tc.appended, log.batches)
		})
	}
}

// TestStartsAreReadAcrossGaps reads starts after records have expired and after the store was restored with
// fewer records.
func TestStartsAreReadAcrossGaps(t *testing.T) {
	time := clock.NewManual(clock.Hour)
	log := &startLog{oldest: 3}
	n := newStartNode(log, time)
	for key := range 9 {
		log.batches = append(log.batches, origin.Batch{Software: "1", Remaining: clock.Minute, Keys: []origin.Key{origin.Key(key)}})
	}
	find := func(key origin.Key) bool {
		began, known := n.findKeptStart(t.Context(), key)
		must.Eq(t, known, began.Software == "1")
		return known
	}
	must.True(t, find(8))
	must.True(t, find(3))
	must.False(t, find(2))
	before := log.reads
	for range 100 {
		find(2)
	}
	must.Eq(t, before, log.reads, must.Sprint("unknown streams must not cause a read each"))
	log.era++
	log.batches, log.oldest = append(log.batches[:4:4], origin.Batch{Software: "1", Remaining: clock.Minute, Keys: []origin.Key{99}}), 0
	time.Advance(clock.Second)
	must.True(t, find(99))
	time.Advance(clock.Hour)
	must.False(t, find(99))
}
