package edge

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// callPaths are a completion, a stream and a call of a plain service, each with a body.
var callPaths = []struct{ name, path, body string }{
	{"completion", "/v1/completions", `{"model":"braid@v1","prompt":"p"}`},
	{"stream", "/v1/completions", streamBody("p", 3)},
	{"idempotent call", "/services/ledger/stock", "{}"},
	{"action", "/services/ledger/release", "{}"},
}

// TestRefusalsMustNameTheirRequest guards against the promise that a request did not run when it
// did: a backend server wrote an earlier refusal once more.
func TestRefusalsMustNameTheirRequest(t *testing.T) {
	unnamed := strings.Replace(httpAnswer(fasthttp.StatusServiceUnavailable, "", refusedBody), "X-Request-Id: \r\n", "", 1)
	good := httpAnswer(fasthttp.StatusOK, "<id>", goodBody)
	for _, answer := range []struct{ name, text string }{
		{"no id", unnamed},
		{"no id, before the answer", unnamed + good},
		{"another id, before the answer", httpAnswer(fasthttp.StatusServiceUnavailable, "other", refusedBody) + good},
	} {
		for _, call := range callPaths {
			t.Run(call.name+"/"+answer.name, func(t *testing.T) {
				backend := startRaw(t, script{answer: answer.text})
				h := newHarness(t, backend.listener.Addr().String(), Options{})
				_, got := h.call(call.path, call.body, HeaderKey, "k1")
				must.StrNotContains(t, got, `"ran":"no"`)
				must.One(t, backend.receivedCount())
			})
		}
	}
}

// TestRepeatedRefusalOnAKeptConnection guards against a request that is told "not run" by the
// refusal of the request before it, which a backend server wrote once more on their connection.
func TestRepeatedRefusalOnAKeptConnection(t *testing.T) {
	refusal := strings.Replace(httpAnswer(fasthttp.StatusServiceUnavailable, "", refusedBody), "X-Request-Id: \r\n", "", 1)
	backend := startRaw(t, script{keepAlive: 4, answer: strings.Repeat(refusal, 2)})
	h := newHarness(t, backend.listener.Addr().String(), Options{})
	for range 3 {
		_, got := h.call("/services/ledger/stock", "{}")
		must.StrNotContains(t, got, `"ran":"no"`)
	}
}

// TestUnnamedErrorOnAKeptConnection guards against an error of an earlier request that is passed on
// as the answer of the next one on its connection.
func TestUnnamedErrorOnAKeptConnection(t *testing.T) {
	unnamed := strings.Replace(httpAnswer(fasthttp.StatusNotFound, "", "SECRET"), "X-Request-Id: \r\n", "", 1)
	backend := startRaw(t, script{keepAlive: 4, answer: httpAnswer(fasthttp.StatusOK, "<id>", "{}"), second: unnamed})
	h := newHarness(t, backend.listener.Addr().String(), Options{})
	_, got := h.call("/services/ledger/stock", "{}")
	must.Eq(t, "{}", got)
	_, got = h.call("/services/ledger/stock", "{}")
	must.StrNotContains(t, got, "SECRET")
	must.StrContains(t, got, `"ran":"unknown"`)
}

// TestErrorBehindABrokenStreamIsNotForwarded guards against an error's text, or its head, in the
// middle of a caller's stream, and against a broken stream that ends as if it were complete.
func TestErrorBehindABrokenStreamIsNotForwarded(t *testing.T) {
	const errorText = `{"error":{"code":"SECRET","message":"SECRET"}}`
	event1 := chunk("data: " + goodBody + "\n\n")
	rawError := "HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\nX-Secret: SECRET\r\n\r\n" + errorText + "\n\n"
	for _, tc := range []struct{ name, answer, resume string }{
		{"an error instead of the rest", streamHead + event1, httpAnswer(fasthttp.StatusServiceUnavailable, "<id>", errorText)},
		{"an error that is called the rest", streamHead + event1, httpAnswer(fasthttp.StatusOK, "<id>", errorText)},
		{"an error that ends like an event and is called the rest", streamHead + event1, httpAnswer(fasthttp.StatusOK, "<id>", errorText+"\n\n")},
		{"the head of an error in the rest", streamHead + event1, streamHead + chunk(rawError) + "0\r\n\r\n"},
		{"an error in the stream", streamHead + event1 + chunk(rawError) + "0\r\n\r\n", ""},
		{"the text of an error in the stream", streamHead + event1 + chunk(errorText+"\n\n") + "0\r\n\r\n", ""},
		{"an error behind a stream without length", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: <id>\r\n\r\ndata: " + goodBody + "\n\n" + rawError, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			backend := startRaw(t, script{answer: tc.answer, resume: tc.resume})
			h := newHarness(t, backend.listener.Addr().String(), Options{})
			_, got := h.call("/v1/completions", streamBody("p", 3))
			must.StrNotContains(t, got, "SECRET")
			must.StrNotContains(t, got, "HTTP/1.1")
			must.StrNotContains(t, got, string(endMark))
			must.StrContains(t, got, `"ran":"unknown"`)
		})
	}
}

// TestHeadThatBreaksOff guards against a success with an empty or short body, made of an answer
// whose head broke off.
func TestHeadThatBreaksOff(t *testing.T) {
	whole := strings.Replace(httpAnswer(fasthttp.StatusOK, "<id>", goodBody), goodBody, "", 1)
	withoutLength := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: <id>\r\n\r\n"
	cases := map[string]string{"whole head without a length": withoutLength}
	for n := 1; n < len(whole); n += 3 {
		cases[fmt.Sprintf("after %d bytes", n)] = whole[:n]
	}
	for name, answer := range cases {
		for _, call := range callPaths {
			t.Run(call.name+"/"+name, func(t *testing.T) {
				t.Parallel()
				backend := startRaw(t, script{answer: answer})
				h := newHarness(t, backend.listener.Addr().String(), Options{})
				status, got := h.call(call.path, call.body, HeaderKey, "k1")
				must.NotEq(t, fasthttp.StatusOK, status)
				must.StrContains(t, got, `"ran":"unknown"`)
			})
		}
	}
}
