package conns

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// FuzzAnswer has a backend server answer with arbitrary bytes. It checks that an answer
// read to its end is as long as its head declares, and that a connection is kept only
// after such an answer.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\nConnection: close\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nno length"))
	f.Add([]byte("HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\npart"))
	f.Add([]byte("HTTP/1.1 099 None\r\n\r\npart"))
	f.Add([]byte("HTTP/1.1 600 None\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 A\r\n\r\nHTTP/1.1 103 B\r\n\r\nHTTP/1.1 199 C\r\n\r\nHTTP/1.1 100 D\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;e=xxxxxxxx\r\nok\r\n0\r\nt: 1\r\n\r\n"))
	f.Add([]byte("\x16\x03\x01"))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(f, err)
	f.Cleanup(func() { _ = listener.Close() })
	f.Fuzz(func(t *testing.T, data []byte) {
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1024))
			_, _ = conn.Write(data)
			_ = conn.Close()
		}()
		var p Pool
		conn, err := p.Get(t.Context(), listener.Addr().String(), false)
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		e, err := p.Do(ctx, conn, &Request{Method: http.MethodGet, Target: "/x", Host: "h"})
		if err != nil {
			var broken *BrokenError
			var invalid *InvalidAnswerError
			var unsent *NotSentError
			must.True(t, errors.As(err, &broken) || errors.As(err, &invalid) || errors.As(err, &unsent))
			return
		}
		must.Between(t, http.StatusOK, e.StatusCode, maxStatus)
		body, err := io.ReadAll(e)
		must.NoError(t, ctx.Err())
		if err == nil && e.ContentLength >= 0 {
			must.Eq(t, e.ContentLength, int64(len(body)))
		}
		complete := e.complete
		must.Eq(t, err == nil, complete)
		e.Done()
		if !complete {
			must.Nil(t, p.takeIdle(listener.Addr().String()))
		}
	})
}
