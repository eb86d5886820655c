package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"mangostile/internal/base/token"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/stand"
	"mangostile/internal/node/edge"
	"mangostile/internal/node/meter"
	"mangostile/internal/plat/system"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"
)

// testTimeout bounds every wait of the tests; a correct server needs far less.
const testTimeout = 20 * time.Second

const (
	testToken  = "a-token-that-no-log-may-show"
	wrongToken = "another-token-that-no-log-may-show"
)

// lockedBuffer is a bytes.Buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// node is one entry VM under test, with its stand-ins and an HTTP client.
type node struct {
	t       testing.TB
	server  *Server
	standin *stand.Set
	log     lockedBuffer
	ended   chan error
	client  *http.Client
	token   string
	serve   string
	admin   string
}

func startNode(t testing.TB, change func(*Options)) *node {
	t.Helper()
	return startNodeWith(t, stand.Options{Backends: []event.VM{{
		ID: "engine-1", FailureDomain: "galle", Region: "south", Kind: event.KindEngine, Base: "straw-7b", ChecksFence: true,
	}}}, change)
}

func startNodeWith(t testing.TB, deployment stand.Options, change func(*Options)) *node {
	t.Helper()
	n := &node{t: t, token: testToken, ended: make(chan error, 1), client: &http.Client{Timeout: testTimeout}}
	var err error
	n.standin, err = stand.Start(deployment)
	must.NoError(t, err)
	options := n.options(t)
	if change != nil {
		change(&options)
	}
	n.server = New(options)
	go func() { n.ended <- n.server.Run(context.Background()) }()
	waitUntil(t, n.server.Ready)
	var cells []event.Cell
	for column, value := range map[string]string{"base": "straw-7b", "versions": "v1:1", "callers": "*"} {
		cells = append(cells, event.Cell{Adapter: "braid", Column: column, Value: value})
	}
	must.Eq(t, event.EditAccepted, n.server.Edit(t.Context(), event.Edit{ID: "edit-1", Author: "test", Cells: cells}).Kind)
	return n
}

func (n *node) options(t testing.TB) Options {
	var listeners [3]net.Listener
	for i := range listeners {
		var err error
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
	}
	n.serve, n.admin = "http://"+listeners[0].Addr().String(), "http://"+listeners[2].Addr().String()
	return Options{
		Core: entry.Config{
			Self: event.VM{
				ID: "entry-1", Address: listeners[1].Addr().String(), FailureDomain: "galle", Region: "south", State: event.VMLive, Entry: true,
			},
			Incarnation: 1,
		},
		Logger:        hclog.New(&hclog.LoggerOptions{Output: &n.log, Level: hclog.Trace}),
		Meter:         meter.New(),
		System:        system.NewRealSystem(n.standin.LogAddress, n.standin.VMListAddress),
		ServeListener: listeners[0], PeerListener: listeners[1], AdminListener: listeners[2],
		Admin: func(*Server) fasthttp.RequestHandler {
			return func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusTeapot) }
		},
	}
}

// stop shuts the server down gracefully and then closes the stand-ins.
func (n *node) stop() {
	n.t.Helper()
	n.server.Leave()
	select {
	case err := <-n.ended:
		must.NoError(n.t, err)
	case <-time.After(testTimeout):
		n.t.Fatal("the server did not leave")
	}
	n.client.CloseIdleConnections()
	n.standin.Close()
}

func (n *node) post(body string) *http.Response {
	n.t.Helper()
	req, err := http.NewRequest(http.MethodPost, n.serve+"/v1/completions", strings.NewReader(body))
	must.NoError(n.t, err)
	req.Header.Set("Authorization", "Bearer "+n.token)
	resp, err := n.client.Do(req)
	must.NoError(n.t, err)
	return resp
}

func readBody(t testing.TB, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return string(body)
}

func (n *node) get(address, path string) (int, string) {
	n.t.Helper()
	resp, err := n.client.Get(address + path)
	must.NoError(n.t, err)
	return resp.StatusCode, readBody(n.t, resp)
}

// waitUntil polls condition and fails the test after testTimeout.
func waitUntil(t testing.TB, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition did not become true within testTimeout")
		}
	}
}

func verifyNoLeak(t *testing.T) {
	t.Helper()
	// Cleanup goroutines of the HTTP library keep sleeping for some seconds.
	goleak.VerifyNone(t,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
	)
}

func streamOf(tokens int) string {
	return fmt.Sprintf(`{"model":"braid","prompt":"x","stream":true,"max_tokens":%d}`, tokens)
}

// TestLeavingFinishesStreams shuts the server down during a stream and checks that the
// stream is completed, that Run returns without error, and that no goroutine leaks.
func TestLeavingFinishesStreams(t *testing.T) {
	defer verifyNoLeak(t)
	n := startNode(t, nil)
	resp := n.post(streamOf(60))
	_, err := io.ReadFull(resp.Body, make([]byte, 50))
	must.NoError(t, err)
	n.server.Leave()
	waitUntil(t, func() bool { return !n.server.Ready() })
	body := readBody(t, resp)
	must.StrHasSuffix(t, "data: [DONE]\n\n", body)
	must.Eq(t, 60, strings.Count(body, `"text"`))
	n.stop()
	must.Zero(t, n.standin.Counters().Violations)
}

// TestMetricsShowWhatHappened checks the metrics after one served and one refused request,
// that the operators' page on metrics lists every one of them, and that the admin listener
// serves health checks itself and passes other paths to the admin API.
func TestMetricsShowWhatHappened(t *testing.T) {
	defer verifyNoLeak(t)
	n := startNode(t, nil)
	must.StrHasSuffix(t, "data: [DONE]\n\n", readBody(t, n.post(streamOf(5))))
	must.StrContains(t, readBody(t, n.post(`{"model":"nobody"}`)), "unknown_adapter")
	wantSeries := []string{
		`mangostile_requests_total{code="200"} 1`, `mangostile_requests_total{code="404"} 1`,
		`mangostile_refusals_total{code="unknown_adapter",ran="no"} 1`, `mangostile_attempts_total{result="served"} 1`,
		"mangostile_first_token_seconds_count 1", "mangostile_token_gap_seconds_count 6", "mangostile_load_stall_seconds_count 1",
		`mangostile_append_records_total{result="accepted"}`, `mangostile_backend_running{backend_server="engine-1"}`,
		`mangostile_ring_depth{ring="inputs"}`, "mangostile_link_sent_bytes", "mangostile_ready 1",
	}
	waitUntil(t, func() bool {
		_, text := n.get(n.admin, "/metrics")
		for _, want := range wantSeries {
			if !strings.Contains(text, want) {
				return false
			}
		}
		return true
	})
	page, err := os.ReadFile("../../../docs/operators/metrics.md")
	must.NoError(t, err)
	_, text := n.get(n.admin, "/metrics")
	for _, family := range regexp.MustCompile(`(?m)^# TYPE (\w+) `).FindAllStringSubmatch(text, -1) {
		must.StrContains(t, string(page), "`"+family[1]+"`", must.Sprint("docs/operators/metrics.md"))
	}
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 200, "/admin/table": fasthttp.StatusTeapot} {
		status, _ := n.get(n.admin, path)
		must.Eq(t, want, status, must.Sprint(path))
	}
	n.stop()
}

// TestTokensAreNeverLogged sends valid and invalid tokens at log level trace and checks
// that neither they nor their digest are logged.
func TestTokensAreNeverLogged(t *testing.T) {
	defer verifyNoLeak(t)
	digest := fmt.Sprintf("%x", sha256.Sum256([]byte(testToken)))
	n := startNode(t, func(options *Options) {
		var callers token.Set
		must.NoError(t, callers.Add(digest, "village-app"))
		options.Edge = edge.Options{Callers: callers}
	})
	must.StrContains(t, readBody(t, n.post(streamOf(3))), "[DONE]")
	n.token = wrongToken
	must.StrContains(t, readBody(t, n.post(streamOf(3))), `"code":"unauthorized"`)
	n.stop()
	must.StrContains(t, n.log.String(), "decision_route")
	for _, secret := range []string{testToken, wrongToken, digest} {
		must.StrNotContains(t, n.log.String(), secret)
	}
}

// TestTLSCallerGoesAway closes a caller's TLS connection during a stream and checks that
// the request is canceled on the engine.
func TestTLSCallerGoesAway(t *testing.T) {
	certified := httptest.NewUnstartedServer(nil)
	certified.StartTLS()
	defer certified.Close()
	n := startNode(t, func(options *Options) {
		options.ServeTLS = &tls.Config{Certificates: certified.TLS.Certificates, MinVersion: tls.VersionTLS12}
	})
	n.serve = strings.Replace(n.serve, "http:", "https:", 1)
	transport := certified.Client().Transport.(*http.Transport).Clone()
	transport.TLSClientConfig.ServerName = "example.com"
	n.client.Transport = transport
	resp := n.post(streamOf(5000))
	must.Eq(t, fasthttp.StatusOK, resp.StatusCode)
	must.NoError(t, resp.Body.Close())
	transport.CloseIdleConnections()
	waitUntil(t, func() bool { return n.standin.Engines[0].Counters().Canceled == 1 })
	n.stop()
}
