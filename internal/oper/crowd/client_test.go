package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Times of the crowd and of ordinary callers.
const (
	// sendTime is how long a client of the crowd sends and reads at most; then it stays as it is.
	sendTime = 3 * time.Second
	// ordinaryPatience is how long an ordinary caller retries.
	ordinaryPatience = 20 * time.Second
	ordinaryTimeout  = 3 * time.Second
	// stayTime is how long the crowd stays at least, once each client has done its part.
	stayTime    = time.Second
	slowPause   = 100 * time.Millisecond
	watchPeriod = 20 * time.Millisecond
)

var requests atomic.Int64

// head returns the head of a request, with extra header lines.
func (p *target) head(method, path, extra string) string {
	number := strconv.FormatInt(requests.Add(1), 10)
	return method + " " + path + " HTTP/1.1\r\n" + strings.ReplaceAll(p.headers, "NUMBER", number) + extra + "\r\n"
}

// tryOrdinary makes one ordinary request on a new connection, and reports whether it was served.
func (p *target) tryOrdinary() bool {
	return p.served(p.head("POST", p.path, "Content-Length: 100\r\nConnection: close\r\n") + strings.Repeat("x", 100))
}

// served reports whether a request is answered with 200 and a whole body.
func (p *target) served(request string) bool {
	conn, err := net.DialTimeout("tcp4", p.front, ordinaryTimeout)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// mustServe fails the test unless an ordinary caller, who retries, is served.
func (p *target) mustServe(t *testing.T, when string) {
	t.Helper()
	for end := time.Now().Add(ordinaryPatience); !p.ready() || !p.tryOrdinary(); time.Sleep(watchPeriod) {
		p.mustLive(t)
		if time.Now().After(end) {
			t.Errorf("%s: an ordinary request was not served", when)
			return
		}
	}
}

// mustServeLegal checks that single requests as large as the limits allow are served in calm.
func (p *target) mustServeLegal(t *testing.T) {
	t.Helper()
	for what, request := range map[string]string{
		"largest body": p.head("POST", p.path, fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)) + body,
		"many fields":  p.head("POST", p.path, shortFields(60<<10)+"Content-Length: 1\r\n") + "x",
	} {
		for end := time.Now().Add(ordinaryPatience); !p.served(request); time.Sleep(watchPeriod) {
			p.mustLive(t)
			t.Log(what, "was not served at once:", p.lastLog())
			must.True(t, time.Now().Before(end), must.Sprint(what, "was not served"))
		}
	}
}

// client is one client of a crowd. It returns once it has done its part; its connection stays open.
type client struct {
	address string
	act     func(conn net.Conn)
}

// run starts the crowd, checks the bounds while it stays, and after it has left.
func (p *target) run(t *testing.T, crowd []client) {
	t.Helper()
	p.mustServeLegal(t)
	var mu sync.Mutex
	var open []net.Conn
	var group sync.WaitGroup
	gate := make(chan struct{}, 64)
	for _, c := range crowd {
		group.Go(func() {
			gate <- struct{}{}
			conn, err := dial(c.address)
			<-gate
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(sendTime))
			c.act(conn)
		})
	}
	descriptors := p.watchDescriptors()
	group.Wait()
	// The process may still be at work on what was sent.
	time.Sleep(stayTime)
	p.mustLive(t)
	p.mustServe(t, "beside the crowd")
	mu.Lock()
	for _, conn := range open {
		_ = conn.Close()
	}
	mu.Unlock()
	p.mustServe(t, "after the crowd")
	p.mustLive(t)
	peak, most := p.peakMB(t), descriptors()
	t.Logf("peak memory %d MB of %d, descriptors %d of %d", peak, memoryMB, most, maxDescriptors)
	if peak > memoryMB {
		t.Errorf("memory: %d MB, more than %d", peak, memoryMB)
	}
	// With all descriptors taken, the process can neither accept callers nor reach backend servers.
	if most >= maxDescriptors {
		t.Errorf("descriptors: %d, all of them", most)
	}
}

// body is a body of the largest legal length.
var body = strings.Repeat("x", maxBodyBytes)

// shortFields returns header lines of n bytes in all, as short as distinct ones can be.
func shortFields(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		b.WriteString("h" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()
}

// inPieces sends text in pieces of n bytes until the connection's deadline.
func inPieces(conn net.Conn, text string, n int, pause time.Duration) {
	for len(text) > 0 {
		size := min(n, len(text))
		if _, err := io.WriteString(conn, text[:size]); err != nil {
			return
		}
		text = text[size:]
		time.Sleep(pause)
	}
}

// inChunks returns text as chunks of n bytes, each with an extension, without the last chunk.
func inChunks(text string, n int, extension string) string {
	var b strings.Builder
	for len(text) > 0 {
		size := min(n, len(text))
		fmt.Fprintf(&b, "%x%s\r\n%s\r\n", size, extension, text[:size])
		text = text[size:]
	}
	return b.String()
}

// readSlowly reads a byte at a time until the connection's deadline.
func readSlowly(conn net.Conn) {
	for buf := make([]byte, 1); ; time.Sleep(slowPause) {
		if _, err := conn.Read(buf); err != nil {
			return
		}
	}
}
