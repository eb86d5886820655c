package edge

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mangostile/internal/core/event"
	"mangostile/internal/fake/engine"
	"mangostile/internal/fake/reply"
	"mangostile/internal/fake/store"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// startEngine starts a stand-in engine with the test adapter loaded.
func startEngine(t *testing.T) (e *engine.Engine, address string) {
	t.Helper()
	e = &engine.Engine{ID: "engine-1", Loader: &store.WeightStore{Options: store.Options{LoadTime: 1}}}
	e.StepTime, e.StepPerRequest = time.Millisecond, time.Nanosecond
	must.NoError(t, e.Order(t.Context(), event.Order{Kind: event.OrderLoad, Adapter: testAdapter, Fence: 1}))
	server, err := reply.Listen("127.0.0.1:0", e.Handle)
	must.NoError(t, err)
	t.Cleanup(server.Close)
	return e, server.Address()
}

// streamBody returns the body of a request for a streamed completion.
func streamBody(prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":"braid@v1","prompt":%q,"stream":true,"max_tokens":%d}`, prompt, tokens)
}

// textOf joins the tokens of a streamed answer and reports whether it is complete.
func textOf(answer string) (text string, complete bool) {
	for _, part := range strings.Split(answer, `"text":"`)[1:] {
		token, _, _ := strings.Cut(part, `"`)
		text += token
	}
	return strings.NewReplacer(`\u003c`, "<", `\u003e`, ">").Replace(text), strings.HasSuffix(answer, "data: [DONE]\n\n")
}

// wantText returns the text of a complete answer to prompt.
func wantText(prompt string, tokens int) string {
	return strings.Join(engine.Answer(engine.Work{Adapter: testAdapter, Prompt: prompt, MaxTokens: tokens}), "")
}

// TestBrokenStreamIsResumed breaks the engine's connection twice and checks that the
// caller receives each token exactly once.
func TestBrokenStreamIsResumed(t *testing.T) {
	e, address := startEngine(t)
	e.SetFaults(engine.Faults{BreakAfterTokens: 4})
	h := newHarness(t, address, Options{})
	status, answer := h.call("/v1/completions", streamBody("one two", 10))
	must.Eq(t, fasthttp.StatusOK, status)
	text, complete := textOf(answer)
	must.True(t, complete, must.Sprint(answer))
	must.Eq(t, wantText("one two", 10), text)
	must.Eq(t, event.ResultServed, h.result())
	must.Eq(t, 2, e.Counters().Resumed)
	must.Eq(t, 1, e.Counters().Requests)
}

// TestStreamBrokenTooOftenEndsWithError breaks a stream more often than it may be resumed
// and checks that the caller receives an error event.
func TestStreamBrokenTooOftenEndsWithError(t *testing.T) {
	e, address := startEngine(t)
	e.SetFaults(engine.Faults{BreakAfterTokens: 1})
	h := newHarness(t, address, Options{})
	_, answer := h.call("/v1/completions", streamBody("one two", 10))
	_, complete := textOf(answer)
	must.False(t, complete)
	must.StrContains(t, answer, "event: error")
	must.StrContains(t, answer, `"ran":"unknown"`)
}

// TestCrossedAnswersAreNotForwarded has the engine swap the answers of two callers, with
// and without streaming, and checks that each caller still receives its own.
func TestCrossedAnswersAreNotForwarded(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %v", stream), func(t *testing.T) {
			e, address := startEngine(t)
			e.SetFaults(engine.Faults{CrossAnswers: true})
			h := newHarness(t, address, Options{})
			h.maxAttempts = 20
			h.onFailed = func() { e.SetFaults(engine.Faults{}) }
			var wg sync.WaitGroup
			for _, prompt := range []string{"alpha", "beta", "gamma"} {
				wg.Go(func() {
					body := streamBody(prompt, 5)
					if !stream {
						body = strings.Replace(body, "true", "false", 1)
					}
					_, answer := h.call("/v1/completions", body)
					text, _ := textOf(answer)
					must.Eq(t, wantText(prompt, 5), text, must.Sprint(answer))
				})
			}
			wg.Wait()
			kinds := map[event.ResultKind]int{}
			for range len(h.done) {
				kinds[h.result()]++
			}
			must.Eq(t, 3, kinds[event.ResultServed])
			must.Positive(t, kinds[event.ResultFailed])
		})
	}
}

// TestAnswerOfAnotherAdapterIsNotForwarded has the backend server answer with another
// version of the adapter, or with events of another answer later in a stream.
func TestAnswerOfAnotherAdapterIsNotForwarded(t *testing.T) {
	foreign := strings.Replace(goodBody, "braid@v1", "braid@v2", 1)
	for name, answer := range map[string]string{
		"whole":        httpAnswer(200, "<id>", foreign),
		"stream":       streamHead + chunk("data: "+foreign+"\n\n"),
		"later event":  streamHead + chunk("data: "+goodBody+"\n\n") + chunk("data: "+foreign+"\n\n"),
		"other answer": streamHead + chunk("data: "+goodBody+"\n\n") + chunk("data: "+strings.Replace(goodBody, `"x"`, `"y"`, 1)+"\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			backend := startRaw(t, script{answer: answer})
			h := newHarness(t, backend.listener.Addr().String(), Options{})
			body := `{"model":"braid@v1","prompt":"p"}`
			if name != "whole" {
				body = streamBody("p", 3)
			}
			_, got := h.call("/v1/completions", body)
			must.StrNotContains(t, got, "braid@v2")
			must.StrNotContains(t, got, `"id":"y"`)
			must.StrContains(t, got, `"ran":"unknown"`)
			must.Eq(t, event.ResultFailed, h.result())
		})
	}
}

// TestDeadlineDuringAStream checks that a stream that exceeds its deadline ends as a
// timeout and not as a broken connection.
func TestDeadlineDuringAStream(t *testing.T) {
	backend := startRaw(t, script{hang: true, answer: streamHead + chunk("data: "+goodBody+"\n\n")})
	h := newHarness(t, backend.listener.Addr().String(), Options{})
	h.timeLimit = 150
	_, answer := h.call("/v1/completions", streamBody("p", 3))
	must.Eq(t, event.ResultTimeout, h.result())
	must.StrContains(t, answer, `"ran":"unknown"`)
}

// openCall sends a request over a connection that the test can close.
func (h *harness) openCall(body string) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.address)
	must.NoError(h.t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	must.NoError(h.t, err)
	return conn
}

// TestCallerDisconnects closes the caller's connection before the first byte and during a
// stream, and checks that the request is canceled at the engine.
func TestCallerDisconnects(t *testing.T) {
	tests := []struct {
		name      string
		body      string
		readFirst bool
	}{
		{"before a whole answer", strings.Replace(streamBody("p", 5000), "true", "false", 1), false},
		{"before the first token of a stream", streamBody("p", 5000), false},
		{"during a stream", streamBody("p", 5000), true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			e, address := startEngine(t)
			if !tc.readFirst {
				e.StepTime = time.Second
			}
			h := newHarness(t, address, Options{})
			conn := h.openCall(tc.body)
			if tc.readFirst {
				_, err := conn.Read(make([]byte, 400))
				must.NoError(t, err)
			}
			// A request whose caller has left before is not sent.
			waitUntil(t, func() bool { return e.Counters().Requests == 1 })
			must.NoError(t, conn.Close())
			must.Eq(t, event.ResultCanceled, h.result())
			waitUntil(t, func() bool { return e.Counters().Canceled == 1 })
			waitUntil(t, func() bool { return h.edge.OpenRequests() == 0 })
		})
	}
}

// TestSlowCallerIsCutOff reads nothing of a long stream and checks that the edge cancels
// it at the write timeout.
func TestSlowCallerIsCutOff(t *testing.T) {
	long := strings.Replace(goodBody, `"a"`, `"`+strings.Repeat("a", 100_000)+`"`, 1)
	backend := startRaw(t, script{hang: true, answer: streamHead + strings.Repeat(chunk("data: "+long+"\n\n"), 200)})
	h := newHarness(t, backend.listener.Addr().String(), Options{WriteTimeout: 50 * time.Millisecond})
	conn := h.openCall(streamBody("p", 3))
	defer func() { _ = conn.Close() }()
	must.Eq(t, event.ResultCanceled, h.result())
	waitUntil(t, func() bool { return h.edge.OpenRequests() == 0 })
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition was not met in time")
		}
	}
}
