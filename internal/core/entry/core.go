// Package entry is the core of one entry VM. It handles events, holds all state and
// returns effects. It does no input or output and reads no clock.
package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/admit"
	"mangostile/internal/core/event"
	"mangostile/internal/core/member"
	"mangostile/internal/core/once"
	"mangostile/internal/core/owner"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/place"
	"mangostile/internal/core/poison"
	"mangostile/internal/core/relay"
	"mangostile/internal/core/retry"
	"mangostile/internal/core/route"
	"mangostile/internal/core/table"
)

// Config holds the settings of the core.
type Config struct {
	// Self describes this entry VM.
	Self        event.VM
	Incarnation units.Incarnation
	// VMs are the VMs named in the settings. Those in the platform's list are added.
	VMs []event.VM
	// HasVMList reports whether the platform publishes a list of VMs.
	HasVMList bool
	// Policy sets the objective and the limits of routing, placement and loads.
	Policy place.Policy
	// Callers holds the limits of callers. A caller without an entry has no limits.
	Callers map[units.Caller]admit.Limits
	// Services maps the names of the plain services to their settings.
	Services map[units.ServiceName]Service
}

// Service holds the settings of a plain service.
type Service struct {
	// Deadline is the default time for a complete response, in ms. 0 means
	// defaultServiceDeadline.
	Deadline clock.Millis
}

// Core is the state of one entry VM. Create it with New. All calls must come from one
// goroutine.
type Core struct {
	cfg     Config
	now     clock.Millis
	Table   table.Table
	Members member.View
	Domains member.Domains
	Owner   owner.Owner
	Router  route.Router
	Ledger  once.Ledger
	Poison  poison.Registry
	// shares divides limits among the entry VMs of the failure domain.
	shares  admit.Shares
	limiter admit.Limiter
	// backlog is the number of waiting loads last announced, at backlogAt.
	backlog   int
	backlogAt clock.Millis
	placement placement
	// relay selects the entry VMs of other failure domains that requests are forwarded
	// to.
	relay relay.Relay
	// forwardedAt holds the time of the last forwarded request for each base model and
	// service.
	forwardedAt map[string]clock.Millis
	// popularity tracks how often this entry VM receives requests for each adapter.
	popularity         place.Popularity
	popularityPrunedAt clock.Millis
	// streamsDroppedAt is the time of the last check for idle action streams.
	streamsDroppedAt clock.Millis
	// engines counts the model engines of this region by base model and failure domain.
	engines map[units.ModelName]relay.Engines
	// retries limits the retries after failures.
	retries retry.Budget
	// requests holds the open requests.
	requests map[units.RequestID]*request
	// edits holds the edits whose outcome an operator is waiting for.
	edits map[units.RecordID]*pendingEdit
	// outcomes holds the outcomes of actions that the log service has not confirmed.
	outcomes map[units.RecordID]*pendingOutcome
	// listedVMs is the last list received from the platform.
	listedVMs []event.VM
	// vms holds the VMs of the settings and of listedVMs by ID.
	vms map[string]event.VM
	// heartbeatAt is when heartbeats were last sent by a tick.
	heartbeatAt clock.Millis
	heartbeats  heartbeatState
	feed        configFeed
	// services holds the reported state of the plain services' instances.
	services serviceWatch
	// summariesSent counts the rounds of summaries sent to other failure domains, the last
	// of them at summarizedAt.
	summariesSent uint64
	summarizedAt  clock.Millis
	started       bool
	// configSynced is true once the config stream was read to its end or, while the log
	// service is unreachable, as far as any peer has read it.
	configSynced bool
	// joined is true once the peers were notified that this entry VM takes part in
	// ownership.
	joined bool
	// leaving is true once LeaveRequested was received, at leavingAt.
	leaving   bool
	leavingAt clock.Millis
	// refusals counts refused requests by code.
	refusals map[errs.Code]int64
	// hasLeft is true once LeaveDone was returned.
	hasLeft bool
}

// New returns a core that has handled no event yet.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, requests: map[units.RequestID]*request{}, edits: map[units.RecordID]*pendingEdit{}, forwardedAt: map[string]clock.Millis{}, outcomes: map[units.RecordID]*pendingOutcome{}}
	c.Members.Self = cfg.Self
	c.Owner.Self = units.EntryVMID(cfg.Self.ID)
	c.Owner.Incarnation = cfg.Incarnation
	c.Owner.Objective = cfg.Policy.Objective
	c.Owner.Budget.Policy = cfg.Policy
	c.relay.BytesPerSecond = cfg.Policy.LinkBytesPerSecond
	c.Owner.Copies = c.Router.Copies
	c.Owner.NextOwner = c.Members.OwnerOf
	c.Router.Objective = cfg.Policy.Objective
	return c
}

// Ready reports whether this entry VM may be sent requests.
func (c *Core) Ready() bool { return c.configSynced && !c.leaving }

// Step handles one event at time now, in ms, and appends the resulting effects to out. A
// time earlier than that of a previous call counts as the latest one. The first call also
// starts the core.
func (c *Core) Step(now clock.Millis, ev event.Event, out *event.Effects) {
	c.now = max(c.now, now)
	if !c.started {
		c.start(out)
	}
	// The effects of start are left out below: it sends no messages and refuses nothing.
	first := len(out.List)
	c.handle(ev, out)
	// reportCrashes precedes loopBack, which fills in the addresses of its messages.
	c.reportCrashes(out)
	c.loopBack(first, out)
	c.leaveIfDone(out)
	c.countRefusals(out.List[first:])
}

// start adds the first effects. They must include no messages and no refusals, since Step
// doesn't fill in the addresses of such messages and doesn't count such refusals.
func (c *Core) start(out *event.Effects) {
	c.started = true
	c.Members.Join(c.now, c.cfg.HasVMList)
	c.mergeVMs(out)
	c.feed.startedAt = c.now
	c.tailConfig(out)
}

func (c *Core) handle(ev event.Event, out *event.Effects) {
	switch ev := ev.(type) {
	case event.Tick:
		c.tick(out)
	case event.RequestArrived:
		c.arrive(ev.Request, out)
	case event.RequestCanceled:
		c.cancel(ev.Request, out)
	case event.DispatchStarted:
	case event.DispatchDone:
		c.dispatchDone(ev, out)
	case event.PeerReceived:
		c.handleMessage(ev.From, ev.Message, out)
	case event.AppendDone:
		c.appendDone(ev, out)
	case event.RecordsRead:
		c.recordsRead(ev, out)
	case event.StreamGap:
		c.streamGap(ev, out)
	case event.StreamUnreachable:
		c.feed.logUnreachable = c.feed.logUnreachable || ev.Stream == event.ConfigStream
	case event.OrderDone:
		c.Owner.OrderDone(c.now, ev, out)
	case event.ReportReceived:
		if c.isService(ev.Server) {
			c.serviceReported(ev.Server, ev.Report.Leaving, false, out)
			return
		}
		c.Owner.Reported(c.now, ev, out)
	case event.ReportFailed:
		if c.isService(ev.Server) {
			c.serviceReported(ev.Server, false, ev.Refused, out)
			return
		}
		c.Owner.ReportFailed(ev, out)
	case event.VMsListed:
		c.listedVMs = ev.VMs
		c.Members.ListReceived()
		c.mergeVMs(out)
	case event.EditProposed:
		c.propose(ev.Edit, out)
	case event.QuarantineLifted:
		c.liftQuarantine(ev.Fingerprint, out)
	case event.LeaveRequested:
		c.leave(out)
	}
}

// loopBack handles messages to this entry VM immediately and fills in the addresses of
// messages to others.
func (c *Core) loopBack(first int, out *event.Effects) {
	kept := first
	for i := first; i < len(out.List); i++ {
		effect := out.List[i]
		if send, ok := effect.(event.SendPeer); ok {
			if send.To == c.Members.SelfID() {
				c.handleMessage(send.To, send.Message, out)
				continue
			}
			effect = c.withAddress(send)
		}
		out.List[kept] = effect
		kept++
	}
	clear(out.List[kept:])
	out.List = out.List[:kept]
}

func (c *Core) withAddress(send event.SendPeer) event.SendPeer {
	if p := c.Members.Peer(send.To); p != nil {
		send.Address = p.Address
	}
	return send
}

func (c *Core) handleMessage(from units.EntryVMID, m peer.Message, out *event.Effects) {
	switch m := m.(type) {
	case *peer.Heartbeat:
		c.heartbeatReceived(from, m, out)
	case *peer.GrantRequest:
		c.Owner.RequestGrant(c.now, from, m, out)
	case *peer.GrantReply:
		c.grantReplyReceived(from, m, out)
	case *peer.Handover:
		c.Owner.ReceiveHandover(c.now, m)
	case *peer.GrantRelease:
		c.Owner.Release(c.now, from, m, out)
	case *peer.ConfigRecords:
		c.configReceived(from, m, out)
	case *peer.ConfigRequest:
		c.configRequested(from, m, out)
	case *peer.ConfigSnapshot:
		c.snapshotReceived(from, m, out)
	case *peer.DomainSummary:
		c.summaryReceived(m, out)
	case *peer.PoisonMark:
		c.applyMark(m, out)
	}
}

func (c *Core) tick(out *event.Effects) {
	if c.Members.Tick(c.now) {
		c.membersChanged(out)
	}
	c.Owner.Tick(c.now, out)
	c.pollServices(out)
	if c.now-c.heartbeatAt >= member.HeartbeatPeriod {
		c.heartbeatAt = c.now
		c.Poison.Tick(c.now)
		c.sendHeartbeats(out)
	}
	c.tickFeed(out)
	c.sendSummaries(out)
	c.placeCopies(out)
	c.tickRequests(out)
	c.prunePopularity()
	c.dropIdleStreams(out)
	c.tickEdits(out)
	c.tickOutcomes(out)
}

func (c *Core) recordsRead(ev event.RecordsRead, out *event.Effects) {
	switch ev.Stream {
	case event.ConfigStream:
		c.configRead(ev, out)
	case event.SnapshotStream:
		c.snapshotRead(ev, out)
	case event.PoisonStream:
		c.marksRead(ev, out)
	case c.Owner.LeaseStream():
		c.Owner.LeasesRead(c.now, ev, out)
	default:
		if c.Ledger.Fold(ev, out) {
			c.decideActions(out)
		}
	}
}

func (c *Core) streamGap(ev event.StreamGap, out *event.Effects) {
	switch ev.Stream {
	case event.ConfigStream:
		c.configGap(ev, out)
	case c.Owner.LeaseStream():
		c.Owner.LeasesExpired(c.now, ev, out)
	default:
		c.Ledger.Skip(ev)
	}
}

// leaveNotice is how long a leaving entry VM still accepts requests, so that a load
// balancer sees it as not ready before it refuses any.
const leaveNotice = 1500 * clock.Millis(1)

// acceptsRequests reports whether new requests are accepted.
func (c *Core) acceptsRequests() bool { return !c.leaving || c.now < c.leavingAt+leaveNotice }

func (c *Core) leave(out *event.Effects) {
	if c.leaving {
		return
	}
	c.leaving, c.leavingAt = true, c.now
	for _, pending := range c.outcomes {
		pending.giveUpAt = min(pending.giveUpAt, c.now+outcomeLeaveTimeout)
	}
	c.Members.Leave(c.now)
	c.assignServers(out)
	c.sendHeartbeats(out)
	out.Add(event.Decision{Area: "member", Choice: c.cfg.Self.ID, Reason: "leaving"})
}

func (c *Core) leaveIfDone(out *event.Effects) {
	if !c.leaving || c.hasLeft || c.acceptsRequests() || len(c.requests) > 0 || len(c.edits) > 0 || len(c.outcomes) > 0 {
		return
	}
	c.hasLeft = true
	out.Add(event.LeaveDone{})
}
