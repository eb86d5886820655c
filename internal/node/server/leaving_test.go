package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"

	"github.com/shoenig/test/must"
)

// endListener calls atEnd, if it is set, before it is closed.
type endListener struct {
	net.Listener
	atEnd chan func()
}

// Close implements net.Listener.
func (l *endListener) Close() error {
	select {
	case atEnd := <-l.atEnd:
		atEnd()
	default:
	}
	return l.Listener.Close()
}

// rawCaller is a caller that writes and reads the bytes of requests and answers itself.
type rawCaller struct {
	net.Conn
	r *bufio.Reader
}

func (n *node) dial(t *testing.T) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(n.serve, "http://"))
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &rawCaller{Conn: conn, r: bufio.NewReader(conn)}
}

func (c *rawCaller) write(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	must.NoError(t, err)
}

func (c *rawCaller) readAnswer(t *testing.T) int {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	must.NoError(t, err, must.Sprint("the connection ended without an answer"))
	_, err = io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// TestRequestsAtTheEndOfLeavingAreAnswered guards against connections that a leaving entry VM
// closes although a request, or a part of one, was received on them.
func TestRequestsAtTheEndOfLeavingAreAnswered(t *testing.T) {
	t.Parallel()
	body := streamOf(3)
	request := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testToken, len(body), body)
	head, rest, _ := strings.Cut(request, "Authorization")
	// afterNotice is a moment after the entry VM has begun to refuse requests.
	const afterNotice = 2 * time.Second
	for _, tc := range []struct {
		name string
		// kept is true if the connection had a request before.
		kept bool
		// atEnd is true if the request is sent while the listener is closed, otherwise a part
		// of it is sent before.
		atEnd bool
	}{
		{"on a new connection while the listener is closed", false, true},
		{"on a kept connection while the listener is closed", true, true},
		{"partly received on a new connection", false, false},
		{"partly received on a kept connection", true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			l := &endListener{atEnd: make(chan func(), 1)}
			n := startNode(t, func(o *Options) {
				l.Listener = o.ServeListener
				o.ServeListener = l
			})
			caller := n.dial(t)
			if tc.kept {
				caller.write(t, request)
				must.Eq(t, http.StatusOK, caller.readAnswer(t))
			}
			if tc.atEnd {
				l.atEnd <- func() {
					caller.write(t, request)
					time.Sleep(50 * time.Millisecond)
				}
				n.server.Leave()
			} else {
				caller.write(t, head)
				n.server.Leave()
				time.Sleep(afterNotice)
				caller.write(t, "Authorization"+rest)
			}
			must.Eq(t, http.StatusServiceUnavailable, caller.readAnswer(t))
			n.stop()
		})
	}
}

// TestLeaveOutlastsAFullQueue guards against a signal to stop that is lost because the core was
// busy and its queue full.
func TestLeaveOutlastsAFullQueue(t *testing.T) {
	t.Parallel()
	n := startNode(t, func(*Options) {})
	busy, release := make(chan bool), make(chan bool)
	go n.server.Query(context.Background(), func(*entry.Core) {
		close(busy)
		<-release
	})
	<-busy
	for n.server.Submit(event.Tick{}) {
	}
	time.AfterFunc(3*leaveRetryPeriod, func() { close(release) })
	n.server.Leave()
	select {
	case <-n.server.leaveDone:
	case <-time.After(testTimeout):
		t.Fatal("the entry VM does not leave")
	}
	n.stop()
}
