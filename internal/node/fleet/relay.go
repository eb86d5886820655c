package fleet

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

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

// maxHeldBytes bounds an answer that is read whole before it is passed on.
const maxHeldBytes = 8 << 20

// heldAnswer is an answer of a backend server that was read whole.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (h *heldAnswer) write(c *exchange) {
	c.began = true
	copyHeader(c.w.Header(), h.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	c.node.meter.Answered(h.status)
	c.w.WriteHeader(h.status)
	if _, err := c.w.Write(h.body); err != nil {
		c.log("answer_not_taken", "error", err)
	}
}

// copyHeader sets the headers of an answer and keeps the server from adding some
// that the backend server did not send.
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

// drain reads the rest of a short answer so that the connection can be kept.
func (a *attempt) drain(answer *conns.Exchange) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, drainBytes)); err != nil {
		a.why += ": " + err.Error()
	}
}

const drainBytes = 64 << 10

// pass reads an answer whole and passes it on, or holds a failure back that may be
// followed by a success elsewhere.
func (a *attempt) pass(answer *conns.Exchange) (choose.End, bool) {
	body, err := io.ReadAll(io.LimitReader(answer, maxHeldBytes+1))
	if err != nil || len(body) > maxHeldBytes {
		a.why = "the answer was cut short or is too long"
		if err != nil {
			a.why += ": " + err.Error()
		}
		return a.endOf(&conns.BrokenError{Err: errors.New(a.why)}), false
	}
	a.noteFirst()
	held := &heldAnswer{status: answer.StatusCode, header: answer.Header, body: body}
	if answer.StatusCode >= http.StatusInternalServerError {
		a.why = "the backend server answered with a failure"
		if a.began {
			return choose.EndFailed, false
		}
		a.held = held
		if a.route.Kind == topo.KindOnce || !a.route.Repeatable() {
			held.write(a.exchange)
			return choose.EndFailed, true
		}
		return choose.EndFailed, false
	}
	if a.began {
		a.why = "the backend server did not go on with the stream"
		return choose.EndFailed, false
	}
	held.write(a.exchange)
	return choose.EndServed, true
}

// noteFirst notes the first event, or the answer as a whole.
func (a *attempt) noteFirst() {
	if a.answerCame {
		return
	}
	a.answerCame, a.firstAt = true, a.node.clock.Now()
	a.node.mu.Lock()
	a.node.core.Began(&a.req, a.to.Server)
	a.node.mu.Unlock()
}

// relay passes the events of a stream on as they come.
func (a *attempt) relay(answer *conns.Exchange) (choose.End, bool) {
	control := http.NewResponseController(a.w)
	var events eventBuffer
	buf := make([]byte, 4096)
	for {
		n, err := answer.Read(buf)
		events.add(buf[:n])
		if out := events.take(a.exchange); len(out) > 0 {
			if !a.pushEvents(control, answer, out) {
				a.why = "the caller does not read"
				return choose.EndCanceled, a.abandon()
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !events.partial() && (a.began || events.count > 0) {
			a.events = events.count
			return choose.EndServed, true
		}
		a.events = events.count
		a.why = "the stream broke: " + err.Error()
		return a.endOf(&conns.BrokenError{Err: err}), false
	}
}

// abandon ends a request whose caller has gone.
func (a *attempt) abandon() bool {
	a.log("caller_left", "last_event", a.lastEvent)
	return true
}

func (a *attempt) pushEvents(control *http.ResponseController, answer *conns.Exchange, out []byte) bool {
	a.noteFirst()
	if !a.began {
		a.began = true
		copyHeader(a.w.Header(), answer.Header)
		a.node.meter.Answered(answer.StatusCode)
		a.w.WriteHeader(answer.StatusCode)
	}
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	if _, err := a.w.Write(out); err != nil {
		return false
	}
	return control.Flush() == nil
}

// eventBuffer cuts a stream of bytes into whole events.
type eventBuffer struct {
	data  []byte
	count int
}

func (b *eventBuffer) add(data []byte) { b.data = append(b.data, data...) }

// partial reports whether a part of an event is left.
func (b *eventBuffer) partial() bool { return len(bytes.TrimSpace(b.data)) > 0 }

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// take returns the whole events so far, without those that the caller has, and
// notes the id of the last one.
func (b *eventBuffer) take(c *exchange) []byte {
	var out []byte
	for {
		end := bytes.Index(b.data, eventEnd)
		if end < 0 {
			return out
		}
		event := b.data[:end+len(eventEnd)]
		b.data = b.data[end+len(eventEnd):]
		b.count++
		id := eventID(event)
		if id != "" && c.lastEvent != "" && !later(id, c.lastEvent) {
			continue
		}
		if id != "" {
			c.lastEvent = id
		}
		out = append(out, event...)
	}
}

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// later reports whether an event id comes after another one.
func later(id, other string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(other, 10, 64)
	if errA != nil || errB != nil {
		return id != other
	}
	return a > b
}
