package fleet

import (
	"context"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
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
	// historyRead is true once the versions that the store has kept were read.
	historyRead bool
	// questions holds the questions to other entry VMs that wait for replies, by their number;
	// asked is the number of the last one.
	questions map[uint64]*question
	asked     uint64
}

// question asks other entry VMs which version began a stream. software and known are set once done
// is closed.
type question struct {
	// missing is the number of replies that are awaited.
	missing  int
	done     chan struct{}
	software topo.Software
	known    bool
}

func (o *origins) add(now clock.Millis, start origin.Start) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.starts.Add(now, start)
}

func (o *origins) find(now clock.Millis, key origin.Key) (topo.Software, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts.Find(now, key)
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
	if q.missing--; !m.Known && q.missing > 0 {
		return
	}
	q.software, q.known = m.Software, m.Known
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
	software, known := n.origins.find(n.clock.BootNow(), m.Key)
	n.links.Send(from, m.Address, &peer.OriginReply{Question: m.Question, Known: known, Software: software})
}

// resumeWindow returns the time after the begin of a stream in which its caller may take it up.
func (c *exchange) resumeWindow() clock.Millis { return max(c.route.Timeout, defaultTimeout) }

// streamKey returns the key of the stream that the request begins or goes on with.
func (c *exchange) streamKey() origin.Key {
	if c.head.Resumes != "" {
		return origin.KeyOf(c.head.Resumes)
	}
	return origin.KeyOf(c.head.ID)
}

// recordOrigin records which version began the stream, here and at other entry VMs, before its
// first event is passed on: the caller may take up the stream at any of them.
func (a *attempt) recordOrigin() {
	if a.to.Software == "" || !a.route.Repeatable() {
		return
	}
	n := a.node
	start := origin.Start{Key: a.streamKey(), Software: a.to.Software, Remaining: a.resumeWindow()}
	n.origins.add(n.clock.BootNow(), start)
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
	software, source := c.findOrigin(ctx)
	if c.endIfDone(ctx) {
		return false
	}
	if source == "" {
		c.giveUp(originUnknownReason, 0)
		return false
	}
	c.resumed, c.req.Software = true, software
	c.log("stream_taken_up", "resumes", c.head.Resumes, "last_event", c.head.LastEvent, "software", string(software), "source", source)
	return true
}

// maxListAge is the age of the list of backend servers up to which it shows all versions that may
// have begun a stream which is taken up now: one that has just come has to be read by another entry
// VM, load the adapter and break first.
const maxListAge = 1500 * clock.Millis(1)

// findOrigin returns the version that began the stream which the request goes on with, and how it
// is known; source is empty if it is not.
func (c *exchange) findOrigin(ctx context.Context) (software topo.Software, source string) {
	n := c.node
	since := c.req.Arrived - c.resumeWindow()
	var only, observed bool
	n.withCore(func(core *choose.Core) {
		software, only, observed = core.OnlySoftware(n.clock.Now(), c.req.Service, since)
	})
	current := n.serversFeed.isCurrent(n.clock.BootNow(), maxListAge)
	if only && observed && current {
		return software, "only_version"
	}
	inStep := current || n.KnownEntryVMs() == 0
	if c.head.Resumes != "" {
		key := c.streamKey()
		if began, known := n.origins.find(n.clock.BootNow(), key); known {
			return began, "own_record"
		}
		began, known, replied := n.askOrigin(ctx, key)
		if known {
			return began, "entry_vm"
		}
		inStep = inStep || replied
	}
	switch {
	case !only || !inStep:
		// With an old list, and cut off from other entry VMs, it can't know of new versions.
		return "", ""
	case observed:
		return software, "only_version"
	case !n.readHistory(ctx):
		return "", ""
	}
	// This entry VM started too late to rule out that the stream began at another version that has
	// left, and no entry VM knows of one, as after all of them were killed. The store does.
	n.withCore(func(core *choose.Core) {
		software, only, _ = core.OnlySoftware(n.clock.Now(), c.req.Service, since)
	})
	if !only {
		return "", ""
	}
	return software, "only_version_in_store"
}

// historyTimeout bounds the read of the versions that the store has kept.
const historyTimeout = 500 * time.Millisecond

// readHistory reads the versions of backend servers that the store has kept, unless that was done
// already, and reports whether they are known.
func (n *Node) readHistory(ctx context.Context) bool {
	o := &n.origins
	o.mu.Lock()
	known := o.historyRead
	o.mu.Unlock()
	if known {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	list, err := n.system.ReadSoftware(ctx)
	if err != nil {
		n.log.Warn("software_history_not_read", "error", err)
		return false
	}
	n.withCore(func(core *choose.Core) { core.AddSoftware(n.clock.Now(), list) })
	o.mu.Lock()
	o.historyRead = true
	o.mu.Unlock()
	return true
}

// askOrigin asks other entry VMs which version began a stream. replied reports whether all that were
// asked have replied, or one knows it.
func (n *Node) askOrigin(ctx context.Context, key origin.Key) (software topo.Software, known, replied bool) {
	sources := origin.Sources(n.peers.keepers(n.clock.Now()), key)
	if len(sources) == 0 {
		return "", false, false
	}
	q, number := n.origins.ask(len(sources))
	for _, m := range sources {
		n.links.Send(m.ID, m.Address, &peer.OriginRequest{Question: number, Key: key, Address: n.settings.PeerAddress})
	}
	timer := time.NewTimer(originTimeout)
	defer timer.Stop()
	defer n.origins.drop(number)
	select {
	case <-q.done:
		return q.software, q.known, true
	case <-ctx.Done():
	case <-timer.C:
	}
	return "", false, false
}
