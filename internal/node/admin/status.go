package admin

import (
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/poison"
	"mangostile/internal/node/render"

	"github.com/valyala/fasthttp"
)

// Status is the answer to GET /admin/status.
type Status struct {
	EntryVM       units.EntryVMID     `json:"entry_vm"`
	FailureDomain units.FailureDomain `json:"failure_domain"`
	Ready         bool                `json:"ready"`
	Revision      units.Offset        `json:"revision"`
	Adapters      int                 `json:"adapters"`
	// Requests counts the open requests of this entry VM.
	Requests entry.RequestCounts `json:"requests"`
	// Refusals counts the requests refused since this entry VM started, by code. Requests
	// refused before they reach the core, such as malformed ones, are not included.
	Refusals map[errs.Code]int64 `json:"refusals,omitempty"`
	EntryVMs []Member            `json:"entry_vms"`
	// Domains holds the last summaries of other failure domains; see Members.
	Domains []DomainReport `json:"failure_domains,omitempty"`
	// Marks lists the requests that were in flight when a backend server crashed.
	Marks []MarkStatus `json:"marks,omitempty"`
	// Servers are the backend servers of the own failure domain.
	Servers []ServerStatus `json:"backend_servers"`
}

// MarkStatus describes a request that is suspected of crashing backend servers.
type MarkStatus struct {
	poison.Entry
	// Fingerprint is the request's fingerprint in hexadecimal digits, as in log lines. In
	// JSON it replaces the number in Entry.
	Fingerprint string `json:"fingerprint"`
}

// ServerStatus describes one backend server of the own failure domain.
type ServerStatus struct {
	ID      units.BackendServerID `json:"id"`
	Kind    event.ServerKind      `json:"kind"`
	Service units.ServiceName     `json:"service,omitempty"`
	Base    units.ModelName       `json:"base,omitempty"`
	// Owner is the entry VM that controls the engine, in the view of the answering one.
	Owner   units.EntryVMID `json:"owner,omitempty"`
	Fence   units.Fence     `json:"fence,omitempty"`
	Usable  bool            `json:"usable"`
	Leaving bool            `json:"leaving"`
	// Drained reports that the operators' table has taken the server out of service.
	Drained  bool                   `json:"drained"`
	Running  int32                  `json:"running"`
	Waiting  int32                  `json:"waiting"`
	BatchMax int32                  `json:"batch_max,omitempty"`
	Slots    int32                  `json:"slots,omitempty"`
	Resident []units.AdapterVersion `json:"resident"`
	Loading  []units.AdapterVersion `json:"loading"`
}

func (a *api) status(ctx *fasthttp.RequestCtx) {
	var status Status
	if a.query(ctx, func(c *entry.Core) { status = describeStatus(c) }) {
		render.JSON(ctx, fasthttp.StatusOK, status)
	}
}

func describeStatus(c *entry.Core) Status {
	status := Status{
		EntryVM: c.Members.SelfID(), FailureDomain: c.Members.Self.FailureDomain, Ready: c.Ready(), Revision: c.Table.Next(),
		Adapters: c.Table.Len(), Requests: c.CountRequests(), Refusals: c.Refusals(), EntryVMs: describeMembers(c),
		Domains: describeDomains(c), Servers: []ServerStatus{},
	}
	for _, mark := range c.PoisonMarks() {
		status.Marks = append(status.Marks, MarkStatus{Entry: mark, Fingerprint: mark.Fingerprint.String()})
	}
	for _, s := range c.Router.Servers() {
		server := ServerStatus{
			ID: s.ID(), Kind: s.Spec.Kind, Service: s.Spec.Service, Base: s.Spec.Base, Leaving: s.Leaving, Drained: c.Table.ServerLeaving(s.ID()),
		}
		if s.Spec.Kind == event.KindEngine {
			server.Owner = c.Members.OwnerOf(s.ID())
			server.Fence, server.Usable = s.Summary.Fence, s.Summary.Usable
			server.Running, server.Waiting = s.Summary.Running, s.Summary.Waiting
			server.BatchMax, server.Slots = s.Summary.BatchMax, s.Summary.Slots
			server.Resident, server.Loading = s.Summary.Resident, s.Summary.Loading
		} else {
			server.Usable = !s.Leaving
		}
		status.Servers = append(status.Servers, server)
	}
	return status
}
