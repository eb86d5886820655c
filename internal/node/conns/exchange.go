package conns

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"mangostile/internal/plat/call"

	"github.com/pkg/errors"
)

// BrokenError is returned if an exchange broke after a byte of the request was sent, so
// that the request may have been executed.
type BrokenError struct {
	// BeforeHead is true if the exchange broke before the head of an answer was read.
	BeforeHead bool
	Err        error
}

// Error implements error.
func (e *BrokenError) Error() string { return "broken exchange: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// InvalidAnswerError is returned if the bytes received are not an answer to the request.
type InvalidAnswerError struct{ Reason string }

// Error implements error.
func (e *InvalidAnswerError) Error() string {
	return "no answer to the request: " + e.Reason + ": look at the backend server"
}

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path with its query, exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Close asks the backend server to close the connection after its answer.
	Close bool
	// Matches reports whether an answer belongs to this request. Answers that do not
	// are skipped. Nil accepts every answer.
	Matches func(*http.Response) bool
}

// head returns the encoded head of r. r.Header must not hold hop-by-hop headers, nor Host or
// Content-Length, which head writes itself. GET, HEAD and DELETE requests without a body need no
// Content-Length.
func (r *Request) head() *bytes.Buffer {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), smallBody))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(value)
			b.WriteString("\r\n")
		}
	}
	if r.Close {
		b.WriteString("Connection: close\r\n")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return &b
}

// Exchange is a request that was sent and whose answer has started.
type Exchange struct {
	*http.Response
	conn *Conn
	pool *Pool
	// written receives the result of writing the request, once. sent is true if it was read and is no
	// error.
	written chan error
	sent    bool
	// stop removes the function that closes conn when the request's context ends. It
	// reports false if that function has been started or removed before.
	stop func() bool
	// hasBody is true once a part of the body was read, complete once all of it was.
	hasBody  bool
	complete bool
}

// OnKeptConnection reports whether the connection was used before, so that an answer which names
// no request may be that of an earlier one.
func (e *Exchange) OnKeptConnection() bool { return e.conn.Reused }

// maxAnswers bounds the answers read for one request, including skipped ones to other
// requests and interim (1xx) answers.
const maxAnswers = 3

// Do sends a request on c and reads the head of the answer. c is abandoned if ctx ends
// before Exchange.Done. The error is a NotSentError, a BrokenError or an
// InvalidAnswerError. The caller must not use c again.
func (p *Pool) Do(ctx context.Context, c *Conn, r *Request) (*Exchange, error) {
	e := &Exchange{conn: c, pool: p, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, c.abandon)
	out := r.head()
	if len(r.Body) <= smallBody {
		out.Write(r.Body)
		if n, err := c.Write(out.Bytes()); err != nil {
			e.abort()
			if n == 0 {
				return nil, &NotSentError{Err: err}
			}
			return nil, &BrokenError{BeforeHead: true, Err: err}
		}
		e.written <- nil
	} else {
		// The answer may arrive before the backend server has read the body.
		go func() {
			_, err := (&net.Buffers{out.Bytes(), r.Body}).WriteTo(c.Conn)
			e.written <- err
		}()
	}
	resp, err := e.readHead(r)
	if err != nil {
		e.abort()
		return nil, err
	}
	e.Response = resp
	return e, nil
}

// smallBody is the length in bytes up to which a body fits the connection's buffers, so
// that writing it does not block on the peer.
const smallBody = 2048

// readHead reads the head of the answer to r, and skips interim answers and up to
// maxAnswers-1 answers to other requests. The error is a BrokenError or an
// InvalidAnswerError.
func (e *Exchange) readHead(r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	e.conn.head.left = maxHeadBytes
	defer func() { e.conn.head.left = noLimit }()
	for range maxAnswers {
		if first, err := e.conn.r.Peek(1); err != nil {
			return nil, &BrokenError{BeforeHead: true, Err: err}
		} else if first[0] != 'H' {
			return nil, &InvalidAnswerError{Reason: "it does not begin like an answer"}
		}
		resp, err := http.ReadResponse(e.conn.r, req)
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
				return nil, &BrokenError{BeforeHead: true, Err: err}
			}
			return nil, &InvalidAnswerError{Reason: err.Error()}
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
			return nil, &InvalidAnswerError{Reason: "no answer has the status " + resp.Status}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(resp) {
			return resp, nil
		}
		e.conn.head.left = noLimit
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes)); err != nil {
			return nil, &BrokenError{BeforeHead: true, Err: err}
		}
		e.conn.head.left = maxHeadBytes
	}
	return nil, &InvalidAnswerError{Reason: "only answers to other requests came"}
}

// maxStatus is the greatest status of an answer, RFC 9110.
const maxStatus = 599

// maxSkippedBytes bounds the body of a skipped answer.
const maxSkippedBytes = 1 << 20

// Read reads the body of the answer. It returns io.EOF at the end of the body; any other
// error means that the answer is incomplete. A body that only the end of the connection ends is complete
// only if the backend server has ended it without a reset and the whole request was sent: a reset that
// the write of the request has found is an end for reads. Nor is the empty body of a success: the backend
// server may have ended behind the head.
func (e *Exchange) Read(buf []byte) (int, error) {
	n, err := e.Body.Read(buf)
	e.hasBody = e.hasBody || n > 0
	if errors.Is(err, io.EOF) {
		if !e.hasBody && !e.framed() && e.StatusCode < http.StatusMultipleChoices {
			return n, io.ErrUnexpectedEOF
		}
		if !e.framed() && (!e.isSent() || call.WasReset(e.conn.Conn)) {
			return n, io.ErrUnexpectedEOF
		}
		e.complete = true
	}
	return n, err
}

// sentWait is the time for a write that has just returned to be noticed.
const sentWait = 20 * time.Millisecond

// isSent reports whether the whole request was written.
func (e *Exchange) isSent() bool {
	if e.sent {
		return true
	}
	timer := time.NewTimer(sentWait)
	defer timer.Stop()
	select {
	case err := <-e.written:
		e.sent = err == nil
		// Done asks, too.
		e.written <- err
	case <-timer.C:
	}
	return e.sent
}

// framed reports whether the answer itself says where its body ends.
func (e *Exchange) framed() bool { return e.ContentLength >= 0 || len(e.TransferEncoding) > 0 }

// Done ends the exchange. The connection is kept for reuse if the answer was read in
// full and nothing was received after it.
func (e *Exchange) Done() {
	e.conn.head.hold.Release()
	if !e.stop() || !e.complete {
		e.conn.abandon()
		return
	}
	if e.Close || !e.framed() || e.conn.r.Buffered() > 0 {
		_ = e.conn.Close()
		return
	}
	select {
	case err := <-e.written:
		if err != nil {
			_ = e.conn.Close()
			return
		}
	default:
		// The answer arrived before the request was written in full: the rest of the
		// body would be read as the next request.
		_ = e.conn.Close()
		return
	}
	e.conn.applyKeepAlive(e.Header.Get("Keep-Alive"))
	e.conn.idleSince = e.pool.Clock.Now()
	e.pool.put(e.conn)
}

// abort ends an exchange without an answer and abandons its connection.
func (e *Exchange) abort() {
	e.conn.head.hold.Release()
	e.stop()
	e.conn.abandon()
}
