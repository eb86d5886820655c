package fleet

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"
	"mangostile/internal/node/conns"

	"github.com/pkg/errors"
)

func splitList(list string) []string {
	parts := strings.Split(list, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// maxBufferedBytes bounds an answer that is read in full before it is forwarded.
const maxBufferedBytes = 8 << 20

// bufferedAnswer is an answer of a backend server that was read in full.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	// held is the memory of body.
	held *quota.Hold
}

func (h *bufferedAnswer) write(c *exchange) {
	c.started = true
	copyHeader(c.w.Header(), h.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	c.writeHead(h.status)
	if _, err := c.w.Write(h.body); err != nil {
		c.log("answer_not_taken", "error", err)
	}
}

// copyHeader copies the headers of an answer and keeps the HTTP server from adding
// Content-Type and Date if the backend server did not send them.
func copyHeader(to, from http.Header) {
	for name, values := range withoutHopHeaders(from) {
		to[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := from[name]; !ok {
			to[name] = nil
		}
	}
}

// drain reads the rest of a short answer so that the connection can be reused.
func (a *attempt) drain(answer *conns.Exchange) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, drainBytes)); err != nil {
		a.reason += ": " + err.Error()
	}
}

const drainBytes = 64 << 10

// forwardBuffered reads an answer in full and forwards it. A failure is not forwarded
// but kept as the fallback if another backend server may still succeed.
func (a *attempt) forwardBuffered(answer *conns.Exchange) (choose.End, bool) {
	buffered := &bufferedAnswer{status: answer.StatusCode, header: answer.Header, held: a.holdAnswer()}
	defer func() {
		if a.fallback != buffered {
			buffered.held.Release()
		}
	}()
	var err error
	buffered.body, err = buffered.held.ReadAll(answer, units.Bytes(answer.ContentLength), maxBufferedBytes)
	if isFull(err) {
		a.reason = err.Error()
		return choose.EndFailed, false
	}
	if err != nil {
		a.reason = "the answer was cut short or is too long: " + err.Error()
		return a.classifyError(&conns.BrokenError{Err: errors.New(a.reason)}), false
	}
	a.noteFirst()
	if answer.StatusCode >= http.StatusInternalServerError {
		a.reason = "the backend server answered with a failure"
		if a.started {
			return choose.EndFailed, false
		}
		if a.fallback != nil {
			a.fallback.held.Release()
		}
		a.fallback = buffered
		if a.route.Kind == topo.KindOnce || !a.route.Repeatable() {
			buffered.write(a.exchange)
			return choose.EndFailed, true
		}
		return choose.EndFailed, false
	}
	if a.started {
		a.reason = "the backend server did not go on with the stream"
		return choose.EndFailed, false
	}
	if answer.StatusCode < http.StatusMultipleChoices {
		a.began()
	}
	buffered.write(a.exchange)
	return choose.EndServed, true
}

// noteFirst records the arrival of the first event, or of a buffered answer.
func (a *attempt) noteFirst() {
	if a.hasAnswer {
		return
	}
	a.hasAnswer, a.firstAt = true, a.node.clock.Now()
	a.endBeginLimit()
	a.node.withCore(func(core *choose.Core) {
		core.Answered(a.firstAt, &a.req, a.to.Server, a.status < http.StatusInternalServerError)
		core.Started(&a.req, a.to.Server)
	})
}

// forwardStream forwards the events of a stream as they arrive.
func (a *attempt) forwardStream(answer *conns.Exchange) (choose.End, bool) {
	control := http.NewResponseController(a.w)
	events := eventBuffer{held: a.holdAnswer()}
	defer events.held.Release()
	buf := make([]byte, 4096)
	for {
		n, err := answer.Read(buf)
		if full := events.add(buf[:n]); full != nil {
			a.events, a.reason = events.count, full.Error()
			return choose.EndFailed, false
		}
		before := events.count
		out, foreign := events.take(a.exchange)
		if events.count > before {
			a.gaps.received(a.node.clock.Now(), events.count-before)
		}
		if len(out) > 0 && !a.writeEvents(control, answer, out) {
			a.reason = "the caller does not read"
			return choose.EndCanceled, a.abandon()
		}
		if foreign != nil {
			a.events, a.reason = events.count, foreign.Error()
			return choose.EndFailed, false
		}
		if err == nil {
			continue
		}
		// The rest of a resumed stream may be empty, but not if only the connection ends it.
		framed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
		if errors.Is(err, io.EOF) && !events.partial() && (a.started && framed || events.count > 0) {
			a.events = events.count
			return choose.EndServed, true
		}
		a.events = events.count
		a.reason = "the stream broke: " + err.Error()
		return a.classifyError(&conns.BrokenError{Err: err}), false
	}
}

// abandon logs that the caller has disconnected; it always reports true.
func (a *attempt) abandon() bool {
	a.log("caller_left", "sends", a.req.Sends, "after_ms", int64(a.conn.silence()))
	return true
}

func (a *attempt) writeEvents(control *http.ResponseController, answer *conns.Exchange, out []byte) bool {
	if !a.begun && hasData(out) {
		a.began()
	}
	a.noteFirst()
	if !a.started {
		a.started = true
		a.req.Software = a.to.Software
		a.recordOrigin()
		copyHeader(a.w.Header(), answer.Header)
		a.writeHead(answer.StatusCode)
	}
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	if _, err := a.w.Write(out); err != nil {
		return false
	}
	return control.Flush() == nil
}
