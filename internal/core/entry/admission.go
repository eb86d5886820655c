package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/core/event"

	"github.com/cespare/xxhash/v2"
)

// arrive handles a new request from a caller.
func (c *Core) arrive(req event.Request, out *event.Effects) {
	if c.requests[req.ID] != nil {
		out.Add(event.Refuse{Request: req.ID, Refusal: errs.Refuse(errs.CodeBadRequest, "request id %s is in use: leave the header out or choose another", req.ID)})
		return
	}
	r := &request{Request: req, ran: errs.RanNo, arrivedAt: c.now}
	refusal := c.admit(r)
	if refusal != nil {
		out.Add(event.Decision{Area: "admit", Request: r.ID, Choice: "refused", Reason: string(refusal.Code)})
		out.Add(event.Refuse{Request: r.ID, Refusal: refusal})
		return
	}
	c.requests[r.ID] = r
	c.retries.Request()
	c.advance(r, out)
}

func (c *Core) admit(r *request) *errs.Refusal {
	switch {
	case !c.acceptsRequests():
		return errs.Refuse(errs.CodeLeaving, "this entry VM is leaving: send the request to another").WithRetryAfter(clock.Second)
	case !c.configSynced:
		return errs.Refuse(errs.CodeNotReady, "this entry VM has no table yet: send the request again or to another entry VM").WithRetryAfter(clock.Second)
	case r.Service != "":
		return c.admitService(r)
	default:
		return c.admitAdapter(r)
	}
}

func (c *Core) admitAdapter(r *request) *errs.Refusal {
	row := c.Table.Row(r.Adapter.Adapter)
	if row == nil {
		return errs.Refuse(errs.CodeUnknownAdapter, "adapter %s is not in the table: check the name in model", r.Adapter.Adapter)
	}
	if !row.Allows(r.Caller) {
		return errs.Refuse(errs.CodeCallerNotAllowed, "caller %s may not reach adapter %s: ask an operator to add it to the callers column", r.Caller, row.Adapter)
	}
	if !row.Enabled {
		return errs.Refuse(errs.CodeDisabled, "adapter %s is disabled: ask an operator to set enabled to true", row.Adapter)
	}
	r.row = row
	r.adapter = r.Adapter
	if r.adapter.Version == "" {
		r.adapter.Version, _ = row.PickVersion(xxhash.Sum64String(string(r.ID)))
	}
	if !row.HasVersion(r.adapter.Version) {
		return errs.Refuse(errs.CodeUnknownVersion, "adapter %s has no version %q: use one of its versions column, or leave the version out", row.Adapter, r.adapter.Version)
	}
	r.Priority += row.Priority
	if r.Deadline == 0 {
		r.Deadline = c.now + row.Deadline
	}
	c.popularity.Record(c.now, r.adapter)
	return c.limit(r)
}
