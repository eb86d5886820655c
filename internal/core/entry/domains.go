package entry

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/member"
	"mangostile/internal/core/peer"
)

// maxSummaryEntries bounds the members that a summary names.
const maxSummaryEntries = 3

// summarize tells other failure domains of the own one, if the own entry VM is
// its delegate: the member with the smallest id.
func (c *Core) summarize(out *event.Effects) {
	if c.now-c.summarizedAt < member.SummaryPeriod || c.leaving || !c.isDelegate() {
		return
	}
	c.summarizedAt = c.now
	c.summaries++
	summary := &peer.DomainSummary{
		Domain: c.cfg.Self.FailureDomain, Incarnation: c.cfg.Incarnation, Sequence: c.summaries,
		ConfigOffset: c.Table.Next(), LowestOffset: c.lowestOffset(), LogUnreachable: c.feed.unreachable,
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

// otherDelegates returns, for each other failure domain, the entry VM that last
// sent its summary, or else one that is tried in turn.
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
		known, ok := c.Domains.Delegate(c.now, domain)
		if !ok {
			known = entries[domain][int(c.summaries)%len(entries[domain])]
		}
		delegates = append(delegates, known)
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

// domainSummarized takes the summary of another failure domain. What is newer
// there is asked for by those who can't read the log.
func (c *Core) domainSummarized(m *peer.DomainSummary, out *event.Effects) {
	if m.Domain == c.cfg.Self.FailureDomain || !c.Domains.Heard(c.now, m) {
		return
	}
	if !c.isDelegate() {
		c.passSummary(m, out)
		return
	}
	if m.ConfigOffset > c.Table.Next() && (c.feed.unreachable || !c.configSeen || c.feed.gap) {
		c.askConfig(m.Entries[0], out)
	}
}

// passSummary hands a summary that reached another member on to the delegate.
func (c *Core) passSummary(m *peer.DomainSummary, out *event.Effects) {
	members := c.Members.Members()
	if len(members) > 0 && c.Members.Peer(members[0]) != nil {
		out.Add(event.SendPeer{To: members[0], Message: m})
	}
}
