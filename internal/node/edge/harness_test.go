package edge

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// closedAddress is an address without a listener: its port is never assigned to a
// listener by chance.
const closedAddress = "127.0.0.1:1"

// testTimeout bounds waits that end long before it unless the edge is faulty.
const testTimeout = 10 * time.Second

var testAdapter = units.AdapterVersion{Adapter: "braid", Version: "v1"}

// harness runs an Edge on loopback with a small core that sends each request to one
// backend server and refuses it if all attempts fail.
type harness struct {
	t       *testing.T
	edge    *Edge
	address string
	// backend is the address that requests are sent to.
	backend string
	// timeLimit is the time from a dispatch to its deadline.
	timeLimit clock.Millis
	// notAfter is the time from a dispatch to its NotAfter; 0 means no limit.
	notAfter clock.Millis
	// maxAttempts is the maximum number of attempts for a request.
	maxAttempts int32
	// onFailed is called before a request is retried.
	onFailed func()
	done     chan event.DispatchDone
	canceled chan units.RequestID
	arrived  chan event.RequestArrived
}

// newHarness starts a harness that sends requests to the address backend and ends with
// the test.
func newHarness(t *testing.T, backend string, options Options) *harness {
	t.Helper()
	return newHarnessWithReadTimeout(t, backend, options, testTimeout)
}

// newHarnessWithReadTimeout is newHarness with a read timeout for whole requests.
func newHarnessWithReadTimeout(t *testing.T, backend string, options Options, readTimeout time.Duration) *harness {
	t.Helper()
	return newHarnessWithLimits(t, backend, options, readTimeout, 4096)
}

// newHarnessWithLimits is newHarness with a read timeout and a limit of bodies, in bytes.
func newHarnessWithLimits(t *testing.T, backend string, options Options, readTimeout time.Duration, maxBody int) *harness {
	t.Helper()
	h := &harness{
		t: t, backend: backend, timeLimit: 5 * clock.Second, maxAttempts: 1,
		done: make(chan event.DispatchDone, 64), canceled: make(chan units.RequestID, 64), arrived: make(chan event.RequestArrived, 64),
	}
	options.EntryVM = "entry-1"
	options.NotRepeatable = map[units.ServiceName][]string{"ledger": {"POST /release"}}
	options.Submit = h.submit
	options.Ready = func() bool { return true }
	h.edge = New(options)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	h.address = listener.Addr().String()
	server := &fasthttp.Server{
		Handler: h.edge.Handle, ErrorHandler: h.edge.HandleError, MaxRequestBodySize: maxBody, ReadBufferSize: 4096, CloseOnShutdown: true,
		ReadTimeout: readTimeout, Logger: noLog{},
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(listener)
	}()
	go h.edge.WatchCallers(t.Context())
	t.Cleanup(func() {
		h.edge.Close()
		_ = server.Shutdown()
		<-ended
	})
	return h
}

// retryDelay is the time before a request is retried.
const retryDelay = 20 * time.Millisecond

// noLog discards the HTTP server's messages about disconnected callers.
type noLog struct{}

// Printf implements fasthttp.Logger.
func (noLog) Printf(string, ...any) {}

func (h *harness) submit(ev event.Event) bool {
	switch ev := ev.(type) {
	case event.RequestArrived:
		h.arrived <- ev
		h.dispatch(ev.Request.ID, 1, ev.Request.Service == "")
	case event.RequestCanceled:
		h.canceled <- ev.Request
		// Like the core, it cancels no action.
		if x := h.edge.exchanges.find(ev.Request); x != nil && x.request.Idempotent {
			h.edge.Do(ev.Request, event.CancelDispatch{Request: ev.Request})
		}
	case event.DispatchDone:
		h.dispatchDone(ev)
	}
	return true
}

func (h *harness) dispatch(id units.RequestID, attempt int32, engine bool) {
	d := event.Dispatch{
		Request: id, Attempt: attempt, Server: "engine-1", Address: h.backend, Deadline: h.edge.options.Clock.Now() + h.timeLimit,
	}
	if engine {
		d.Adapter = testAdapter
	}
	if h.notAfter > 0 {
		d.NotAfter = h.edge.options.Clock.Now() + h.notAfter
	}
	h.edge.Do(id, d)
}

func (h *harness) dispatchDone(ev event.DispatchDone) {
	kind := ev.Result.Kind
	h.done <- ev
	switch {
	case kind == event.ResultServed || kind == event.ResultCanceled:
	case ev.Attempt < h.maxAttempts:
		h.onFailed()
		// A canceled request may still run at the engine for a few tokens.
		time.AfterFunc(retryDelay, func() { h.dispatch(ev.Request, ev.Attempt+1, true) })
	default:
		refusal := &errs.Refusal{Code: errs.CodeServerFailed, Message: kind.String(), Ran: kind.Ran()}
		h.edge.Do(ev.Request, event.Refuse{Request: ev.Request, Refusal: refusal})
	}
}

// result waits for the end of an attempt and returns its result.
func (h *harness) result() event.ResultKind {
	h.t.Helper()
	select {
	case ev := <-h.done:
		return ev.Result.Kind
	case <-time.After(testTimeout):
		h.t.Fatal("no attempt ended")
		return 0
	}
}

// call sends a request and returns the answer.
func (h *harness) call(path, body string, headers ...string) (int, string) {
	h.t.Helper()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + h.address + path)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetBodyString(body)
	req.SetConnectionClose()
	must.NoError(h.t, fasthttp.DoTimeout(req, resp, testTimeout))
	return resp.StatusCode(), string(resp.Body())
}

// rawBackend is a backend server that answers each request with the bytes of its script
// and then closes the connection. It counts the requests that it read in full: each of
// them may have been executed.
type rawBackend struct {
	script
	listener net.Listener

	// closed gets a value for each connection that the other side closed.
	closed chan struct{}

	mu       sync.Mutex
	received int
	conns    []net.Conn
}

// script defines the behavior of a rawBackend.
type script struct {
	// closeBefore closes connections without reading, closeAfterBytes after reading
	// that many bytes.
	closeBefore     bool
	closeAfterBytes int64
	// answer is written in reply; <id> stands for the request's id. With hang set,
	// the connection stays open afterwards and nothing more is written.
	answer string
	hang   bool
	// keepAlive is the number of requests answered on one connection; it is closed
	// after the next request was read.
	keepAlive int
	// delay is the time before each answer.
	delay time.Duration
	// resume is written in reply to a request for the rest of a stream.
	resume string
	// second is written in place of answer from the second request of a connection on, if set.
	second string
	// early is true if it answers before it reads a body, and resets the connection then.
	early bool
}

// startRaw starts a rawBackend that is closed at the end of the test.
func startRaw(t *testing.T, script script) *rawBackend {
	t.Helper()
	b := &rawBackend{script: script, closed: make(chan struct{}, 16)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	b.listener = listener
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns = append(b.conns, conn)
			b.mu.Unlock()
			wg.Go(func() { b.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		b.mu.Lock()
		for _, conn := range b.conns {
			_ = conn.Close()
		}
		b.mu.Unlock()
		wg.Wait()
	})
	return b
}

// count counts a request that may have been executed.
func (b *rawBackend) count(path string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if path != "/v1/cancel" && path != "/v1/resume" {
		b.received++
	}
}

// receivedCount returns the number of requests that may have been executed.
func (b *rawBackend) receivedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received
}

func (b *rawBackend) serve(conn net.Conn) {
	if b.closeBefore {
		_ = conn.Close()
		return
	}
	if b.closeAfterBytes > 0 {
		_, _ = io.CopyN(io.Discard, conn, b.closeAfterBytes)
		_ = conn.Close()
		return
	}
	r := bufio.NewReader(conn)
	if b.early {
		b.answerEarly(conn, r)
		return
	}
	for i := 0; ; i++ {
		var req fasthttp.Request
		if req.Read(r) != nil {
			_ = conn.Close()
			b.closed <- struct{}{}
			return
		}
		b.count(string(req.URI().Path()))
		if b.keepAlive > 0 && i >= b.keepAlive {
			_ = conn.Close()
			return
		}
		time.Sleep(b.delay)
		text := b.answer
		if i > 0 && b.second != "" {
			text = b.second
		}
		if string(req.URI().Path()) == "/v1/resume" {
			text = b.resume
		}
		answer := strings.ReplaceAll(text, "<id>", string(req.Header.Peek(HeaderRequestID)))
		_, _ = io.Copy(conn, bytes.NewReader([]byte(answer)))
		if b.keepAlive == 0 && !b.hang {
			_ = conn.Close()
			return
		}
	}
}

// resetDelay is the time from an early answer to the reset.
const resetDelay = 20 * time.Millisecond

// answerEarly answers a request whose body it does not read, and resets the connection.
func (b *rawBackend) answerEarly(conn net.Conn, r *bufio.Reader) {
	var head fasthttp.RequestHeader
	if head.Read(r) != nil {
		_ = conn.Close()
		return
	}
	b.count(string(head.RequestURI()))
	_, _ = io.WriteString(conn, strings.ReplaceAll(b.answer, "<id>", string(head.Peek(HeaderRequestID))))
	time.Sleep(resetDelay)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
