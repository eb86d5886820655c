package peer

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// Earlier forms of messages and records, from before starts and load requests named their service.
type (
	EarlierStart struct {
		Key       origin.Key    `msgpack:"k"`
		Software  topo.Software `msgpack:"v"`
		Remaining clock.Millis  `msgpack:"r"`
	}
	earlierStreamStart struct {
		EarlierStart `msgpack:"s"`
	}
	earlierBatch struct {
		Software  topo.Software `msgpack:"v"`
		Remaining clock.Millis  `msgpack:"r"`
		Keys      []origin.Key  `msgpack:"k"`
	}
	earlierStreamStarts struct {
		Number  origin.HandoffNumber `msgpack:"n"`
		Address string               `msgpack:"a"`
		Batches []earlierBatch       `msgpack:"b"`
	}
	earlierPlacement struct {
		Shard       string       `msgpack:"s"`
		Remaining   clock.Millis `msgpack:"l,omitempty"`
		KeepsStarts bool         `msgpack:"t,omitempty"`
	}
	earlierLoadRequest struct {
		Adapter      units.AdapterName `msgpack:"n"`
		Count        int32             `msgpack:"c"`
		LoadDeadline clock.Millis      `msgpack:"i,omitempty"`
	}
	earlierOriginReply struct {
		Question uint64        `msgpack:"q"`
		Known    bool          `msgpack:"y,omitempty"`
		Covers   bool          `msgpack:"c,omitempty"`
		Software topo.Software `msgpack:"v,omitempty"`
	}
)

// TestEarlierReleaseUnderstandsStarts guards against entry VMs of the release before that lose the starts of
// streams or load requests, or close the connection, during an upgrade.
func TestEarlierReleaseUnderstandsStarts(t *testing.T) {
	start := EarlierStart{Key: 7, Software: "v1", Remaining: 9}
	batch := earlierBatch{Software: "v1", Remaining: 9, Keys: []origin.Key{7}}
	for _, tc := range []struct {
		name             string
		message, earlier any
		// empty returns a message of this release and one of the earlier one to decode into.
		empty func() (message, earlier any)
		// without is the message as decoded from the earlier form.
		without any
	}{
		{
			"stream_start", &StreamStart{origin.Start{Key: 7, Software: "v1", Service: "llm", Remaining: 9}}, &earlierStreamStart{start},
			func() (any, any) { return &StreamStart{}, &earlierStreamStart{} }, &StreamStart{origin.Start{Key: 7, Software: "v1", Remaining: 9}},
		},
		{
			"stream_starts", &StreamStarts{Number: 3, Address: "a:1", Batches: []origin.Batch{{Software: "v1", Service: "llm", Remaining: 9, Keys: []origin.Key{7}}}},
			&earlierStreamStarts{Number: 3, Address: "a:1", Batches: []earlierBatch{batch}},
			func() (any, any) { return &StreamStarts{}, &earlierStreamStarts{} },
			&StreamStarts{Number: 3, Address: "a:1", Batches: []origin.Batch{{Software: "v1", Remaining: 9, Keys: []origin.Key{7}}}},
		},
		{
			"record of the store", &origin.Batch{Software: "v1", Service: "llm", Remaining: 9, Keys: []origin.Key{7}}, &batch,
			func() (any, any) { return &origin.Batch{}, &earlierBatch{} }, &origin.Batch{Software: "v1", Remaining: 9, Keys: []origin.Key{7}},
		},
		{
			"placement_update", &PlacementUpdate{Shard: "r", Remaining: 9, KeepsStarts: true, KeepsLedger: true}, &earlierPlacement{Shard: "r", Remaining: 9, KeepsStarts: true},
			func() (any, any) { return &PlacementUpdate{}, &earlierPlacement{} }, &PlacementUpdate{Shard: "r", Remaining: 9, KeepsStarts: true},
		},
		{
			"load request", &LoadRequest{Adapter: "m/a", Service: "llm", Count: 2, LoadDeadline: 9}, &earlierLoadRequest{Adapter: "m/a", Count: 2, LoadDeadline: 9},
			func() (any, any) { return &LoadRequest{}, &earlierLoadRequest{} }, &LoadRequest{Adapter: "m/a", Count: 2, LoadDeadline: 9},
		},
		{
			"origin_reply", &OriginReply{Question: 5, Known: true, Covers: true, Service: "llm", Software: "v1"}, &earlierOriginReply{Question: 5, Known: true, Covers: true, Software: "v1"},
			func() (any, any) { return &OriginReply{}, &earlierOriginReply{} }, &OriginReply{Question: 5, Known: true, Covers: true, Software: "v1"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			message, earlier := tc.empty()
			data, err := msgpack.Marshal(tc.message)
			must.NoError(t, err)
			must.NoError(t, msgpack.Unmarshal(data, earlier))
			must.Eq(t, tc.earlier, earlier)
			must.NoError(t, msgpack.Unmarshal(data, message))
			must.Eq(t, tc.message, message)
			data, err = msgpack.Marshal(tc.earlier)
			must.NoError(t, err)
			message, _ = tc.empty()
			must.NoError(t, msgpack.Unmarshal(data, message))
			must.Eq(t, tc.without, message)
		})
	}
}
