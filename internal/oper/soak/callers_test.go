package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"mangostile/internal/fake/grid"
)

// caller sends requests one at a time and reuses its connection while it is open.
type caller struct {
	d     *deployment
	index int
	r     *rand.Rand
	vm    *vm
	conn  net.Conn
	in    *bufio.Reader
	// sent counts the requests sent on conn.
	sent int
}

const (
	// disconnectOneIn is the number of requests of which one is closed early by its caller.
	disconnectOneIn = 12
	// maxPatience is the longest time until a caller closes early.
	maxPatience = 600 * time.Millisecond
	// arrivalTime is the time for bytes to reach an entry VM.
	arrivalTime = 20 * time.Millisecond
)

// behind is what callers send behind a request before they close early: nothing, or a part of
// another request, which nobody reads.
var behind = []string{"", "", "G", "GET /look/x HTTP/1.1\r\nHost: h.ex"}

// call sends requests as one caller until ctx is done.
func (d *deployment) call(ctx context.Context, index int) {
	c := &caller{d: d, index: index, r: rand.New(rand.NewPCG(d.plan.seed, uint64(index)))}
	defer c.close()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.send()
		time.Sleep(d.plan.period/2 + time.Duration(c.r.Int64N(int64(d.plan.period))))
	}
}

// connect opens a connection to an entry VM that reports ready.
func (c *caller) connect() bool {
	for range len(c.d.vms) {
		v := c.d.vms[c.r.IntN(len(c.d.vms))]
		if !v.ready() {
			continue
		}
		conn, err := net.DialTimeout("tcp4", v.front.Address(), time.Second)
		if err != nil {
			continue
		}
		c.vm, c.conn, c.in, c.sent = v, conn, bufio.NewReader(conn), 0
		return true
	}
	return false
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends one request and reads its answer. If that is a stream that breaks off, the caller may
// take it up.
func (c *caller) send() {
	q := c.newRequest()
	timeout := requestTimeout
	rest := ""
	if c.r.IntN(disconnectOneIn) == 0 {
		timeout = time.Duration(c.r.Int64N(int64(maxPatience)))
		// The time is set when the connection is closed.
		q.disconnectedAt = forever
		rest = behind[c.r.IntN(len(behind))]
		if c.r.IntN(2) == 0 {
			q.path = strings.TrimSuffix(q.path, "/x") + grid.LingerPath
		}
	}
	q.parts = c.prompt(q)
	c.attempt(q, timeout, rest)
	for next := c.takeUp(q); next != nil; next = c.takeUp(next) {
		c.attempt(next, requestTimeout, "")
	}
}

func (c *caller) newID() string {
	return fmt.Sprintf("s%d-c%d-%d", c.d.plan.seed, c.index, time.Now().UnixNano())
}

// newRequest draws a request.
func (c *caller) newRequest() *request {
	q := &request{id: c.newID(), vm: c.vm.index, reused: c.sent > 0}
	switch c.r.IntN(5) {
	case 0:
		q.path = "/once/x"
	case 1:
		q.path = "/look/x"
	default:
		q.path = "/stream/x"
		// Adapters with low numbers are requested more often.
		adapter := int(float64(c.d.plan.adapters) * c.r.Float64() * c.r.Float64())
		q.model = fmt.Sprint("m/a", adapter)
	}
	return q
}

// attempt sends q and reads its answer. If the caller disconnects early, it does so after timeout,
// behind the bytes rest.
func (c *caller) attempt(q *request, timeout time.Duration, rest string) {
	method := http.MethodPost
	if strings.HasPrefix(q.path, "/look/") {
		method = http.MethodGet
	}
	defer c.d.history.addRequest(q)
	defer func() {
		q.ended = time.Now()
		if !q.disconnectedAt.IsZero() {
			c.leave(rest)
			q.disconnectedAt = time.Now()
		}
	}()
	c.sent++
	q.sent = time.Now()
	// The deadline adds one second for transmission to the time that the entry VM has.
	_ = c.conn.SetDeadline(q.sent.Add(timeout + time.Second))
	if !q.disconnectedAt.IsZero() {
		_ = c.conn.SetDeadline(q.sent.Add(timeout))
	}
	_, q.err = io.WriteString(c.conn, grid.Request{Method: method, Path: q.path, ID: q.id, Timeout: requestTimeout, Model: q.model, Parts: q.parts, LastEvent: q.lastEvent, Resumes: q.resumes}.Head())
	if q.err == nil {
		c.read(q, method)
	}
	if q.err != nil && q.disconnectedAt.IsZero() {
		c.close()
	}
}

// leave closes the connection behind the bytes rest, which the entry VM gets while it serves the
// request.
func (c *caller) leave(rest string) {
	if c.conn != nil && rest != "" {
		_ = c.conn.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c.conn, rest)
		time.Sleep(arrivalTime)
	}
	c.close()
}

// prompt returns the parts of a stream's prompt, nil if the plan has no deadly part. All
// prompts share their first part.
func (c *caller) prompt(q *request) []string {
	p := c.d.plan.deadly
	if p == nil || !q.isStream() {
		return nil
	}
	second := fmt.Sprintf("50d%x", c.r.IntN(8))
	if c.r.Float64() < p.share && time.Since(c.d.startedAt) >= p.at {
		second, q.deadly = deadlyPartID, true
	}
	return []string{"5c1e07a2", second, fmt.Sprintf("%x", c.r.Uint32())}
}

func (c *caller) read(q *request, method string) {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		q.err = err
		return
	}
	q.status, q.stamp, q.leaving, q.headAt = resp.StatusCode, grid.Stamp(resp.Header), grid.Leaving(resp.Header), time.Now()
	body, err := io.ReadAll(resp.Body)
	q.body, q.err, q.complete = string(body), err, err == nil
	if resp.Close {
		c.close()
	}
}
