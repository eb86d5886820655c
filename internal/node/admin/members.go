package admin

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/node/render"

	"github.com/valyala/fasthttp"
)

// Member describes one entry VM as seen by the entry VM that answers.
type Member struct {
	ID            units.EntryVMID     `json:"id"`
	FailureDomain units.FailureDomain `json:"failure_domain"`
	Region        units.Region        `json:"region"`
	Self          bool                `json:"self,omitempty"`
	// Alive reports that the entry VM is the answering one or that its last heartbeat is
	// recent.
	Alive   bool `json:"alive"`
	Leaving bool `json:"leaving,omitempty"`
	// HeartbeatReceived reports that a heartbeat was received, or that the entry VM is the
	// answering one. Revision and HeartbeatAge are valid only if it is true.
	HeartbeatReceived bool         `json:"heard"`
	Revision          units.Offset `json:"revision"`
	// HeartbeatAge is the time since the last heartbeat, in ms.
	HeartbeatAge clock.Millis `json:"heard_ms_ago"`
}

// Members is the answer to GET /admin/members.
type Members struct {
	EntryVMs []Member `json:"entry_vms"`
	// Domains holds the last summaries of other failure domains. Only the member that
	// exchanges summaries for its own failure domain has them; others return none.
	Domains []DomainReport `json:"failure_domains,omitempty"`
}

// DomainReport is the last summary received from a failure domain.
type DomainReport struct {
	FailureDomain units.FailureDomain `json:"failure_domain"`
	// LowestRevision is the smallest revision among the entry VMs that the sender counts as
	// members of its failure domain, itself included.
	LowestRevision units.Offset `json:"lowest_revision"`
	// LogUnreachable reports that the sender can't read the log service.
	LogUnreachable bool `json:"log_unreachable,omitempty"`
}

func (a *api) members(ctx *fasthttp.RequestCtx) {
	var answer Members
	if a.query(ctx, func(c *entry.Core) { answer.EntryVMs, answer.Domains = describeMembers(c), describeDomains(c) }) {
		render.JSON(ctx, fasthttp.StatusOK, answer)
	}
}

func describeMembers(c *entry.Core) []Member {
	now := c.Now()
	members := []Member{{
		ID: c.Members.SelfID(), FailureDomain: c.Members.Self.FailureDomain, Region: c.Members.Self.Region,
		Self: true, Alive: true, Leaving: !c.Ready(), HeartbeatReceived: true, Revision: c.Table.Next(),
	}}
	for _, p := range c.Members.Peers() {
		m := Member{
			ID: p.ID, FailureDomain: p.FailureDomain, Region: p.Region, Alive: c.Members.Alive(now, p.ID), Leaving: p.Leaving,
			HeartbeatReceived: p.Incarnation != 0,
		}
		if m.HeartbeatReceived {
			m.Revision, m.HeartbeatAge = p.ConfigOffset, now-p.LastHeartbeatAt
		}
		members = append(members, m)
	}
	return members
}

func describeDomains(c *entry.Core) []DomainReport {
	var reports []DomainReport
	for _, summary := range c.Domains.ValidSummaries(c.Now()) {
		reports = append(reports, DomainReport{
			FailureDomain: summary.Domain, LowestRevision: summary.LowestOffset, LogUnreachable: summary.LogUnreachable,
		})
	}
	return reports
}
