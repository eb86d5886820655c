package links

import (
	"testing"

	"mangostile/internal/base/frame"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// FuzzDecodeMessage checks that any payload is either rejected or decoded, and that a
// decoded message can be encoded and decoded again.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range []peer.Message{
		&peer.Heartbeat{Incarnation: 1, Full: true, Servers: []peer.ServerSummary{{Server: "engine-1"}}, Loads: []byte{1, 2}},
		&peer.GrantRequest{Request: "r", Server: "engine-1", Remaining: 1}, &peer.GrantReply{Request: "r", Server: "engine-1", Grant: 1, Term: 1},
		&peer.GrantRelease{Request: "r", Server: "engine-1", Grant: 1}, &peer.ConfigRecords{Records: []peer.Record{{ID: "e"}}}, &peer.ConfigRequest{}, &peer.Handover{Server: "engine-1", Fence: 1},
		&peer.ConfigSnapshot{Parts: 1}, &peer.PoisonMark{Fingerprint: 1, Server: "engine-1", Crash: "c"}, &peer.DomainSummary{Domain: "galle", Incarnation: 1},
	} {
		buf, err := frame.Append(nil, tagOf(m), m)
		must.NoError(f, err)
		f.Add(tagOf(m), buf[5:])
	}
	f.Add(byte(0), []byte{})
	f.Add(tagHeartbeat, []byte{0xc0})
	f.Fuzz(func(t *testing.T, tag byte, payload []byte) {
		m, err := decodeMessage(tag, payload)
		if err != nil {
			return
		}
		must.EqOp(t, tag, tagOf(m))
		buf, err := frame.Append(nil, tag, m)
		must.NoError(t, err)
		_, err = decodeMessage(tag, buf[5:])
		must.NoError(t, err)
	})
}
