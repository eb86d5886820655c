package engine

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mangostile/internal/fake/reply"

	"github.com/shoenig/test/must"
)

// readStream sends a request for a stream and returns all bytes of the answer up to the end
// of the connection.
func readStream(address string) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", err
	}
	body := `{"model":"braid@v1","prompt":"one two","stream":true,"max_tokens":10}`
	if _, err := fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// TestBrokenStreamHasItsTokens breaks streams after three tokens while many run at once, and
// checks that each has sent these three, and not the end of its body, before its connection
// closes.
func TestBrokenStreamHasItsTokens(t *testing.T) {
	const callers, each = 32, 25
	e := newTestEngine(t, Options{StepTime: time.Millisecond, StepPerRequest: time.Nanosecond})
	e.BatchMax = callers
	e.SetFaults(Faults{BreakAfterTokens: 3})
	server, err := reply.Listen("127.0.0.1:0", e.Handle)
	must.NoError(t, err)
	t.Cleanup(server.Close)
	var wg sync.WaitGroup
	answers := make(chan string, callers*each)
	for range callers {
		wg.Go(func() {
			for range each {
				answer, err := readStream(server.Address())
				if err != nil {
					answer = err.Error()
				}
				answers <- answer
			}
		})
	}
	wg.Wait()
	close(answers)
	for answer := range answers {
		must.Eq(t, 3, strings.Count(answer, "data: "), must.Sprint(answer))
		must.False(t, strings.HasSuffix(answer, "0\r\n\r\n"), must.Sprint(answer))
	}
}
