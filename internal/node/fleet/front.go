package fleet

import (
	"cmp"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/credit"
	"mangostile/internal/core/topo"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Limits of callers' connections.
const (
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds the idle time that callers are allowed, so that callers
	// close the connection first.
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultBodyBytes bounds a body if the configuration has no limit.
	defaultBodyBytes = 8 << 20
	// defaultTimeout is the time for an answer if neither the caller nor the route
	// sets one.
	defaultTimeout = 30 * clock.Second
	// writeTimeout is the time for a caller to read a part of an answer.
	writeTimeout = 10 * time.Second
	// notReadyRetryAfter is the retry delay given to callers of an entry VM that is
	// starting or stopping.
	notReadyRetryAfter = 300 * clock.Millis(1)
)

// handle serves one request of a caller.
func (n *Node) handle(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	defer n.guardRequest()
	c := &exchange{node: n, w: w, r: r}
	c.conn, _ = r.Context().Value(callerConnKey{}).(*callerConn)
	c.arrived = n.clock.Now() - c.conn.waited()
	if c.conn != nil && c.conn.closed.Load() {
		panic(http.ErrAbortHandler)
	}
	c.held = n.memory.Hold(callersAccount)
	defer c.release()
	defer c.returnCredit()
	if c.admit() {
		if c.conn != nil {
			c.conn.endRequest()
		}
		c.serve()
	}
}

// release gives back the memory of the request's body and of a failure that was kept.
func (c *exchange) release() {
	c.held.Release()
	if c.fallback != nil {
		c.fallback.held.Release()
	}
}

// exchange is one request of a caller and its answer.
type exchange struct {
	node *Node
	w    http.ResponseWriter
	r    *http.Request
	// conn is nil if the request did not come through a callerListener.
	conn *callerConn
	// arrived is when the request reached this machine, as far as the kernel tells; it may have
	// waited to be read.
	arrived clock.Millis
	head    RequestHead
	req     choose.Request
	// content is the key of the whole request, subject the keys by which it is quarantined.
	content       blame.Key
	subject       blame.Request
	route         *topo.Route
	configVersion int64
	// customer is whose request it is; nil if the configuration has no customers or the route is open.
	customer *topo.Customer
	// claim is the claim on the customer's quota. ran is true once a backend server may have executed
	// the request.
	claim credit.Claim
	ran   bool
	body  []byte
	// held is the memory of body.
	held *quota.Hold
	// bodyRead is true once the body was read whole.
	bodyRead bool
	// started is true once a part of the answer was written to the caller; lastEvent
	// is the id of the last event written.
	started   bool
	lastEvent string
	// resumed is true if the caller goes on with a stream whose version is known.
	resumed bool
	// executions counts backend servers that may have executed the request, suspectBreaks
	// those that broke the connection before its answer began.
	executions    int
	suspectBreaks int
	// refusedAt lists the addresses at which the request was refused. It is sent there again only
	// on a new connection: on a kept one, the refusal written once more would name it too.
	refusedAt []string
	// fallback is the failure answer of a backend server, forwarded if no later
	// attempt succeeds.
	fallback *bufferedAnswer
}

// admit reads the request and reports whether it can be served. If not, admit has
// answered the caller. If the body can't be read, it panics with http.ErrAbortHandler.
func (c *exchange) admit() bool {
	n := c.node
	cfg := n.config.Load()
	if cfg == nil || !n.ready.Load() {
		c.refuse("no configuration is known yet", notReadyRetryAfter)
		return false
	}
	c.configVersion = cfg.Version
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = cfg.Match(c.r.Host, path)
	if c.route == nil {
		c.fail(http.StatusNotFound, "no route for this host and path")
		return false
	}
	if !c.identifyCustomer(cfg) {
		return false
	}
	head, err := n.system.ReadRequest(c.r.Header)
	if err != nil {
		c.fail(http.StatusBadRequest, err.Error())
		return false
	}
	c.head = head
	return !c.endIfDelayed() && c.readBody(cfg.Limits) && c.fillRequest(cfg) && c.claimCredit()
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
	if c.r.ContentLength > 0 && !c.held.Fits(units.Bytes(c.r.ContentLength)) {
		c.refuse(noMemoryReason, noMemoryRetryAfter)
		return false
	}
	endLimit := c.limitBody()
	body, err := c.held.ReadAll(c.r.Body, units.Bytes(c.r.ContentLength), units.Bytes(limit))
	switch {
	case isFull(err):
		c.refuse(noMemoryReason, noMemoryRetryAfter)
		return false
	case errors.Is(err, quota.ErrTooLong):
		c.fail(http.StatusRequestEntityTooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		c.refuse("the body did not arrive in the time of the request", 0)
		return false
	case err != nil:
		c.log("request_unread", "error", err)
		panic(http.ErrAbortHandler)
	}
	endLimit()
	c.body, c.bodyRead = body, true
	return true
}

// callerLeft reports whether the caller has disconnected. It asks the connection itself: the
// HTTP server cancels the request's context only some time after the caller's close.
func (c *exchange) callerLeft() bool {
	return c.r.Context().Err() != nil || c.conn != nil && c.conn.left()
}

// fillRequest fills in the request that the choice of a backend server is based on. It
// always reports true.
func (c *exchange) fillRequest(cfg *topo.Config) bool {
	c.req = choose.Request{
		ID: c.head.ID, Route: c.route, Service: c.route.Service(hashID(c.streamID())), Rank: c.route.Rank, Adapter: c.head.Adapter,
		PromptTokens: c.head.PromptTokens, MaxTokens: c.head.MaxTokens, Parts: c.head.Parts,
		Arrived: c.arrived, Deadline: c.arrived + c.timeLimit(),
	}
	if c.customer != nil {
		c.req.Customer = c.customer.Name
		if c.customer.HasRank {
			c.req.Rank = c.customer.Rank
		}
	}
	c.identify(cfg)
	return true
}

// timeLimit returns the time for the answer, from the arrival of the request.
func (c *exchange) timeLimit() clock.Millis {
	timeout := cmp.Or(c.head.Timeout, defaultTimeout)
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	return timeout
}

// hashID hashes an id, to distribute requests over the services of a split route.
func hashID(id units.RequestID) uint64 { return xxhash.Sum64String(string(id)) }

// refuse answers that the request was not executed and won't be. The caller is sent
// retryAfter, but at most a third of the remaining time if the deadline is known; it is
// omitted if it is 0.
func (c *exchange) refuse(reason string, retryAfter clock.Millis) {
	c.refuseAs(http.StatusServiceUnavailable, reason, retryAfter)
}

// refuseAs is refuse with a status, which must be one that promises that the request did not run.
func (c *exchange) refuseAs(status int, reason string, retryAfter clock.Millis) {
	remaining := c.req.Deadline - c.node.clock.Now()
	if c.req.Deadline > 0 {
		retryAfter = min(retryAfter, max(0, remaining/3))
	}
	if retryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.FormatFloat(float64(retryAfter)/float64(clock.Second), 'f', 3, 64))
	}
	c.log("request_refused", "reason", reason, "return_ms", int64(retryAfter))
	c.answer(status, reason)
}

// fail answers that the request can't be served. It may have been executed.
func (c *exchange) fail(status int, reason string) {
	c.log("request_failed", "status", status, "reason", reason)
	c.answer(status, reason)
}

func (c *exchange) answer(status int, text string) {
	c.started = true
	c.leaveBody()
	h := c.w.Header()
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(text)+1))
	c.writeHead(status)
	if _, err := io.WriteString(c.w, text+"\n"); err != nil {
		c.log("answer_not_taken", "error", err)
	}
}

// writeHead writes the head of the answer. A stopping entry VM announces the end of the
// connection.
func (c *exchange) writeHead(status int) {
	c.node.meter.Answered(status)
	if c.node.isStopping() {
		c.w.Header().Set("Connection", "close")
	}
	c.w.WriteHeader(status)
}

// log writes a log line with the request's id and its age in ms.
func (c *exchange) log(line string, pairs ...any) {
	id := c.head.ID
	if id == "" {
		id = units.RequestID(c.r.RemoteAddr)
	}
	all := make([]any, 0, 8+len(pairs))
	all = append(all, "request", id, "age_ms", int64(c.node.clock.Now()-c.arrived))
	if c.route != nil {
		all = append(all, "route", c.route.Name, "config", c.configVersion)
	}
	if c.customer != nil {
		all = append(all, "customer", c.customer.Name)
	}
	c.node.log.Info(line, append(all, pairs...)...)
}
