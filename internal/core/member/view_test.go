package member

import (
	"testing"

	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// TestUnlistedPeerIsRemovedAfterTimeout checks that a peer that leaves the list of VMs
// before its heartbeats end is removed once they time out. The list does not change then,
// so that only Tick can remove the peer.
func TestUnlistedPeerIsRemovedAfterTimeout(t *testing.T) {
	v := View{Self: event.VM{ID: "entry-1", FailureDomain: "galle", Entry: true}}
	other := event.VM{ID: "entry-2", FailureDomain: "galle", Entry: true}
	v.Learn(1000, []event.VM{other})
	must.True(t, v.Receive(1500, "entry-2", &peer.Heartbeat{Incarnation: 1}))
	v.Learn(2000, nil)
	must.NotNil(t, v.Peer("entry-2"))
	v.Tick(1500 + SuspectTimeout - 1)
	must.NotNil(t, v.Peer("entry-2"))
	v.Tick(1500 + SuspectTimeout)
	must.Nil(t, v.Peer("entry-2"))
}
