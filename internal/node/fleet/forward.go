package fleet

import (
	"context"
	"net/http"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"
	"mangostile/internal/node/conns"

	"github.com/pkg/errors"
)

// Bounds of forwarding.
const (
	// maxSends bounds the backend servers that one client attempt is meant for,
	// those included that did not run it.
	maxSends = 4
	// firstShare is the part of the time that is left that the first attempt of a
	// request gets that may be tried elsewhere.
	firstShare = 0.45
)

// serve has the request run and answers it.
func (c *exchange) serve() {
	n := c.node
	n.mu.Lock()
	n.core.Arrived(c.arrived, c.req.Service)
	n.mu.Unlock()
	left := (c.req.Deadline - n.clock.Now()).Duration()
	parent := c.r.Context()
	if c.route.Kind == topo.KindOnce {
		// A run can't be taken back when its caller leaves.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, left)
	defer cancel()
	for len(c.req.Tried) <= maxSends {
		c.req.Begun = c.began
		n.mu.Lock()
		choice := n.core.Choose(n.clock.Now(), &c.req)
		n.mu.Unlock()
		switch choice := choice.(type) {
		case choose.Send:
			if c.send(ctx, choice) {
				return
			}
		case choose.Wait:
			if !c.wait(ctx, choice) {
				return
			}
		case choose.Refuse:
			c.giveUp(choice.Reason, choice.After)
			return
		}
		if c.gone(ctx) {
			return
		}
	}
	c.giveUp("too many backend servers were tried", 0)
}

// wait waits for the adapter and reports whether the request goes on.
func (c *exchange) wait(ctx context.Context, choice choose.Wait) bool {
	n := c.node
	n.wanted()
	c.log("request_waits", "reason", choice.Reason, "adapter", c.req.Adapter, "until_ms", int64(choice.Until-n.clock.Now()))
	timer := time.NewTimer(max(time.Millisecond, (choice.Until - n.clock.Now()).Duration()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return !c.gone(ctx)
	case <-choice.Changed:
	case <-timer.C:
	}
	return true
}

// gone reports whether the caller has left or the time is over, and ends the
// request then.
func (c *exchange) gone(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	n := c.node
	n.mu.Lock()
	n.core.Abandoned(&c.req)
	n.mu.Unlock()
	if c.r.Context().Err() != nil {
		c.log("caller_left", "sends", c.req.Sends)
		panic(http.ErrAbortHandler)
	}
	c.giveUp("the time is over", 0)
	return true
}

// giveUp ends the request without an answer of a backend server, or with a
// failure of one that was held back.
func (c *exchange) giveUp(reason string, after clock.Millis) {
	c.node.meter.GivenUp(reason)
	switch {
	case c.began:
		c.log("stream_broken_off", "reason", reason, "last_event", c.lastEvent)
		panic(http.ErrAbortHandler)
	case c.held != nil:
		c.log("failure_passed_on", "status", c.held.status, "reason", reason)
		c.held.write(c)
	case c.ran == 0:
		c.refuse(reason, after)
	case c.node.clock.Now() >= c.req.Deadline:
		c.fail(http.StatusGatewayTimeout, reason)
	default:
		c.fail(http.StatusBadGateway, reason)
	}
}

// send makes one attempt and reports whether the request has ended.
func (c *exchange) send(ctx context.Context, to choose.Send) bool {
	n := c.node
	sentAt := n.clock.Now()
	ctx, cancel := c.attemptContext(ctx)
	defer cancel()
	a := attempt{exchange: c, to: to, ctx: ctx}
	end, over := a.run()
	n.mu.Lock()
	n.core.Ended(n.clock.Now(), &c.req, to.Server, a.answerCame, end)
	n.mu.Unlock()
	n.meter.AttemptEnded(end.String())
	if a.answerCame && c.req.Sends == 1 {
		n.meter.Waited((sentAt - c.arrived).Duration())
		n.meter.FirstEvent((a.firstAt - c.arrived).Duration())
	}
	c.log("attempt_ended", "adapter", c.req.Adapter, "server", to.Server, "ways", to.Ways, "active", to.Active, "prefill", to.Prefill, "tokens", to.Tokens, "cached", to.Cached, "expected_ms", int64(to.Cost), "waited_ms", int64(sentAt-c.arrived),
		"took_ms", int64(n.clock.Now()-sentAt), "first_ms", a.firstMS(sentAt), "end", end, "status", a.status, "why", a.why, "sends", c.req.Sends, "events", a.events)
	if over {
		return true
	}
	if end == choose.EndMissing || end == choose.EndUnsent {
		n.wanted()
	}
	if a.mayHaveRun {
		c.ran++
	}
	if c.ran > 0 && (!c.route.Repeatable() || c.ran >= c.route.MaxAttempts) {
		if !c.gone(ctx) {
			c.giveUp("the backend server failed", 0)
		}
		return true
	}
	return false
}

// attemptContext bounds the first attempt of a request that may be tried elsewhere.
func (c *exchange) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	left := c.req.Deadline - c.node.clock.Now()
	if c.route.Kind == topo.KindIdempotent && c.ran+1 < c.route.MaxAttempts {
		return context.WithTimeout(ctx, clock.Millis(firstShare*float64(left)).Duration())
	}
	return context.WithCancel(ctx)
}

// attempt is one send to a backend server.
type attempt struct {
	*exchange
	to  choose.Send
	ctx context.Context
	// answerCame is set once the answer or its first event came, at firstAt.
	answerCame bool
	firstAt    clock.Millis
	status     int
	events     int
	why        string
	// mayHaveRun is set unless it is sure that the backend server did not run it.
	mayHaveRun bool
}

// run makes the attempt. over tells that the caller has its answer.
func (a *attempt) run() (end choose.End, over bool) {
	conn, err := a.node.pool.Get(a.to.Address, false)
	for {
		if err != nil {
			a.why = err.Error()
			return choose.EndUnsent, false
		}
		reused := conn.Reused
		answer, doErr := a.node.pool.Do(a.ctx, conn, a.request())
		if doErr == nil {
			return a.answered(answer)
		}
		a.why = doErr.Error()
		var unsent *conns.NotSentError
		if !errors.As(doErr, &unsent) {
			a.mayHaveRun = true
			return a.endOf(doErr), false
		}
		if !reused || a.ctx.Err() != nil {
			return choose.EndUnsent, false
		}
		conn, err = a.node.pool.Get(a.to.Address, true)
	}
}

// firstMS is the time from the send to the first event or answer in milliseconds, -1
// if there was none.
func (a *attempt) firstMS(sentAt clock.Millis) int64 {
	if !a.answerCame {
		return -1
	}
	return int64(a.firstAt - sentAt)
}

// endOf returns what an error tells of the backend server.
func (a *attempt) endOf(err error) choose.End {
	var noAnswer *conns.NoAnswerError
	switch {
	case a.exchange.r.Context().Err() != nil:
		a.why = "the caller left"
		return choose.EndCanceled
	case errors.As(err, &noAnswer):
		return choose.EndFailed
	case a.ctx.Err() != nil:
		a.why = "the time for this attempt is over"
		return choose.EndFailed
	default:
		return choose.EndBroken
	}
}

// hopHeaders concern one connection.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"}

func withoutHopHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for _, name := range splitList(list) {
			out.Del(name)
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func (a *attempt) request() *conns.Request {
	header := withoutHopHeaders(a.r.Header)
	lastEvent := a.lastEvent
	if lastEvent == "" {
		lastEvent = a.head.LastEvent
	}
	a.node.system.WriteAttempt(header, AttemptHead{
		Server: a.to.Server, Within: max(1, a.req.Deadline-a.node.clock.Now()), Rank: a.route.Rank, Engine: a.req.Adapter != "", LastEvent: lastEvent,
	})
	return &conns.Request{Method: a.r.Method, Target: a.r.RequestURI, Host: a.r.Host, Header: header, Body: a.body, Fits: a.fits}
}

// fits reports whether an answer is that to the request.
func (a *attempt) fits(resp *http.Response) bool {
	id := a.node.system.ReadAnswer(resp.StatusCode, resp.Header).ID
	return id == a.head.ID || id == "" && resp.StatusCode >= http.StatusBadRequest
}

// answered takes the answer of a backend server.
func (a *attempt) answered(answer *conns.Exchange) (choose.End, bool) {
	defer answer.Done()
	a.status = answer.StatusCode
	said := a.node.system.ReadAnswer(answer.StatusCode, answer.Header)
	switch {
	case said.NotRun && answer.StatusCode == http.StatusMisdirectedRequest:
		a.why = "the backend server is another one or does not hold the adapter"
		a.drain(answer)
		if said.Server != "" && said.Server != a.to.Server {
			return choose.EndBroken, false
		}
		return choose.EndMissing, false
	case said.NotRun:
		a.why = "the backend server has no place"
		a.drain(answer)
		return choose.EndFull, false
	case answer.Header.Get("Content-Encoding") != "" || answer.StatusCode < http.StatusMultipleChoices && !said.Stamped:
		a.why = "the answer bears no signature or is encoded"
		a.mayHaveRun = true
		return choose.EndFailed, false
	case a.route.Kind == topo.KindStream && answer.StatusCode == http.StatusOK:
		a.mayHaveRun = true
		return a.relay(answer)
	}
	a.mayHaveRun = true
	return a.pass(answer)
}
