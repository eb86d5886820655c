package conns

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// serveRaw serves connections with f until the test ends.
func serveRaw(t *testing.T, f func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				f(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(r *bufio.Reader) (*http.Request, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err
}

// request returns a POST request that matches only answers with its id, "one".
func request(body string) *Request {
	return &Request{
		Method: http.MethodPost, Target: "/a/b?x=1", Host: "h.example", Header: http.Header{"Id": {"one"}}, Body: []byte(body),
		Matches: func(resp *http.Response) bool { return resp.Header.Get("Id") == "one" },
	}
}

// do makes one exchange and returns the body of the answer.
func do(t *testing.T, p *Pool, address string, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := p.Get(t.Context(), address, false)
	if err != nil {
		return "", err
	}
	e, err := p.Do(ctx, conn, r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(e)
	e.Done()
	return string(body), err
}

// TestExchange makes one exchange with each kind of answer. It checks what is returned,
// and that the connection is kept only after a complete answer with nothing behind it.
func TestExchange(t *testing.T) {
	var broken *BrokenError
	var invalid *InvalidAnswerError
	tests := []struct {
		name   string
		answer string
		want   string
		err    any
		failed bool
		kept   bool
	}{
		{name: "sized", answer: "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nok", want: "ok", kept: true},
		{name: "chunked", answer: "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", want: "ok", kept: true},
		{name: "closing", answer: "HTTP/1.1 200 OK\r\nId: one\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", want: "ok"},
		{name: "without length", answer: "HTTP/1.1 200 OK\r\nId: one\r\nConnection: close\r\n\r\nok", want: "ok"},
		{name: "cut short", answer: "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 9\r\n\r\nok", want: "ok", failed: true},
		{name: "chunks cut short", answer: "HTTP/1.1 200 OK\r\nId: one\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", want: "ok", failed: true},
		{name: "no answer", answer: "garbage that is no answer\r\n\r\n", err: &invalid},
		{name: "closed", answer: "", err: &broken},
		{name: "late answer to another", answer: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbadHTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nok", want: "ok", kept: true},
		{name: "second answer behind", answer: "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 3\r\n\r\nbad", want: "ok"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, tc.answer)
				if tc.kept || strings.Contains(tc.name, "behind") {
					_, _ = r.Peek(1)
				}
			})
			var p Pool
			got, err := do(t, &p, address, request("body"))
			switch {
			case tc.err != nil:
				must.True(t, errors.As(err, tc.err), must.Sprint(err))
			case tc.failed:
				must.Error(t, err)
			default:
				must.NoError(t, err)
				must.Eq(t, tc.want, got)
			}
			must.Eq(t, tc.kept, len(p.idle[address]) == 1)
		})
	}
}

// TestRequestIsSentUnchanged checks that the backend server receives the method, target,
// host and body as given.
func TestRequestIsSentUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
		req, body, err := readRequest(r)
		if err == nil {
			seen <- req.Method + " " + req.RequestURI + " " + req.Host + " " + body
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\nId: one\r\n\r\n")
	})
	var p Pool
	_, err := do(t, &p, address, request("body"))
	must.NoError(t, err)
	must.Eq(t, "POST /a/b?x=1 h.example body", <-seen)
}

// TestRefusedConnectionIsNotSent checks that a request to a closed port counts as not
// sent, so that it may be retried.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	var p Pool
	_, err := p.Get(t.Context(), "127.0.0.1:1", false)
	var unsent *NotSentError
	must.True(t, errors.As(err, &unsent))
	must.True(t, unsent.Refused)
}

// TestClosedIdleConnectionIsNotUsed checks that a connection closed by the backend
// server while idle, as after its keep-alive timeout, is not reused.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	var p Pool
	for range 5 {
		_, err := do(t, &p, address, request("body"))
		must.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestUnexpectedBytesEndAnIdleConnection sends a second answer while the connection is idle
// and checks that it is not treated as the answer to the next request.
func TestUnexpectedBytesEndAnIdleConnection(t *testing.T) {
	written := make(chan struct{}, 3)
	address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			if _, _, err := readRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 2\r\n\r\nok")
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: one\r\nContent-Length: 3\r\n\r\nbad")
			written <- struct{}{}
		}
	})
	var p Pool
	for range 3 {
		got, err := do(t, &p, address, request("body"))
		must.NoError(t, err)
		must.Eq(t, "ok", got)
		<-written
	}
}

// TestEarlyAnswerEndsTheConnection answers before a long body was read and checks that
// the connection is not reused: the rest of the body would be read as the next request.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nId: one\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(200 * time.Millisecond)
	})
	var p Pool
	_, err := do(t, &p, address, request(strings.Repeat("x", 32<<20)))
	must.NoError(t, err)
	must.MapEmpty(t, p.idle)
}

// TestCancelEndsTheExchange lets the context end while the backend server does not answer,
// and checks that the connection is closed.
func TestCancelEndsTheExchange(t *testing.T) {
	closed := make(chan struct{})
	address := serveRaw(t, func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	var p Pool
	conn, err := p.Get(t.Context(), address, false)
	must.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = p.Do(ctx, conn, request("body"))
	var broken *BrokenError
	must.True(t, errors.As(err, &broken))
	<-closed
}

// TestCancelDiscardsUnsentBytes guards against a request that reaches a backend server after its
// caller has left: the close waited behind bytes that a slow link or backend server held up.
func TestCancelDiscardsUnsentBytes(t *testing.T) {
	// The body fits the buffer of the sender but not that of the receiver.
	const (
		bodyBytes    = 512 << 10
		receiveBytes = 16 << 10
	)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	must.NoError(t, err)
	// Accepted connections inherit it.
	must.NoError(t, raw.Control(func(fd uintptr) {
		must.NoError(t, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes))
	}))
	var p Pool
	conn, err := p.Get(t.Context(), listener.Addr().String(), false)
	must.NoError(t, err)
	backend, err := listener.Accept()
	must.NoError(t, err)
	defer func() { _ = backend.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = p.Do(ctx, conn, request(strings.Repeat("x", bodyBytes)))
	must.Error(t, err)
	received, err := io.Copy(io.Discard, backend)
	must.ErrorIs(t, err, unix.ECONNRESET)
	must.Less(t, bodyBytes, received)
}

// TestKeepAliveHeaderSetsIdleTimeout checks that the margin is subtracted from the backend
// server's timeout, and that a timeout below it allows no reuse.
func TestKeepAliveHeaderSetsIdleTimeout(t *testing.T) {
	c := &Conn{idleTimeout: defaultIdleTimeout}
	c.applyKeepAlive("max=5, timeout=3")
	must.Eq(t, 1500, c.idleTimeout)
	c.applyKeepAlive("timeout=1")
	must.Zero(t, c.idleTimeout)
}

// TestEndlessHeadIsGivenUp has a server send bytes that never become the head of an answer. The
// exchange must end as an invalid answer after a bounded number of bytes, long before its
// deadline, and close the connection.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	const acceptable = 8 * maxHeadBytes
	for _, tc := range []struct{ name, begin, repeat string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header line", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"answers to others", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sent := make(chan int, 1)
			address := serveRaw(t, func(conn net.Conn, r *bufio.Reader) {
				if _, _, err := readRequest(r); err != nil {
					return
				}
				total, err := io.WriteString(conn, tc.begin)
				for err == nil {
					var n int
					n, err = io.WriteString(conn, strings.Repeat(tc.repeat, 1024/len(tc.repeat)+1))
					total += n
					time.Sleep(10 * time.Microsecond)
				}
				sent <- total
			})
			var p Pool
			_, err := do(t, &p, address, request("body"))
			var invalid *InvalidAnswerError
			must.True(t, errors.As(err, &invalid), must.Sprint(err))
			must.MapEmpty(t, p.idle)
			// The kernel's buffers hold some of what was sent and not read.
			must.Less(t, acceptable+16<<20, <-sent)
		})
	}
}
