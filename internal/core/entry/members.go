package entry

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// learnVMs joins the settings with the platform's list and the operators' table.
func (c *Core) learnVMs(out *event.Effects) {
	c.vms = map[string]event.VM{}
	var all []event.VM
	for _, vm := range c.cfg.VMs {
		c.vms[vm.ID] = vm
	}
	for _, vm := range c.listed {
		c.vms[vm.ID] = vm
	}
	var backend []event.VM
	for _, vm := range c.vms {
		all = append(all, vm)
		if vm.Entry || vm.FailureDomain != c.cfg.Self.FailureDomain {
			continue
		}
		if c.Table.ServerLeaving(units.BackendServerID(vm.ID)) {
			vm.State = event.VMLeaving
		}
		backend = append(backend, vm)
	}
	c.Members.Learn(c.now, all)
	c.Router.SetServers(backend)
	c.assignServers(out)
}

// assignServers takes up the engines that the own entry VM owns.
func (c *Core) assignServers(out *event.Effects) {
	var owned []event.VM
	for _, s := range c.Router.Servers() {
		if s.Spec.Kind == event.KindEngine && c.Members.OwnerOf(s.ID()) == c.Members.SelfID() {
			owned = append(owned, s.Spec)
		}
	}
	c.Owner.SetServers(owned, out)
}

// beat sends a heartbeat to each member of the own failure domain, itself
// included.
func (c *Core) beat(out *event.Effects) {
	heartbeat := peer.Heartbeat{
		Incarnation: c.cfg.Incarnation, Leaving: c.leaving, ConfigOffset: c.Table.Next(),
		LogUnreachable: c.feed.unreachable,
		Servers:        c.Owner.Summaries(c.now), Full: true,
	}
	held := c.heldByOwner()
	for _, p := range c.Members.Peers() {
		if p.FailureDomain != c.cfg.Self.FailureDomain {
			continue
		}
		message := heartbeat
		message.GrantsHeld = held[p.ID]
		out.Add(event.SendPeer{To: p.ID, Message: &message})
	}
	heartbeat.GrantsHeld = held[c.Members.SelfID()]
	c.heartbeat(c.Members.SelfID(), &heartbeat, out)
}

func (c *Core) heldByOwner() map[units.EntryVMID][]peer.HeldGrant {
	held := map[units.EntryVMID][]peer.HeldGrant{}
	for _, r := range c.requests {
		if r.state != stateRunning || r.grant == 0 {
			continue
		}
		owner := c.Members.OwnerOf(r.server)
		held[owner] = append(held[owner], peer.HeldGrant{
			Request: r.ID, Attempt: r.attempt, Server: r.server, Adapter: r.adapter, Grant: r.grant,
		})
	}
	return held
}

func (c *Core) heartbeat(from units.EntryVMID, m *peer.Heartbeat, out *event.Effects) {
	if from != c.Members.SelfID() {
		before := len(c.Members.Members())
		if !c.Members.Heard(c.now, from, m) {
			return
		}
		if len(c.Members.Members()) != before {
			c.assignServers(out)
		}
	}
	for i := range m.Servers {
		c.Router.Summarize(c.now, m.Servers[i])
	}
	c.Owner.Renew(c.now, from, m.GrantsHeld)
}
