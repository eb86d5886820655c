package edge

import (
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
