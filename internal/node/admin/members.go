package admin

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/node/render"

	"github.com/valyala/fasthttp"
)

// Member is what the asked entry VM knows of one entry VM.
type Member struct {
	ID            units.EntryVMID     `json:"id"`
	FailureDomain units.FailureDomain `json:"failure_domain"`
	Region        units.Region        `json:"region"`
	Self          bool                `json:"self,omitempty"`
	// Alive is set if the entry VM is the one asked or was heard of lately.
	Alive   bool `json:"alive"`
	Leaving bool `json:"leaving,omitempty"`
	// Heard is set if the entry VM ever told its revision; Revision says nothing
	// otherwise.
	Heard    bool         `json:"heard"`
	Revision units.Offset `json:"revision"`
	// HeardAgo is the time since the last word.
	HeardAgo clock.Millis `json:"heard_ms_ago"`
}

// Members is the answer to GET /admin/members.
type Members struct {
	EntryVMs []Member `json:"entry_vms"`
	// Domains is what other failure domains last said of themselves. Only the
	// member that talks for its failure domain holds it; others answer none.
	Domains []DomainWord `json:"failure_domains,omitempty"`
}

// DomainWord is what a failure domain said of itself.
type DomainWord struct {
	FailureDomain units.FailureDomain `json:"failure_domain"`
	// LowestRevision is the smallest among the entry VMs that the sender hears of.
	LowestRevision units.Offset `json:"lowest_revision"`
	// LogUnreachable is set if the sender can't read the log service.
	LogUnreachable bool `json:"log_unreachable,omitempty"`
}

func (a *api) members(ctx *fasthttp.RequestCtx) {
	var answer Members
	if a.look(ctx, func(c *entry.Core) { answer.EntryVMs, answer.Domains = describeMembers(c), describeDomains(c) }) {
		render.JSON(ctx, fasthttp.StatusOK, answer)
	}
}

func describeMembers(c *entry.Core) []Member {
	now := c.Now()
	members := []Member{{
		ID: c.Members.SelfID(), FailureDomain: c.Members.Self.FailureDomain, Region: c.Members.Self.Region,
		Self: true, Alive: true, Leaving: !c.Ready(), Heard: true, Revision: c.Table.Next(),
	}}
	for _, p := range c.Members.Peers() {
		m := Member{
			ID: p.ID, FailureDomain: p.FailureDomain, Region: p.Region, Alive: c.Members.Alive(now, p.ID), Leaving: p.Leaving,
			Heard: p.Incarnation != 0,
		}
		if m.Heard {
			m.Revision, m.HeardAgo = p.ConfigOffset, now-p.LastHeartbeatAt
		}
		members = append(members, m)
	}
	return members
}

func describeDomains(c *entry.Core) []DomainWord {
	var words []DomainWord
	for _, summary := range c.Domains.Newest(c.Now()) {
		words = append(words, DomainWord{
			FailureDomain: summary.Domain, LowestRevision: summary.LowestOffset, LogUnreachable: summary.LogUnreachable,
		})
	}
	return words
}
