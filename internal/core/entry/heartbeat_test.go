package entry

import (
	"fmt"
	"slices"
	"testing"

	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawSummaries(t *rapid.T) []peer.ServerSummary {
	var summaries []peer.ServerSummary
	for i := range 4 {
		if !rapid.Bool().Draw(t, "owned") {
			continue
		}
		s := peer.ServerSummary{Server: units.BackendServerID(fmt.Sprint("e", i)), Running: int32(rapid.IntRange(0, 3).Draw(t, "running")), Spare: uint8(rapid.IntRange(0, 255).Draw(t, "spare"))}
		if rapid.Bool().Draw(t, "resident") {
			s.Resident = []units.AdapterVersion{{Adapter: "a"}}
		}
		summaries = append(summaries, s)
	}
	return summaries
}

// TestHeartbeatsCarryChanges loses heartbeats and restarts the sender. It checks that a
// receiver that reports to be synced has the sender's state, and that two heartbeats that
// arrive in each direction suffice to be synced.
func TestHeartbeatsCarryChanges(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var sender heartbeatState
		var receiver heartbeatExchange
		incarnation := units.Incarnation(1)
		consecutive := 0
		for range rapid.IntRange(1, 40).Draw(t, "beats") {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				incarnation++
				sender = heartbeatState{}
			}
			now := drawSummaries(t)
			sender.sequence++
			changed, dropped := sender.changesSinceLast(now)
			to := sender.of("receiver")
			m := to.message(peer.Heartbeat{Incarnation: incarnation, Sequence: sender.sequence, Loads: loadFigures(now)}, changed, dropped, now)
			sender.lastSent = now
			must.NoError(t, m.Check())
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				consecutive = 0
				continue
			}
			consecutive++
			if receiver.receive(&m) {
				must.True(t, slices.EqualFunc(now, receiver.servers, func(a, b peer.ServerSummary) bool {
					return a.Server == b.Server && a.Running == b.Running && a.Spare == b.Spare && slices.Equal(a.Resident, b.Resident)
				}), must.Sprintf("sent %v, received %v", now, receiver.servers))
			} else {
				must.Less(t, 3, consecutive)
			}
			answer := receiver.message(peer.Heartbeat{Incarnation: 1}, nil, nil, nil)
			to.receive(&answer)
		}
	})
}
