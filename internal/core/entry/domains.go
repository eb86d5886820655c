package entry

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/member"
	"mangostile/internal/core/peer"
)

// maxSummaryEntries is the maximum number of members named in a summary.
const maxSummaryEntries = 3

// sendSummaries sends a summary of this failure domain to the others, if this entry VM is
// its delegate: the member with the smallest ID.
func (c *Core) sendSummaries(out *event.Effects) {
	if c.now-c.summarizedAt < member.SummaryPeriod || c.leaving || !c.isDelegate() {
		return
	}
	c.summarizedAt = c.now
	c.summariesSent++
	summary := &peer.DomainSummary{
		Domain: c.cfg.Self.FailureDomain, Incarnation: c.cfg.Incarnation, Sequence: c.summariesSent,
		ConfigOffset: c.Table.Next(), LowestOffset: c.lowestOffset(), LogUnreachable: c.feed.logUnreachable,
		Entries: c.Members.Members()[:min(maxSummaryEntries, len(c.Members.Members()))],
	}
	for _, id := range c.otherDelegates() {
		out.Add(event.SendPeer{To: id, Message: summary})
	}
}

func (c *Core) isDelegate() bool {
	members := c.Members.Members()
	return len(members) > 0 && members[0] == c.Members.SelfID()
}

// otherDelegates returns one entry VM of each other failure domain: the last sender of
// its summary or, if there is no valid one, one of its entry VMs in turn.
func (c *Core) otherDelegates() []units.EntryVMID {
	entries := map[units.FailureDomain][]units.EntryVMID{}
	var domains []units.FailureDomain
	for _, p := range c.Members.Peers() {
		if p.FailureDomain == c.cfg.Self.FailureDomain {
			continue
		}
		if entries[p.FailureDomain] == nil {
			domains = append(domains, p.FailureDomain)
		}
		entries[p.FailureDomain] = append(entries[p.FailureDomain], p.ID)
	}
	var delegates []units.EntryVMID
	for _, domain := range domains {
		delegate, ok := c.Domains.Delegate(c.now, domain)
		if !ok {
			delegate = entries[domain][int(c.summariesSent)%len(entries[domain])]
		}
		delegates = append(delegates, delegate)
	}
	return delegates
}

// lowestOffset returns the smallest config offset among the members.
func (c *Core) lowestOffset() units.Offset {
	lowest := c.Table.Next()
	for _, id := range c.Members.Members() {
		if p := c.Members.Peer(id); p != nil {
			lowest = min(lowest, p.ConfigOffset)
		}
	}
	return lowest
}

// summaryReceived handles the summary of another failure domain. If that domain has newer
// config records and the log can't supply them here, the delegate of this failure domain
// requests them from the sender.
func (c *Core) summaryReceived(m *peer.DomainSummary, out *event.Effects) {
	if m.Domain == c.cfg.Self.FailureDomain || !c.Domains.Receive(c.now, m) {
		return
	}
	if !c.isDelegate() {
		c.forwardSummary(m, out)
		return
	}
	if m.ConfigOffset > c.Table.Next() && (c.feed.logUnreachable || !c.configSynced || c.feed.gap) {
		c.requestConfig(m.Entries[0], out)
	}
}

// forwardSummary forwards a summary that reached another member to the delegate.
func (c *Core) forwardSummary(m *peer.DomainSummary, out *event.Effects) {
	members := c.Members.Members()
	if len(members) > 0 && c.Members.Peer(members[0]) != nil {
		out.Add(event.SendPeer{To: members[0], Message: m})
	}
}
