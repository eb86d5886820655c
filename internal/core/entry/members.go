package entry

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// mergeVMs merges the settings with the platform's list and the operators' table.
func (c *Core) mergeVMs(out *event.Effects) {
	c.vms = map[string]event.VM{}
	var all []event.VM
	for _, vm := range c.cfg.VMs {
		c.vms[vm.ID] = vm
	}
	for _, vm := range c.listedVMs {
		c.vms[vm.ID] = vm
	}
	var backend []event.VM
	for _, vm := range c.vms {
		all = append(all, vm)
		if vm.Entry || vm.FailureDomain != c.cfg.Self.FailureDomain {
			continue
		}
		if id := units.BackendServerID(vm.ID); c.Table.ServerLeaving(id) || c.services.unavailable(id) {
			vm.State = event.VMLeaving
		}
		backend = append(backend, vm)
	}
	c.Members.Learn(c.now, all)
	c.Router.SetServers(backend)
	c.countEngines(all)
	c.assignServers(out)
}

// membersChanged reassigns the engines. An entry VM that has just joined sends heartbeats
// immediately, so that the others hand over the engines that it now owns.
func (c *Core) membersChanged(out *event.Effects) {
	c.assignServers(out)
	if joined := !c.Members.Joining(); joined && !c.joined {
		c.joined = true
		c.sendHeartbeats(out)
	}
}

// assignServers updates the set of engines that this entry VM owns.
func (c *Core) assignServers(out *event.Effects) {
	var owned []event.VM
	for _, s := range c.Router.Servers() {
		if s.Spec.Kind == event.KindEngine && !s.Spec.ChecksFence {
			c.Owner.FollowLeases(event.LeaseStream+"_"+units.StreamName(c.cfg.Self.FailureDomain), out)
		}
		if s.Spec.Kind == event.KindEngine && c.Members.OwnerOf(s.ID()) == c.Members.SelfID() {
			owned = append(owned, s.Spec)
		}
	}
	c.Owner.SetServers(owned, out)
}
