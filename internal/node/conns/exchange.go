package conns

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// BrokenError tells that an exchange broke after a byte of the request had left, so
// that it may have run.
type BrokenError struct {
	// Before tells that it broke before the head of an answer.
	Before bool
	Err    error
}

// Error implements error.
func (e *BrokenError) Error() string { return "broken exchange: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// NoAnswerError tells that what came back is not an answer to the request.
type NoAnswerError struct{ Reason string }

// Error implements error.
func (e *NoAnswerError) Error() string {
	return "no answer to the request: " + e.Reason + ": look at the backend server"
}

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path with its query, as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Fits reports whether an answer belongs to this request. One that does not is
	// passed over.
	Fits func(*http.Response) bool
}

// head returns the head of r. Headers that concern one connection are not in
// r.Header.
func (r *Request) head() *bytes.Buffer {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
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
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return &b
}

// Exchange is a request that was sent and whose answer has begun.
type Exchange struct {
	*http.Response
	conn *Conn
	pool *Pool
	// written gets the error of writing the request, once.
	written chan error
	stop    func() bool
	// whole is set once the body was read to its end.
	whole bool
}

// maxStray bounds answers to other requests that are passed over.
const maxStray = 3

// Do sends a request on c and reads the head of the answer. It ends when ctx does.
// The error is a NotSentError, a BrokenError or a NoAnswerError. c must not be used
// again by the caller.
func (p *Pool) Do(ctx context.Context, c *Conn, r *Request) (*Exchange, error) {
	e := &Exchange{conn: c, pool: p, written: make(chan error, 1)}
	e.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	out := r.head()
	out.Write(r.Body)
	if len(r.Body) <= smallBody {
		if n, err := c.Write(out.Bytes()); err != nil {
			e.drop()
			if n == 0 {
				return nil, &NotSentError{Err: err}
			}
			return nil, &BrokenError{Before: true, Err: err}
		}
		e.written <- nil
	} else {
		// The answer may come before the body is read.
		go func() {
			_, err := c.Write(out.Bytes())
			e.written <- err
		}()
	}
	resp, err := e.readHead(r)
	if err != nil {
		e.drop()
		return nil, err
	}
	e.Response = resp
	return e, nil
}

// smallBody is the length up to which a request fits the connection's buffers, so
// that writing it does not wait for the other side.
const smallBody = 2048

func (e *Exchange) readHead(r *Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for range maxStray {
		if first, err := e.conn.r.Peek(1); err != nil {
			return nil, &BrokenError{Before: true, Err: err}
		} else if first[0] != 'H' {
			return nil, &NoAnswerError{Reason: "it does not begin like an answer"}
		}
		resp, err := http.ReadResponse(e.conn.r, asked)
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
				return nil, &BrokenError{Before: true, Err: err}
			}
			return nil, &NoAnswerError{Reason: err.Error()}
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Fits == nil || r.Fits(resp) {
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
			return nil, &BrokenError{Before: true, Err: err}
		}
	}
	return nil, &NoAnswerError{Reason: "only answers to other requests came"}
}

// maxStrayBytes bounds the body of an answer that is passed over.
const maxStrayBytes = 1 << 20

// Read reads the body. The end of the body is io.EOF; any other error tells that
// the answer is not whole.
func (e *Exchange) Read(buf []byte) (int, error) {
	n, err := e.Body.Read(buf)
	if errors.Is(err, io.EOF) {
		e.whole = true
	}
	return n, err
}

// Done ends the exchange. The connection is kept if the answer was read whole and
// nothing else came.
func (e *Exchange) Done() {
	if !e.stop() || !e.whole || e.Close || e.ContentLength < 0 && len(e.TransferEncoding) == 0 || e.conn.r.Buffered() > 0 {
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
		// The answer came before the body was read: bytes are still on their way.
		_ = e.conn.Close()
		return
	}
	e.conn.keepAlive(e.Header.Get("Keep-Alive"))
	e.pool.put(e.conn)
}

func (e *Exchange) drop() {
	e.stop()
	_ = e.conn.Close()
}
