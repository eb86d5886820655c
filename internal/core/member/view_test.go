package member

import (
	"testing"

	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// TestPeerGoneFromListIsForgottenOnceSilent checks that a peer that is dropped from the
// list of VMs while its heartbeats still arrive is removed once they time out, without
// another list.
func TestPeerGoneFromListIsForgottenOnceSilent(t *testing.T) {
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
