package fleet

import (
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"
	"mangostile/internal/node/conns"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// reasonQuarantined is the reason of refusing a request with a key in quarantine.
const reasonQuarantined = "backend servers crashed on a part of this request"

// maxSuspectBreaks is the number of backend servers that may break the connection before the
// answer to one request begins while it has keys in doubt. It is not sent again then, since it
// may be what makes them crash.
const maxSuspectBreaks = 2

// quarantine is what a Node knows of requests that crash backend servers. The zero value is
// ready to use.
type quarantine struct {
	// stored keeps the verdicts in the store, known is true once it has read them.
	stored *quarantineStore
	known  atomic.Bool

	// mu guards the fields below.
	mu       sync.Mutex
	registry blame.Registry
	// unanswered holds the attempts in flight whose answer has not begun.
	unanswered map[*attempt]bool
	// pending is what waits to be told to other entry VMs.
	pending blame.News
	// synced is true once another entry VM has sent its state.
	synced bool
}

// maxQuarantineWait is how long an entry VM that has started waits for the verdicts in the store
// before it is ready without them.
const maxQuarantineWait = clock.Second

// knowsQuarantines reports whether the entry VM need not wait for the verdicts in the store.
func (n *Node) knowsQuarantines() bool {
	return n.quarantine.known.Load() || n.clock.Now() >= n.startedAt+maxQuarantineWait
}

// identify sets the keys of the request. Plain services don't look at the parts of a prompt: what
// they answer says nothing about parts that a caller names.
func (c *exchange) identify(cfg *topo.Config) {
	var parts []choose.Part
	if service := cfg.Services[c.req.Service]; service != nil && service.Engine != nil && c.head.Adapter != "" {
		parts = c.head.Parts
	}
	c.content, c.subject = c.contentKey(parts), blame.Request{}
	for i := 0; i+1 < len(parts) && i < blame.MaxParts; i++ {
		c.subject.Parts = append(c.subject.Parts, blame.Key(parts[i].ID))
	}
	c.subject.Content = c.content
}

// contentKey returns the key of the whole request: requests with the same key are the same for a
// backend server.
func (c *exchange) contentKey(parts []choose.Part) blame.Key {
	h := xxhash.New()
	for _, text := range []string{c.r.Method, c.r.Host, c.r.RequestURI, string(c.head.Adapter)} {
		_, _ = h.WriteString(text + "\n")
	}
	for _, part := range parts {
		_, _ = h.WriteString(blame.Key(part.ID).String())
	}
	_, _ = h.Write(c.body)
	return blame.Key(h.Sum64())
}

// quarantined reports whether a key of the request is in quarantine.
func (c *exchange) quarantined() bool {
	q := &c.node.quarantine
	q.mu.Lock()
	key, ok := q.registry.Quarantined(c.node.clock.BootNow(), c.subject)
	q.mu.Unlock()
	if ok {
		c.log("request_quarantined", "key", key)
	}
	return ok
}

// endIfQuarantined ends the request if it is quarantined, and reports whether it did.
func (c *exchange) endIfQuarantined() bool {
	if !c.quarantined() {
		return false
	}
	c.node.withCore(func(core *choose.Core) { core.Abandoned(&c.req) })
	c.giveUp(reasonQuarantined, 0)
	return true
}

// watch registers an attempt until stop is called, so that it is canceled if a key of its
// request is put into quarantine before its answer begins.
func (q *quarantine) watch(a *attempt) (stop func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.unanswered == nil {
		q.unanswered = map[*attempt]bool{}
	}
	q.unanswered[a] = true
	a.again = q.registry.CountsAgainst(a.subject)
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.unanswered, a)
	}
}

// began records that the backend server's answer began. It says nothing about the parts if the
// caller named a last event: the rest of an answer may be empty.
func (a *attempt) began() {
	a.begun = true
	n := a.node
	q := &n.quarantine
	var news blame.News
	q.mu.Lock()
	delete(q.unanswered, a)
	if a.head.LastEvent == "" {
		news = q.registry.Began(n.clock.BootNow(), a.subject)
	}
	q.mu.Unlock()
	n.publishOwn(news)
}

// noteBreak notes that the connection broke at an instant, by the clock that counts suspended
// time. If the answer had not begun and the request has keys in doubt, it checks whether the
// backend server has crashed, without waiting for the result.
func (a *attempt) noteBreak(at clock.Millis) {
	n := a.node
	notCounted := func(reason string) {
		a.log("break_not_counted", "server", a.to.Server, "content", a.content, "reason", reason)
	}
	server := n.listed(a.to.Server)
	switch {
	case a.begun:
		notCounted("the answer had begun")
		return
	case server == nil || server.Draining:
		notCounted("the backend server leaves")
		return
	}
	q := &n.quarantine
	q.mu.Lock()
	suspects := q.registry.Suspects(at, a.subject)
	suspects.Again = a.again && suspects.Content != 0
	q.mu.Unlock()
	if suspects.Empty() {
		notCounted("no key is in doubt")
		return
	}
	a.suspectBreaks++
	go n.guard("check for a crash", func() {
		if !n.crashed(server) {
			notCounted("the backend server accepts connections")
			return
		}
		a.addCrash(server, at, suspects)
	})
}

// crashed reports whether a backend server to which a connection broke refuses connections, or
// closes them at once.
func (n *Node) crashed(server *topo.Server) bool {
	conn, err := n.pool.Get(n.graceOver, server.Address, true)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}
	return n.closesAtOnce(conn, server)
}

// addCrash adds a crash of a backend server during an attempt to the evidence.
func (a *attempt) addCrash(server *topo.Server, at clock.Millis, suspects blame.Request) {
	n := a.node
	a.log("server_crashed", "server", server.ID, "parts", suspects.Parts, "content", suspects.Content)
	q := &n.quarantine
	now := n.clock.BootNow()
	q.mu.Lock()
	news := q.registry.Crashed(now, blame.Crash{Server: server.ID, StartedAt: server.StartedAt, Age: now - at, Requests: []blame.Request{suspects}})
	q.mu.Unlock()
	n.publishOwn(news)
}

// closeCheckTime is how long a proxy may take to find that its backend server refuses
// connections.
const closeCheckTime = 250 * time.Millisecond

// closesAtOnce reports whether the other end closes a new connection to a backend server within
// closeCheckTime, as a proxy does whose backend server refuses connections, and none is left that
// was opened before: a backend server with too many connections resets new ones alone.
func (n *Node) closesAtOnce(conn *conns.Conn, server *topo.Server) bool {
	_ = conn.SetReadDeadline(time.Now().Add(closeCheckTime))
	_, err := conn.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) && conn.SetReadDeadline(time.Time{}) == nil {
		n.pool.Return(conn)
		return false
	}
	_ = conn.Close()
	var active int32
	n.withCore(func(core *choose.Core) { active = core.Active(server.ID) })
	return err != nil && active == 0 && !n.pool.HasUsable(server.Address)
}

// listed returns the list entry of a backend server, or nil.
func (n *Node) listed(id units.BackendServerID) *topo.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.servers.Get(id)
}

// ApplyVerdicts applies verdicts that were read from the store.
func (n *Node) ApplyVerdicts(list []blame.Verdict) {
	n.merge(&blame.News{Verdicts: list}, fromStore)
}

// fromStore stands for the store where news name the entry VM that they are from.
const fromStore units.EntryVMID = "store"

// Verdicts returns the verdicts that hold now.
func (n *Node) Verdicts() []blame.Verdict {
	n.quarantine.mu.Lock()
	defer n.quarantine.mu.Unlock()
	return n.quarantine.registry.Verdicts(n.clock.BootNow())
}

// merge applies news from another entry VM and tells the others what was not known here.
func (n *Node) merge(told *blame.News, from units.EntryVMID) {
	q := &n.quarantine
	q.mu.Lock()
	news := q.registry.Merge(n.clock.BootNow(), told)
	q.mu.Unlock()
	for _, v := range news.Verdicts {
		wasTold := func(t blame.Verdict) bool { return t.Key == v.Key && t.Version == v.Version }
		if slices.ContainsFunc(told.Verdicts, wasTold) {
			n.logVerdict(v, from)
		} else {
			n.decided(v)
		}
	}
	n.publish(news, from)
}

// decided saves a verdict that was given here.
func (n *Node) decided(v blame.Verdict) {
	n.logVerdict(v, "")
	n.quarantine.stored.save(v)
}

func (n *Node) logVerdict(v blame.Verdict, from units.EntryVMID) {
	n.log.Info("verdict", "key", v.Key, "quarantined", v.Quarantined, "reason", v.Reason, "version", v.Version, "remaining_ms", int64(v.Remaining), "server", v.Server, "from", from)
}

// publishOwn publishes what this entry VM has seen itself, and saves the verdicts that follow.
func (n *Node) publishOwn(news blame.News) {
	for _, v := range news.Verdicts {
		n.decided(v)
	}
	n.publish(news, "")
}

// publish carries out the verdicts in news and tells other entry VMs.
func (n *Node) publish(news blame.News, from units.EntryVMID) {
	if news.Empty() {
		return
	}
	if len(news.Verdicts) > 0 {
		n.cancelQuarantined()
	}
	n.gossip(news, from)
}

// cancelQuarantined cancels the attempts in flight of requests in quarantine: their backend
// servers may not have begun to answer yet.
func (n *Node) cancelQuarantined() {
	q := &n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	now := n.clock.BootNow()
	for a := range q.unanswered {
		if _, ok := q.registry.Quarantined(now, a.subject); ok {
			a.cancel(errQuarantined)
		}
	}
}

// errQuarantined is the cause of an attempt that was canceled by a quarantine.
var errQuarantined = errors.New(reasonQuarantined)
