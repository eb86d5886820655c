package edge

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"mangostile/internal/base/errs"
	"mangostile/internal/base/quota"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxResumes bounds how often one stream is resumed after its connection broke.
const maxResumes = 2

// maxEventBytes is the maximum length of one event of a stream.
const maxEventBytes = 1 << 20

// endMark is the data of a stream's last event.
var endMark = []byte("[DONE]")

// answerStream reads a streamed answer event by event and checks that all of it
// belongs to one request.
type answerStream struct {
	x *exchange
	d event.Dispatch
	// source is what r reads from.
	source io.ReadCloser
	r      *bufio.Reader
	// buf is the last event read, held its memory.
	buf  []byte
	held *quota.Hold
	// id is the answer's id as given in its first event.
	id string
	// tokens counts the events with data other than the end mark; each holds one token.
	tokens  int
	resumes int
	// bytes counts the bytes of all events read.
	bytes int
}

// streamEvent is the part of an event that is checked.
type streamEvent struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

func newAnswerStream(x *exchange, d event.Dispatch, source io.ReadCloser, held *quota.Hold) *answerStream {
	s := &answerStream{x: x, d: d, held: held}
	s.setSource(source)
	return s
}

// setSource sets the source of the following events.
func (s *answerStream) setSource(source io.ReadCloser) {
	s.source, s.r = source, bufio.NewReader(source)
}

func (s *answerStream) close() {
	_ = s.source.Close()
	s.buf = nil
	s.held.Release()
}

// Errors of a stream.
var (
	errForeignEvent = errors.New("an event belongs to another answer")
	errLongEvent    = errors.New("an event is too long")
)

// next reads one event into buf, including the empty line after it. It reports true for
// the end mark.
func (s *answerStream) next() (end bool, err error) {
	s.buf = s.buf[:0]
	for {
		line, err := s.r.ReadSlice('\n')
		size := len(s.buf) + len(line)
		if size > maxEventBytes {
			return false, errLongEvent
		}
		if size > cap(s.buf) {
			if err := s.held.Resize(units.Bytes(2 * size)); err != nil {
				return false, err
			}
			s.buf = append(make([]byte, 0, 2*size), s.buf...)
		}
		s.buf = append(s.buf, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return false, err
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && len(s.buf) > len(line) {
			break
		}
	}
	return s.checkEvent()
}

// checkEvent verifies that the event in buf belongs to the answer, and counts it. It reports true
// for the end mark.
func (s *answerStream) checkEvent() (end bool, err error) {
	s.bytes += len(s.buf)
	for line := range bytes.Lines(s.buf) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0 || line[0] == ':':
		case found && string(name) == "data":
			if end, err = s.checkData(bytes.TrimSpace(value)); end || err != nil {
				return end, err
			}
		case !found || !eventFields[string(name)]:
			return false, errForeignEvent
		}
	}
	return false, nil
}

// eventFields are the fields of an event besides data.
var eventFields = map[string]bool{"event": true, "id": true, "retry": true}

// checkData verifies the data of an event.
func (s *answerStream) checkData(data []byte) (end bool, err error) {
	if bytes.Equal(data, endMark) {
		return true, nil
	}
	var ev streamEvent
	if err := json.Unmarshal(data, &ev); err != nil {
		return false, errForeignEvent
	}
	if s.id == "" {
		s.id = ev.ID
	}
	if ev.ID != s.id || ev.Model != s.d.Adapter.String() {
		return false, errForeignEvent
	}
	s.tokens++
	return false, nil
}

// resultOf classifies an error of next.
func (s *answerStream) resultOf(err error) event.ResultKind {
	if s.x.isCanceled() {
		return event.ResultCanceled
	}
	if errors.Is(err, errForeignEvent) {
		return event.ResultFailed
	}
	if kind := resultOfError(err); kind != event.ResultNotSent {
		return kind
	}
	return event.ResultBroken
}

// stream forwards a streamed answer. It sends the caller nothing before the first event,
// so that until then the request can be retried on another backend server. It reports true
// if the answer has started, which is copied after the return, or the caller has
// disconnected. Otherwise it has reported the failed attempt to the core.
func (e *Edge) stream(ctx *fasthttp.RequestCtx, x *exchange, d event.Dispatch, answer *backendAnswer) bool {
	s := newAnswerStream(x, d, answer, e.options.Memory.Hold(quota.Owner(d.Address)))
	end, err := s.next()
	if err != nil {
		kind := s.resultOf(err)
		s.close()
		if kind == event.ResultCanceled {
			e.giveUp(x, d)
			return true
		}
		e.reportDone(d, event.DispatchResult{Kind: kind})
		return false
	}
	e.options.Meter.FirstToken(time.Since(x.arrivedAt))
	e.options.Submit(event.DispatchStarted{Request: d.Request, Attempt: d.Attempt})
	e.answerHeaders(ctx, x, d)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		kind := e.copyStream(w, s, end)
		s.close()
		e.endStream(w, s, kind)
	})
	return true
}

// copyStream copies events to the caller up to the stream's end mark and returns how the
// stream ended. The first event is in s.buf; end is true if it is the end mark.
func (e *Edge) copyStream(w *bufio.Writer, s *answerStream, end bool) event.ResultKind {
	var lastEventAt time.Time
	for {
		now := time.Now()
		if !lastEventAt.IsZero() {
			e.options.Meter.TokenGap(now.Sub(lastEventAt))
		}
		lastEventAt = now
		_ = s.x.conn.SetWriteDeadline(now.Add(e.options.WriteTimeout))
		_, _ = w.Write(s.buf)
		if w.Flush() != nil {
			return event.ResultCanceled
		}
		if end {
			return event.ResultServed
		}
		var err error
		end, err = s.next()
		for err != nil {
			kind := s.resultOf(err)
			if kind != event.ResultBroken || !e.resume(s) {
				return kind
			}
			end, err = s.next()
		}
	}
}

// resume resumes a broken stream at the engine that executes the request. It reports
// false if the stream came from another entry VM, was resumed maxResumes times or could
// not be resumed.
func (e *Edge) resume(s *answerStream) bool {
	if s.resumes >= maxResumes || s.d.Forward {
		return false
	}
	s.resumes++
	remaining := (s.d.Deadline - e.options.Clock.Now()).Duration()
	answer, err := e.backend.resume(s.x, s.d, s.tokens, remaining)
	if err != nil {
		return false
	}
	s.close()
	s.setSource(answer)
	e.options.Logger.Info("stream_resumed", "request", s.d.Request, "backend_server", s.d.Server, "events", s.tokens)
	return true
}

// endStream reports to the core how a stream ended. If it broke off, the caller gets an
// error event.
func (e *Edge) endStream(w *bufio.Writer, s *answerStream, kind event.ResultKind) {
	defer e.exchanges.remove(s.x.request.ID)
	e.countForwarded(s.d, s.bytes)
	e.reportDone(s.d, event.DispatchResult{Kind: kind, CallerGotBytes: true})
	switch kind {
	case event.ResultServed:
	case event.ResultCanceled:
		go e.backend.cancel(s.d)
	default:
		go e.backend.cancel(s.d)
		e.endBrokenStream(w, s.x)
	}
}

// refusalTimeout bounds the wait for the core's refusal after a stream broke off.
const refusalTimeout = time.Second

// endBrokenStream sends the caller an error event with the reason why the stream broke
// off.
func (e *Edge) endBrokenStream(w *bufio.Writer, x *exchange) {
	timer := time.NewTimer(refusalTimeout)
	defer timer.Stop()
	refusal := errs.RefuseUnknown(errs.CodeServerFailed, "the backend server broke off the answer: send the request again")
	select {
	case command := <-x.commands:
		if refuse, ok := command.(event.Refuse); ok {
			refusal = refuse.Refusal
		}
	case <-timer.C:
	}
	body, err := json.Marshal(refusalBody{Error: refusal, RequestID: x.request.ID})
	if err != nil {
		return
	}
	_, _ = w.WriteString("event: error\ndata: ")
	_, _ = w.Write(body)
	_, _ = w.WriteString("\n\n")
	_ = w.Flush()
}
