package entry

import (
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
)

// TestRenewalsSendAllFieldsOnlyToNewOwners checks that the owner that issued a grant
// receives only its number, and another owner receives all of its fields twice, even if
// it is the same owner after it lost the server and took it over again.
func TestRenewalsSendAllFieldsOnlyToNewOwners(t *testing.T) {
	c, _ := startCore(t)
	self := c.Members.SelfID()
	r := &request{
		Request: event.Request{ID: "r1"}, state: stateRunning, server: "engine-1", owner: self, grant: 7, attempt: 1,
		adapter: units.AdapterVersion{Adapter: "braid", Version: "v1"}, runningAt: c.now,
	}
	c.requests[r.ID] = r
	full := peer.HeldGrant{Request: "r1", Attempt: 1, Server: "engine-1", Adapter: r.adapter, Grant: 7}
	short := peer.HeldGrant{Server: "engine-1", Grant: 7}
	due := func(after clock.Millis) []peer.HeldGrant {
		c.now += after
		return c.dueRenewals()[self]
	}
	must.SliceEmpty(t, due(1))
	must.SliceEmpty(t, due(renewPeriod-2))
	must.Eq(t, []peer.HeldGrant{short}, due(1))
	must.Eq(t, []peer.HeldGrant{short}, due(renewPeriod))
	c.Router.Server("engine-1").Summary.Fence++
	must.Eq(t, []peer.HeldGrant{full}, due(1))
	must.SliceEmpty(t, due(1))
	must.Eq(t, []peer.HeldGrant{full}, due(renewPeriod))
	must.Eq(t, []peer.HeldGrant{short}, due(renewPeriod))
	r.lastRenewal.owner = "entry-9"
	must.Eq(t, []peer.HeldGrant{full}, due(1))
}
