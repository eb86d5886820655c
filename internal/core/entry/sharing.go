package entry

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// loadsKey names the weight store's bounds among the shared limits.
const loadsKey = "store_loads"

// demands returns the own demands for the heartbeat.
func (c *Core) demands() []peer.Demand {
	demands := []peer.Demand{{Key: loadsKey, Rate: float32(c.Owner.Backlog())}}
	c.heardDemands(c.Members.SelfID(), demands)
	return demands
}

// heardDemands takes the demands of an entry VM and divides the limits anew.
func (c *Core) heardDemands(from units.EntryVMID, demands []peer.Demand) {
	c.shares.Heard(from, demands)
	budget := &c.Owner.Budget
	budget.SetShare(c.shares.Part(loadsKey, c.Members.SelfID(), c.Members.Members(), budget.Capacity()))
}
