package links

import (
	"bufio"
	"bytes"
	"compress/flate"
	"fmt"
	"testing"

	"mangostile/internal/base/frame"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// placements returns a placement update of some backend servers.
func placements(servers int) *peer.PlacementUpdate {
	m := &peer.PlacementUpdate{Shard: "southern", Fence: 7, Sequence: 9, Address: "10.1.0.38:7380"}
	for i := range servers {
		p := peer.ServerPlacement{Server: units.BackendServerID(fmt.Sprintf("i-%08x", i*2654435761)), Active: int32(i % 30), Prefill: units.Tokens(i * 977 % 9000)}
		for j := range 6 {
			p.Copies = append(p.Copies, peer.PlacedCopy{Adapter: units.AdapterName(fmt.Sprintf("tilo8854f2/a%d", i*31+j*977%3000)), Revision: 1})
		}
		m.Servers = append(m.Servers, p)
	}
	return m
}

// TestFramesArePacked checks that a message arrives as it was sent, with or without compression,
// and that only large ones are compressed, and only for entry VMs that read that.
func TestFramesArePacked(t *testing.T) {
	for _, tc := range []struct {
		name           string
		servers        int
		packs, smaller bool
	}{
		{"small", 1, true, false},
		{"large", 100, true, true},
		{"large, to an earlier release", 100, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := placements(tc.servers)
			plain, err := encode(m, false)
			must.NoError(t, err)
			out, err := encode(m, tc.packs)
			must.NoError(t, err)
			must.Eq(t, tc.smaller, len(out) < len(plain))
			tag, payload, err := frame.Read(bufio.NewReader(bytes.NewReader(out)), nil)
			must.NoError(t, err)
			must.Eq(t, tc.smaller, tag&packedTag != 0)
			tag, payload, err = unpack(tag, payload, nil)
			must.NoError(t, err)
			got, err := decodeMessage(tag, payload)
			must.NoError(t, err)
			must.Eq(t, peer.Message(m), got)
		})
	}
}

// TestBadPackedFramesAreRejected guards against a frame that takes all memory when it is decompressed,
// and against one that is cut.
func TestBadPackedFramesAreRejected(t *testing.T) {
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	must.NoError(t, err)
	for range 64 {
		_, err = w.Write(make([]byte, 1<<20))
		must.NoError(t, err)
	}
	must.NoError(t, w.Close())
	_, _, err = unpack(packedTag|tagFeedUpdate, bomb.Bytes(), nil)
	var tooLong *frame.TooLongError
	must.True(t, errors.As(err, &tooLong))
	_, _, err = unpack(packedTag|tagFeedUpdate, bomb.Bytes()[:bomb.Len()/2], nil)
	must.Error(t, err)
	_, _, err = unpack(packedTag|tagFeedUpdate, []byte("no flate"), nil)
	must.Error(t, err)
}

// BenchmarkPack measures the compression of a placement update of 100 backend servers.
func BenchmarkPack(b *testing.B) {
	m := placements(100)
	plain, err := encode(m, false)
	must.NoError(b, err)
	for range b.N {
		out, err := encode(m, true)
		must.NoError(b, err)
		b.ReportMetric(float64(len(out))/float64(len(plain)), "share")
	}
	b.SetBytes(int64(len(plain)))
}

// BenchmarkUnpack measures the decompression of the same update.
func BenchmarkUnpack(b *testing.B) {
	out, err := encode(placements(100), true)
	must.NoError(b, err)
	for range b.N {
		_, payload, err := unpack(packedTag|tagPlacementUpdate, out[headerBytes:], nil)
		must.NoError(b, err)
		b.SetBytes(int64(len(payload)))
	}
}
