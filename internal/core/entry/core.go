// Package entry is the core of one entry VM: it takes events, keeps all state
// and returns effects. It does no input or output and reads no clock.
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

// Config is what the core knows from its settings.
type Config struct {
	// Self is the own entry VM.
	Self        event.VM
	Incarnation units.Incarnation
	// VMs are those known from the settings. The platform's list is added.
	VMs []event.VM
	// ListsVMs tells that the platform has a list of VMs.
	ListsVMs bool
	// Policy weighs the decisions on routing, placement and loads.
	Policy place.Policy
	// Callers holds the limits of callers that have any.
	Callers map[units.Caller]admit.Limits
	// Services are the plain services by name.
	Services map[units.ServiceName]Service
}

// Service is what the settings say of a plain service.
type Service struct {
	// Deadline is the default time for a whole answer.
	Deadline clock.Millis
}

// Core is the state of one entry VM. Make it with New; all calls must come from
// one goroutine.
type Core struct {
	cfg     Config
	now     clock.Millis
	Table   table.Table
	Members member.View
	Domains member.Domains
	Owner   owner.Owner
	Router  route.Router
	Ledger  once.Ledger
	Poison  poison.Book
	// shares divides limits between the entry VMs of the failure domain.
	shares  admit.Shares
	limiter admit.Limiter
	// backlog is what was last announced of the loads that wait, at backlogAt.
	backlog   int
	backlogAt clock.Millis
	placing   placing
	// relay sends requests to other failure domains.
	relay relay.Relay
	// forwardedAt holds the last instant for each base model and service.
	forwardedAt map[string]clock.Millis
	// asked counts the requests that came to this entry VM.
	asked         place.Popularity
	askedPrunedAt clock.Millis
	// streamsDroppedAt is the last look for idle action streams.
	streamsDroppedAt clock.Millis
	// engines counts those of the own region by base model.
	engines map[units.ModelName]relay.Engines
	// retries bounds what is tried again after a failure.
	retries retry.Budget
	// requests holds all requests that have not ended.
	requests map[units.RequestID]*request
	// edits holds edits that an operator waits for.
	edits map[units.RecordID]*pendingEdit
	// outcomes holds outcomes of actions that the log has not confirmed.
	outcomes map[units.RecordID]*pendingOutcome
	// listed is the platform's last list.
	listed []event.VM
	vms    map[string]event.VM
	beatAt clock.Millis
	beats  beats
	feed   configFeed
	// services holds what plain services say of themselves.
	services serviceWatch
	// summaries counts the summaries sent to other failure domains.
	summaries    uint64
	summarizedAt clock.Millis
	started      bool
	// configSeen is set once the config stream was read to its end, or as far as
	// any peer has it while the log service can't be read.
	configSeen bool
	// joined is set once the others were told that the entry VM takes part in
	// ownership.
	joined    bool
	leaving   bool
	leavingAt clock.Millis
	// refusals counts refused requests by code.
	refusals map[errs.Code]int64
	left     bool
}

// New returns a core that has seen no event.
func New(cfg Config) *Core {
	c := &Core{cfg: cfg, requests: map[units.RequestID]*request{}, edits: map[units.RecordID]*pendingEdit{}, forwardedAt: map[string]clock.Millis{}, outcomes: map[units.RecordID]*pendingOutcome{}}
	c.Members.Self = cfg.Self
	c.Owner.Self = units.EntryVMID(cfg.Self.ID)
	c.Owner.Incarnation = cfg.Incarnation
	c.Owner.Objective = cfg.Policy.Objective
	c.Owner.Budget.Policy = cfg.Policy
	c.relay.BytesPerSecond = cfg.Policy.LinkBytesPerSecond
	c.Owner.Copies = c.Router.Copies
	c.Owner.Heir = c.Members.OwnerOf
	c.Router.Objective = cfg.Policy.Objective
	return c
}

// Ready reports whether the entry VM may be sent requests.
func (c *Core) Ready() bool { return c.configSeen && !c.leaving }

// Step handles one event at an instant, which must not fall between calls, and
// adds the effects to out.
func (c *Core) Step(now clock.Millis, ev event.Event, out *event.Effects) {
	c.now = max(c.now, now)
	if !c.started {
		c.start(out)
	}
	first := len(out.List)
	c.handle(ev, out)
	c.tellCrashes(out)
	c.loopBack(first, out)
	c.leaveIfDone(out)
	c.countRefusals(out.List[first:])
}

func (c *Core) start(out *event.Effects) {
	c.started = true
	c.Members.Join(c.now, c.cfg.ListsVMs)
	c.learnVMs(out)
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
		c.received(ev.From, ev.Message, out)
	case event.AppendDone:
		c.appendDone(ev, out)
	case event.RecordsRead:
		c.recordsRead(ev, out)
	case event.StreamGap:
		c.streamGap(ev, out)
	case event.StreamUnreachable:
		c.feed.unreachable = c.feed.unreachable || ev.Stream == event.ConfigStream
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
		c.listed = ev.VMs
		c.Members.Listed()
		c.learnVMs(out)
	case event.EditProposed:
		c.propose(ev.Edit, out)
	case event.QuarantineLifted:
		c.liftQuarantine(ev.Fingerprint, out)
	case event.LeaveRequested:
		c.leave(out)
	}
}

// loopBack handles messages to the own entry VM at once and fills in the
// addresses of the others.
func (c *Core) loopBack(first int, out *event.Effects) {
	kept := first
	for i := first; i < len(out.List); i++ {
		effect := out.List[i]
		if send, ok := effect.(event.SendPeer); ok {
			if send.To == c.Members.SelfID() {
				c.received(send.To, send.Message, out)
				continue
			}
			effect = c.addressed(send)
		}
		out.List[kept] = effect
		kept++
	}
	clear(out.List[kept:])
	out.List = out.List[:kept]
}

func (c *Core) addressed(send event.SendPeer) event.SendPeer {
	if p := c.Members.Peer(send.To); p != nil {
		send.Address = p.Address
	}
	return send
}

func (c *Core) received(from units.EntryVMID, m peer.Message, out *event.Effects) {
	switch m := m.(type) {
	case *peer.Heartbeat:
		c.heartbeat(from, m, out)
	case *peer.GrantAsk:
		c.Owner.Ask(c.now, from, m, out)
	case *peer.GrantReply:
		c.granted(from, m, out)
	case *peer.Handover:
		c.Owner.HandedOver(c.now, m)
	case *peer.GrantRelease:
		c.Owner.Release(c.now, from, m, out)
	case *peer.ConfigRecords:
		c.configPassed(from, m, out)
	case *peer.ConfigAsk:
		c.configAsked(from, m, out)
	case *peer.ConfigSnapshot:
		c.snapshotPassed(from, m, out)
	case *peer.DomainSummary:
		c.domainSummarized(m, out)
	case *peer.PoisonMark:
		c.marked(m, out)
	}
}

func (c *Core) tick(out *event.Effects) {
	if c.Members.Tick(c.now) {
		c.membersChanged(out)
	}
	c.Owner.Tick(c.now, out)
	c.pollServices(out)
	if c.now-c.beatAt >= member.HeartbeatPeriod {
		c.beatAt = c.now
		c.Poison.Tick(c.now)
		c.beat(out)
	}
	c.tickFeed(out)
	c.summarize(out)
	c.placeCopies(out)
	c.tickRequests(out)
	c.pruneAsked()
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
			c.retryActions(out)
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

// leaveNotice is how long a leaving entry VM still takes requests, so that a
// balancer sees that it is not ready before it refuses any.
const leaveNotice = 1500 * clock.Millis(1)

// takesStill reports whether requests are taken.
func (c *Core) takesStill() bool { return !c.leaving || c.now < c.leavingAt+leaveNotice }

func (c *Core) leave(out *event.Effects) {
	if c.leaving {
		return
	}
	c.leaving, c.leavingAt = true, c.now
	for _, pending := range c.outcomes {
		pending.giveUpAt = min(pending.giveUpAt, c.now+outcomeLeaveTerm)
	}
	c.Members.Leave(c.now)
	c.assignServers(out)
	c.beat(out)
	out.Add(event.Decision{Area: "member", Choice: c.cfg.Self.ID, Reason: "leaving"})
}

func (c *Core) leaveIfDone(out *event.Effects) {
	if !c.leaving || c.left || c.takesStill() || len(c.requests) > 0 || len(c.edits) > 0 || len(c.outcomes) > 0 {
		return
	}
	c.left = true
	out.Add(event.Left{})
}
