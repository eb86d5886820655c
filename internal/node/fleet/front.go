package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Bounds of callers' connections.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds what callers are told they may stay idle, so that they
	// close first.
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds a body where the configuration names no bound.
	defaultBodyBytes = 8 << 20
	// defaultWithin is the time for an answer where neither caller nor route name
	// one.
	defaultWithin = 30 * clock.Second
	// writeTimeout is the time for a caller to take a part of an answer.
	writeTimeout = 10 * time.Second
	// lateStop is the time after the request to stop from which on streams that may
	// not end before the process are refused, slowToken the time of one of their
	// tokens.
	lateStop  = 2900 * clock.Millis(1)
	slowToken = 15 * clock.Millis(1)
	// notReadyReturn is when callers come back to an entry VM that starts or stops.
	notReadyReturn = 300 * clock.Millis(1)
)

// callerConn notes that it was closed, so that a request read from it in the same
// moment is not passed on.
type callerConn struct {
	net.Conn
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

type callerConnKey struct{}

func (n *Node) frontServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(n.handle),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, callerConnKey{}, c)
		},
	}
}

// handle answers one request of a caller.
func (n *Node) handle(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	c := &exchange{node: n, w: w, r: r, arrived: n.clock.Now()}
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if conn, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok && conn.closed.Load() {
		panic(http.ErrAbortHandler)
	}
	if c.admit() {
		c.serve()
	}
}

// exchange is one request of a caller and its answer.
type exchange struct {
	node    *Node
	w       http.ResponseWriter
	r       *http.Request
	arrived clock.Millis
	head    RequestHead
	req     choose.Request
	route   *topo.Route
	version int64
	body    []byte
	// began is set once a part of the answer was written; lastEvent is the id of
	// the last event that was.
	began     bool
	lastEvent string
	// ran counts backend servers that may have run the request.
	ran int
	// held is a failure of a backend server that is passed on if nothing better
	// comes.
	held *heldAnswer
}

// admit reads the request and reports whether it can be served; if not, it has
// been answered.
func (c *exchange) admit() bool {
	n := c.node
	cfg := n.config.Load()
	if cfg == nil || !n.ready.Load() {
		c.refuse("no configuration is known yet", notReadyReturn)
		return false
	}
	c.version = cfg.Version
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = cfg.Match(c.r.Host, path)
	if c.route == nil {
		c.fail(http.StatusNotFound, "no route for this host and path")
		return false
	}
	head, err := n.system.ReadRequest(c.r.Header)
	if err != nil {
		c.fail(http.StatusBadRequest, err.Error())
		return false
	}
	c.head = head
	if !c.endsInTime() {
		c.refuse("the entry VM is stopping", notReadyReturn)
		return false
	}
	return c.readBody(cfg.Limits) && c.describe()
}

// endsInTime reports whether a request that begins now is likely to end before a
// process that was asked to stop.
func (c *exchange) endsInTime() bool {
	n := c.node
	if !n.stopping.Load() {
		return true
	}
	since := n.clock.Now() - clock.Millis(n.stoppedAt.Load())
	left := n.settings.Grace - clock.FromDuration(stopReserve) - since
	if c.route.Kind == topo.KindStream {
		return since < lateStop || clock.Millis(c.head.MaxTokens)*slowToken+c.route.Target < left
	}
	return left > c.route.Target
}

func (c *exchange) readBody(limits topo.Limits) bool {
	limit := limits.BodyBytes
	if limit == 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		c.fail(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
		return false
	}
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return true
	}
	var tooLarge *http.MaxBytesError
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	switch {
	case errors.As(err, &tooLarge):
		c.fail(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
		return false
	case err != nil:
		c.log("request_unread", "error", err)
		panic(http.ErrAbortHandler)
	}
	c.body = body
	return true
}

// describe fills in what the choice needs to know.
func (c *exchange) describe() bool {
	within := c.head.Within
	if within == 0 {
		within = defaultWithin
	}
	if c.route.Timeout > 0 {
		within = min(within, c.route.Timeout)
	}
	c.req = choose.Request{
		ID: c.head.ID, Route: c.route, Service: c.route.Service(hashID(c.head.ID)), Adapter: c.head.Adapter,
		PromptTokens: c.head.PromptTokens, MaxTokens: c.head.MaxTokens, Parts: c.head.Parts,
		Arrived: c.arrived, Deadline: c.arrived + within,
	}
	return true
}

// hashID spreads requests over the services of a split route.
func hashID(id units.RequestID) uint64 { return xxhash.Sum64String(string(id)) }

// refuse answers that the request has not run and will not.
func (c *exchange) refuse(reason string, after clock.Millis) {
	left := c.req.Deadline - c.node.clock.Now()
	if c.req.Deadline > 0 {
		after = min(after, max(0, left/3))
	}
	if after > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(float64(after)/float64(clock.Second), 'f', 3, 64))
	}
	c.log("request_refused", "reason", reason, "return_ms", int64(after))
	c.answer(http.StatusServiceUnavailable, reason)
}

// fail answers that the request can't be served; nothing is promised about a run.
func (c *exchange) fail(status int, reason string) {
	c.log("request_failed", "status", status, "reason", reason)
	c.answer(status, reason)
}

func (c *exchange) answer(status int, text string) {
	c.began = true
	c.node.meter.Answered(status)
	h := c.w.Header()
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	c.w.WriteHeader(status)
	if _, err := io.WriteString(c.w, text+"\n"); err != nil {
		c.log("answer_not_taken", "error", err)
	}
}

// log writes a line with the request's id and how old the request is.
func (c *exchange) log(line string, pairs ...any) {
	id := c.head.ID
	if id == "" {
		id = units.RequestID(c.r.RemoteAddr)
	}
	all := make([]any, 0, 8+len(pairs))
	all = append(all, "request", id, "age_ms", int64(c.node.clock.Now()-c.arrived))
	if c.route != nil {
		all = append(all, "route", c.route.Name, "config", c.version)
	}
	c.node.log.Info(line, append(all, pairs...)...)
}
