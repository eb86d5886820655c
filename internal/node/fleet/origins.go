package fleet

import (
	"cmp"
	"context"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

// originTimeout bounds the wait for replies of entry VMs that may know which version began a
// stream. Those that run reply within the time between two regions and back.
const originTimeout = 250 * time.Millisecond

// originUnknownReason is the reason of refusing to go on with a stream.
const originUnknownReason = "it is not known which software version began the stream: send the request without the last event's id"

// origins is what a Node knows of the versions that began streams. The zero value is ready to use.
type origins struct {
	mu     sync.Mutex
	starts origin.Starts
	routes origin.Routes
	// reading makes requests that need the history in the store share one read.
	reading singleflight.Group
	// history is the result of the last read, nil before the first one.
	history *history
	// questions holds the questions to other entry VMs that wait for replies, by their number;
	// asked is the number of the last one.
	questions map[uint64]*question
	asked     uint64
}

// history is what the store had of the time that an entry VM has not seen. It is immutable.
type history struct {
	// until is the begin of the time in which the entry VM has seen all versions, configUntil that in
	// which it has seen all configurations.
	until, configUntil clock.Millis
	// whole is true if it has all versions and services of that time.
	whole bool
}

// question asks other entry VMs which version began a stream. The fields below done are set once it
// is closed.
type question struct {
	// missing is the number of replies that are awaited. partial is true once one came from an
	// entry VM that may have missed the start.
	missing int
	partial bool
	done    chan struct{}

	began topo.ServiceSoftware
	known bool
}

func (o *origins) add(now clock.Millis, start origin.Start) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts.Add(now, start)
}

func (o *origins) find(now clock.Millis, key origin.Key) (topo.ServiceSoftware, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts.Find(now, key)
}

// overflowed reports whether a start was dropped before its time that would still be kept now.
func (o *origins) overflowed(now clock.Millis) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts.Overflowed(now)
}

// applyConfigs records the configurations of an update.
func (o *origins) applyConfigs(now clock.Millis, update *FeedUpdate) {
	if update.Config == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, cfg := range update.Replaced {
		o.routes.Set(now, cfg, update.Gap)
	}
	o.routes.Set(now, update.Config, update.Gap)
}

// ask returns a new question to some entry VMs and its number.
func (o *origins) ask(replies int) (*question, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.questions == nil {
		o.questions = map[uint64]*question{}
	}
	q := &question{missing: replies, done: make(chan struct{})}
	o.asked++
	o.questions[o.asked] = q
	return q, o.asked
}

// answered handles a reply. The first one that knows the stream ends the question, as does the
// last one.
func (o *origins) answered(m *peer.OriginReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	q := o.questions[m.Question]
	if q == nil {
		return
	}
	q.partial = q.partial || !m.Covers
	if q.missing--; !m.Known && q.missing > 0 {
		return
	}
	q.began, q.known = topo.ServiceSoftware{Service: m.Service, Software: m.Software}, m.Known
	delete(o.questions, m.Question)
	close(q.done)
}

// drop makes a question ignore further replies.
func (o *origins) drop(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.questions, number)
}

// answerOrigin replies to a question of another entry VM.
func (n *Node) answerOrigin(from units.EntryVMID, m *peer.OriginRequest) {
	began, known := n.origins.find(n.clock.BootNow(), m.Key)
	n.links.Send(from, m.Address, &peer.OriginReply{Question: m.Question, Known: known, Covers: n.coversStarts(m.Window), Service: began.Service, Software: began.Software})
}

// coversStarts reports whether this entry VM has kept all starts that it was told in the last window.
func (n *Node) coversStarts(window clock.Millis) bool {
	return window > 0 && n.clock.BootNow() >= n.noteRunning()+window && !n.origins.overflowed(n.clock.BootNow())
}

// resumeWindow returns the time after the begin of a stream in which its caller may take it up.
func (c *exchange) resumeWindow() clock.Millis { return max(c.route.Timeout, defaultTimeout) }

// streamID returns the id of the attempt that began the stream which the request goes on with, or its own id.
func (c *exchange) streamID() units.RequestID {
	if c.head.LastEvent != "" && c.head.Resumes != "" {
		return c.head.Resumes
	}
	return c.head.ID
}

// streamKey returns the key of the stream that the request begins or goes on with.
func (c *exchange) streamKey() origin.Key { return origin.KeyOf(c.streamID()) }

// recordOrigin records which version began the stream, here and at other entry VMs, before its
// first event is passed on: the caller may take up the stream at any of them.
func (a *attempt) recordOrigin() {
	if a.to.Software == "" || !a.route.Repeatable() {
		return
	}
	n := a.node
	start := origin.Start{Key: a.streamKey(), Software: a.to.Software, Service: a.req.Service, Remaining: a.resumeWindow()}
	n.origins.add(n.clock.BootNow(), start)
	n.starts.add(n.clock.BootNow(), origin.RouteKeyOf(a.route), start)
	self := origin.Member{ID: n.settings.ID, Domain: n.settings.Domain, Region: n.settings.Region}
	for _, keeper := range origin.Keepers(self, n.peers.keepers(n.clock.Now()), start.Key) {
		n.links.Send(keeper.ID, keeper.Address, &peer.StreamStart{Start: start})
	}
}

// bindToOrigin binds a request that goes on with a stream to the version that began it, and
// reports whether that is possible. If not, it has ended the request.
func (c *exchange) bindToOrigin(ctx context.Context) bool {
	if c.head.LastEvent == "" || c.route.Kind != topo.KindStream {
		return true
	}
	began, source := c.findOrigin(ctx)
	if c.endIfDone(ctx) {
		return false
	}
	if source == "" {
		c.giveUp(originUnknownReason, 0)
		return false
	}
	c.resumed, c.req.Software = true, began.Software
	c.bindToService(began)
	c.log("stream_taken_up", "resumes", c.head.Resumes, "last_event", c.head.LastEvent, "service", c.req.Service, "software", string(began.Software), "source", source)
	return true
}

// bindToService binds the request to the service that began its stream. If that is not known, the route has left
// it or the version has, the request is bound to another service of the route that has the version: the one
// that the id of the stream selects, if possible.
func (c *exchange) bindToService(began topo.ServiceSoftware) {
	n := c.node
	services := []units.ServiceName{began.Service, c.req.Service}
	for _, share := range c.route.Shares {
		services = append(services, share.Service)
	}
	bound := c.req.Service
	n.withCore(func(core *choose.Core) {
		for _, service := range services {
			if c.route.Uses(service) && core.Runs(service, began.Software) {
				bound = service
				return
			}
		}
	})
	if bound != c.req.Service {
		c.req.Service = bound
		c.identify(n.config.Load())
	}
}

// findOrigin returns the version that began the stream which the request goes on with, and how it
// is known; source is empty if it is not.
//
// Records of the stream come first: a list shows a new version only some time after other entry VMs
// may use it. With none, all versions that were listed for the services of the route since the stream may
// have begun must be the same, and none may have been missed: all other entry VMs have replied that they don't
// know the stream, or the lists were read since. Reads of the store come last, since they cost more.
func (c *exchange) findOrigin(ctx context.Context) (began topo.ServiceSoftware, source string) {
	n := c.node
	now := n.clock.BootNow()
	began, source, unknownToAll := c.findRecord(ctx)
	if source != "" {
		return began, source
	}
	since, route := c.req.Arrived-c.resumeWindow(), origin.RouteKeyOf(c.route)
	seen := n.seen()
	software, only := seen.onlyVersion(route, since)
	current := unknownToAll
	if only && !current {
		current = n.confirmFeeds(ctx, now)
		seen = n.seen()
		software, only = seen.onlyVersion(route, since)
	}
	if only && current && seen.observed(since) {
		return topo.ServiceSoftware{Software: software}, "only_version"
	}
	if c.head.Resumes != "" && ctx.Err() == nil {
		if began, known := n.findKeptStart(ctx, c.streamKey()); known {
			return began, "store"
		}
	}
	if !only || !current || seen.observed(since) {
		return topo.ServiceSoftware{}, ""
	}
	// This entry VM started too late, or missed too much, to rule out that the stream began at
	// another version that has left, and no record of it is left, as after all entry VMs were killed.
	// The store knows all versions of that time.
	past, err := n.readHistory(ctx)
	if err != nil {
		return topo.ServiceSoftware{}, ""
	}
	seen = n.seen()
	software, only = seen.onlyVersion(route, since)
	if !only || !past.whole {
		return topo.ServiceSoftware{}, ""
	}
	return topo.ServiceSoftware{Software: software}, "only_version_in_store"
}

// findRecord is findOrigin by the records of this entry VM and of others that run. unknownToAll reports whether
// all that could have one have replied that they don't.
func (c *exchange) findRecord(ctx context.Context) (began topo.ServiceSoftware, source string, unknownToAll bool) {
	n := c.node
	if c.head.Resumes == "" {
		return began, "", n.isAlone()
	}
	if began, known := n.origins.find(n.clock.BootNow(), c.streamKey()); known {
		return began, "own_record", false
	}
	began, known, unknownToAll := n.askOrigin(ctx, c.streamKey(), c.resumeWindow())
	if known {
		return began, "entry_vm", false
	}
	return began, "", unknownToAll || n.isAlone()
}

// historyTimeout bounds the reads of what the store has of the time before an entry VM started.
const historyTimeout = 500 * time.Millisecond

// readHistory reads what the store has of the time that this entry VM has not seen, unless that was done since
// it may have missed something.
func (n *Node) readHistory(ctx context.Context) (*history, error) {
	done := n.origins.reading.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), historyTimeout)
		defer cancel()
		var past *history
		err := errPanic
		n.guard("read of the history", func() { past, err = n.readKeptHistory(ctx) })
		return past, err
	})
	select {
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	case r := <-done:
		past, _ := r.Val.(*history)
		return past, r.Err
	}
}

// readKeptHistory reads what the store has of the time before this entry VM has seen the lists: the ledger and,
// without a whole one, the records that it has kept. It returns the last history if that is still of the same
// time.
func (n *Node) readKeptHistory(ctx context.Context) (*history, error) {
	o := &n.origins
	past := &history{}
	seen := n.seen()
	past.until, past.configUntil = seen.softwareSince, seen.routesSince
	o.mu.Lock()
	last := o.history
	o.mu.Unlock()
	if last != nil && past.until > 0 && last.until == past.until && last.configUntil == past.configUntil {
		return last, nil
	}
	got, err := n.readLedger(ctx)
	if err != nil {
		n.log.Warn("software_history_not_read", "error", err)
		return nil, err
	}
	var ledger origin.Ledger
	ledger.Load(got.Entries)
	software, services := ledger.Versions(), ledger.RouteServices()
	recorded := len(got.Entries)
	if past.whole = ledger.Whole(); !past.whole {
		// A new deployment: the store may still have all records.
		var kept origin.Routes
		list, listWhole, err := n.system.ReadKeptSoftware(ctx)
		configs, configsWhole, configErr := n.system.ReadKeptConfigs(ctx)
		if err = cmp.Or(err, configErr); err != nil {
			n.log.Warn("software_history_not_read", "error", err)
			return nil, errors.WithStack(err)
		}
		for _, cfg := range configs {
			kept.Set(n.clock.Now(), cfg, false)
		}
		software, services = append(software, list...), append(services, kept.Used(0)...)
		past.whole = listWhole && configsWhole
	}
	now := n.clock.Now()
	n.withCore(func(core *choose.Core) { core.AddSoftware(now, software) })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routes.Add(now, services)
	o.history = past
	n.log.Info("software_history_read", "whole", past.whole, "versions", len(software), "services", len(services), "recorded", recorded)
	return past, nil
}

// longestResumeWindow returns the longest time after the begin of a stream in which its caller may take it up.
func longestResumeWindow(cfg *topo.Config) clock.Millis {
	longest := defaultTimeout
	for i := range cfg.Routes {
		longest = max(longest, cfg.Routes[i].Timeout)
	}
	return min(longest, origin.MaxLifetime)
}

// askOrigin asks other entry VMs which version began a stream. unknownToAll reports whether all that
// could know it have replied that they don't, and have missed no start in the last window.
func (n *Node) askOrigin(ctx context.Context, key origin.Key, window clock.Millis) (began topo.ServiceSoftware, known, unknownToAll bool) {
	sources := origin.Sources(n.peers.keepers(n.clock.Now()), key)
	if len(sources) == 0 {
		return began, false, false
	}
	q, number := n.origins.ask(len(sources))
	for _, m := range sources {
		n.links.Send(m.ID, m.Address, &peer.OriginRequest{Question: number, Key: key, Window: window, Address: n.settings.PeerAddress})
	}
	timer := time.NewTimer(originTimeout)
	defer timer.Stop()
	defer n.origins.drop(number)
	select {
	case <-q.done:
		return q.began, q.known, !q.known && !q.partial
	case <-ctx.Done():
	case <-timer.C:
	}
	return began, false, false
}
