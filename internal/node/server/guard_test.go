package server

import (
	"net"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// TestPanicInARequestIsAnInternalError has a handler panic, also after it has begun its answer.
// The caller gets an internal error that does not claim that nothing ran, and the server goes
// on. The HTTP library recovers from no panic: one request ended the whole process.
func TestPanicInARequestIsAnInternalError(t *testing.T) {
	s := &Server{options: Options{Logger: hclog.NewNullLogger()}}
	listener := fasthttputil.NewInmemoryListener()
	server := fasthttp.Server{NoDefaultDate: true, Handler: s.guardHandler(func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/panic":
			panic("unexpected")
		case "/late":
			ctx.SetBodyString("half of an answer")
			panic("unexpected")
		}
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	client := fasthttp.Client{Dial: func(string) (net.Conn, error) { return listener.Dial() }}
	for _, tc := range []struct {
		path   string
		status int
	}{{"/panic", 500}, {"/late", 500}, {"/", 200}} {
		status, body, err := client.Get(nil, "http://entry"+tc.path)
		must.NoError(t, err)
		must.Eq(t, tc.status, status)
		if status != fasthttp.StatusOK {
			must.StrContains(t, string(body), `"ran":"unknown"`)
			must.StrNotContains(t, string(body), "half of an answer")
		}
	}
}
