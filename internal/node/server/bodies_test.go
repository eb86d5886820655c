package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/quota"
	"mangostile/internal/node/edge"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// bodyLimit is the limit of bodies in these tests, in bytes.
const bodyLimit = 1000

// startBodies serves a handler behind withBody that answers with the body, and returns its address and the
// server.
func startBodies(t testing.TB) (address string, s *Server) {
	t.Helper()
	s = &Server{edge: edge.New(edge.Options{})}
	s.options.HTTP.MaxBody = bodyLimit
	s.memory.Limit = 64 << 10
	server := &fasthttp.Server{
		Handler:      s.withBody(func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) }),
		ErrorHandler: s.edge.HandleError, NoDefaultDate: true, StreamRequestBody: true, DisablePreParseMultipartForm: true, MaxRequestBodySize: bodyPrefetch, ReadTimeout: 200 * time.Millisecond,
	}
	server.Logger = nopPrinter{}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String(), s
}

// nopPrinter implements fasthttp.Logger.
type nopPrinter struct{}

func (nopPrinter) Printf(string, ...any) {}

// exchangeBody sends a request and returns the status and the body of its answer, 0 if there is none.
func exchangeBody(t testing.TB, address, request string) (status int, body string) {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, request)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(got)
}

// TestBodiesAreHeld checks which bodies reach the handler, whole, and that all memory is given back.
func TestBodiesAreHeld(t *testing.T) {
	address, s := startBodies(t)
	text := strings.Repeat("x", bodyLimit)
	for _, tc := range []struct {
		name, head, body string
		status           int
		want             string
	}{
		{"none", "", "", 200, ""},
		{"empty", "Content-Length: 0\r\n", "", 200, ""},
		{"longest", fmt.Sprintf("Content-Length: %d\r\n", bodyLimit), text, 200, text},
		{"stated as too long", fmt.Sprintf("Content-Length: %d\r\n", bodyLimit+1), "x", 413, "body_too_large"},
		{"stops short of its end", "Content-Length: 9\r\n", "short", 400, "did not arrive in time"},
		{"in chunks", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n1;e=x\r\nd\r\n0\r\n\r\n", 200, "abcd"},
		{"too long in chunks", "Transfer-Encoding: chunked\r\n", "3e8\r\n" + text + "\r\n1\r\nx\r\n0\r\n\r\n", 413, "body_too_large"},
		{"a part of a multipart form", "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: 3\r\n", "--b", 200, "--b"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			status, body := exchangeBody(t, address, "POST /x HTTP/1.1\r\nHost: h\r\n"+tc.head+"\r\n"+tc.body)
			must.Eq(t, tc.status, status)
			must.StrContains(t, body, tc.want)
		})
	}
	var holds []*quota.Hold
	for i := 0; s.memory.Limit-s.memory.Used() > bodyLimit; i++ {
		hold := s.memory.Hold(quota.Owner(fmt.Sprint("other", i)))
		must.NoError(t, hold.Resize((s.memory.Limit-s.memory.Used())/3))
		holds = append(holds, hold)
	}
	status, body := exchangeBody(t, address, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	must.Eq(t, 429, status)
	must.StrContains(t, body, `"ran":"no"`)
	for _, hold := range holds {
		hold.Release()
	}
	for end := time.Now().Add(5 * time.Second); s.memory.Used() > 0; time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprint("memory is still held"))
	}
}

// FuzzChunkedBody checks that a chunked body which is served is what another reader of chunks makes of it,
// so that no part of a request can pass for another one.
func FuzzChunkedBody(f *testing.F) {
	f.Add([]byte("3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("1;e=" + strings.Repeat("e", 200) + "\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("1\r\nx\r\n0\r\na: b\r\n\r\n"))
	f.Add([]byte("1\r\nx\r\n0\r\n" + strings.Repeat("a:\r\n", 50) + "\r\n"))
	f.Add([]byte("ffffffffffffffff\r\nx"))
	f.Add([]byte("-1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("3\r\nab"))
	address, _ := startBodies(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		const head = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
		status, got := exchangeBody(t, address, head+string(data))
		if status != http.StatusOK {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head + string(data))))
		must.NoError(t, err)
		want, err := io.ReadAll(req.Body)
		if err == nil {
			must.Eq(t, string(want), got)
		}
	})
}
