package edge

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/reply"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// httpAnswer returns a complete HTTP answer.
func httpAnswer(status int, id, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, id, len(body), body)
}

const (
	goodBody    = `{"id":"x","model":"braid@v1","choices":[{"text":"a"}]}`
	refusedBody = `{"error":{"code":"leaving","message":"m","ran":"no"}}`
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: <id>\r\nTransfer-Encoding: chunked\r\n\r\n"
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// TestRanNoIsNeverSaidAfterARun breaks the exchange with a backend server at each point
// and checks that the caller receives "ran: no" only if the request was not executed.
func TestRanNoIsNeverSaidAfterARun(t *testing.T) {
	requests := []struct{ name, path, body string }{
		{"completion", "/v1/completions", `{"model":"braid@v1","prompt":"p"}`},
		{"stream", "/v1/completions", `{"model":"braid@v1","prompt":"p","stream":true}`},
		{"idempotent call", "/services/ledger/stock", `{}`},
		{"action", "/services/ledger/release", `{}`},
	}
	event1 := "data: " + goodBody + "\n\n"
	points := []struct {
		name   string
		script script
		// wantRanNo is true where the caller must receive "ran: no".
		wantRanNo bool
		// engineOnly is true where the fault can be detected only in an engine's answer.
		engineOnly bool
		// timeLimit is that of the harness; 0 keeps its default.
		timeLimit clock.Millis
	}{
		{"closed before the request was read", script{closeBefore: true}, false, false, 0},
		{"closed in the middle of the request", script{closeAfterBytes: 40}, false, false, 0},
		{"closed after the request", script{}, false, false, 0},
		{"closed in the status line", script{answer: "HTTP/1.1 20"}, false, false, 0},
		{"closed in the headers", script{answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Requ"}, false, false, 0},
		{"closed in the body", script{answer: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"}, false, false, 0},
		{"closed in a refusal's body", script{answer: httpAnswer(503, "<id>", refusedBody)[:100]}, false, false, 0},
		{"closed in the first event", script{answer: streamHead + "100\r\ndata: {"}, false, false, 0},
		{"closed after the first event", script{answer: streamHead + chunk(event1)}, false, false, 0},
		{"closed before the end mark", script{answer: streamHead + chunk(event1) + chunk(event1) + "0\r\n\r\n"}, false, true, 0},
		{"no answer in time", script{hang: true}, false, false, 150},
		{"half an answer in time", script{hang: true, answer: streamHead + chunk("data: {")}, false, false, 150},
		{"refusal of another request", script{answer: httpAnswer(503, "other", refusedBody)}, false, false, 0},
		{"answer of another request", script{answer: httpAnswer(200, "other", goodBody)}, false, false, 0},
		{"error of the backend server itself", script{answer: httpAnswer(500, "<id>", `{"error":{"code":"internal"}}`)}, false, true, 0},
		{"canceled by another", script{answer: httpAnswer(499, "<id>", `{"error":{"code":"canceled"}}`)}, false, true, 0},
		{"refusal that says it did not run", script{answer: httpAnswer(503, "<id>", refusedBody)}, true, false, 0},
	}
	for _, request := range requests {
		for _, point := range points {
			if point.engineOnly && strings.HasPrefix(request.path, "/services/") {
				continue
			}
			t.Run(request.name+"/"+point.name, func(t *testing.T) {
				backend := startRaw(t, point.script)
				h := newHarness(t, backend.listener.Addr().String(), Options{})
				if point.timeLimit > 0 {
					h.timeLimit = point.timeLimit
				}
				_, answer := h.call(request.path, request.body, HeaderKey, "k1")
				if point.wantRanNo {
					must.StrContains(t, answer, `"ran":"no"`)
					return
				}
				// The request was written and may have been executed, so the edge must not
				// answer "ran: no".
				must.StrNotContains(t, answer, `"ran":"no"`)
				must.LessEq(t, 1, backend.receivedCount())
				// Only a complete answer may be forwarded, also for idempotent calls,
				// which have no model to check.
				if !strings.Contains(answer, `"ran":"unknown"`) {
					t.Fatalf("neither refused nor unknown: %s", answer)
				}
			})
		}
		t.Run(request.name+"/nothing listens", func(t *testing.T) {
			h := newHarness(t, closedAddress, Options{})
			_, answer := h.call(request.path, request.body, HeaderKey, "k1")
			must.StrContains(t, answer, `"ran":"no"`)
		})
	}
}

// TestStaleConnectionIsNotRetried closes a kept connection under the second request and
// counts the requests that the backend server read: the client must not retry on its
// own, whatever the method.
func TestStaleConnectionIsNotRetried(t *testing.T) {
	for _, method := range []string{fasthttp.MethodPost, fasthttp.MethodGet, fasthttp.MethodPut} {
		t.Run(method, func(t *testing.T) {
			backend := startRaw(t, script{keepAlive: 1, answer: httpAnswer(200, "<id>", `{}`)})
			var b backendClients
			address := backend.listener.Addr().String()
			send := func() error {
				answer, err := b.send(t.Context(), address, newRequest(method, address, "/x", nil), testTimeout, false)
				if err == nil {
					_, err = answer.readAll()
					answer.release()
				}
				return err
			}
			must.NoError(t, send())
			must.Eq(t, event.ResultBroken, resultOfError(send()))
			must.Eq(t, 2, backend.receivedCount())
			// The broken connection was removed: the next call opens another one.
			must.NoError(t, send())
			must.Eq(t, 3, backend.receivedCount())
		})
	}
}

// TestActionsNeverUseKeptConnections checks that a call that is not idempotent opens a
// connection of its own even if one is kept.
func TestActionsNeverUseKeptConnections(t *testing.T) {
	backend := startRaw(t, script{keepAlive: 1, answer: httpAnswer(200, "<id>", `{}`)})
	h := newHarness(t, backend.listener.Addr().String(), Options{})
	for range 3 {
		status, answer := h.call("/services/ledger/release", `{}`, HeaderKey, "k1")
		must.Eq(t, fasthttp.StatusOK, status, must.Sprint(answer))
	}
	must.Eq(t, 3, backend.receivedCount())
}

// rawCall sends a request and returns what it reads until the connection is closed. The
// edge may refuse the request and close before it has read all of it, which resets the
// connection; rawCall ignores that error.
func (h *harness) rawCall(body string, headers ...string) string {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.address)
	must.NoError(h.t, err)
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n", len(body))
	for i := 0; i+1 < len(headers); i += 2 {
		head += headers[i] + ": " + headers[i+1] + "\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n"+body)
	must.NoError(h.t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// TestLimitsOnCallers checks that requests that are too long or malformed are refused as
// not executed.
func TestLimitsOnCallers(t *testing.T) {
	h := newHarness(t, closedAddress, Options{})
	tests := []struct {
		name, body string
		headers    []string
		want       string
	}{
		{"long body", strings.Repeat("x", 5000), nil, `"code":"body_too_large"`},
		{"long header", "{}", []string{"X-Long", strings.Repeat("x", 5000)}, `"code":"body_too_large"`},
		{"not JSON", "{", nil, `"code":"bad_request"`},
		{"wrong deadline", `{"model":"braid"}`, []string{HeaderDeadline, "soon"}, HeaderDeadline},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			answer := h.rawCall(tc.body, tc.headers...)
			must.StrHasPrefix(t, "HTTP/1.1 4", answer)
			must.StrContains(t, answer, tc.want)
			must.StrContains(t, answer, `"ran":"no"`)
		})
	}
}

// TestServiceCallsKeepTheirContentType checks that the edge forwards the caller's
// Content-Type and query.
func TestServiceCallsKeepTheirContentType(t *testing.T) {
	seen := make(chan string, 1)
	server, err := reply.Listen("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {
		seen <- string(ctx.Request.Header.ContentType()) + " " + string(ctx.RequestURI())
	})
	must.NoError(t, err)
	t.Cleanup(server.Close)
	h := newHarness(t, server.Address(), Options{})
	h.call("/services/ledger/stock?hat=7", "a,b", fasthttp.HeaderContentType, "text/csv")
	must.Eq(t, "text/csv /stock?hat=7", <-seen)
}

// TestNothingIsSentTooCloseToNotAfter sets NotAfter earlier than a connection may take to
// open, and checks that nothing is sent.
func TestNothingIsSentTooCloseToNotAfter(t *testing.T) {
	backend := startRaw(t, script{answer: httpAnswer(200, "<id>", goodBody)})
	h := newHarness(t, backend.listener.Addr().String(), Options{})
	h.notAfter = maxDialTime / 2
	_, answer := h.call("/v1/completions", `{"model":"braid@v1","prompt":"p"}`)
	must.StrContains(t, answer, `"ran":"no"`)
	must.Eq(t, 0, backend.receivedCount())
}

// TestRequestThatArrivesTooSlowly sends half a request and checks that the edge refuses
// it at the read timeout.
func TestRequestThatArrivesTooSlowly(t *testing.T) {
	h := newHarnessWithReadTimeout(t, closedAddress, Options{}, 50*time.Millisecond)
	conn, err := net.Dial("tcp", h.address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"))
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	answer, err := io.ReadAll(conn)
	must.NoError(t, err)
	must.StrContains(t, string(answer), "did not arrive in time")
	must.StrContains(t, string(answer), `"ran":"no"`)
}
