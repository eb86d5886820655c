package edge

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// TestDeadlineCountsFromTheArrival guards against runs that outlive their callers' deadlines: the
// deadline of a request that waited to be read counted only from then on.
func TestDeadlineCountsFromTheArrival(t *testing.T) {
	const (
		deadline = 3 * clock.Second
		wait     = 400 * time.Millisecond
		// slack is for the kernel's clock and the way to the entry VM.
		slack = 50 * clock.Millis(1)
	)
	backend := startRaw(t, script{answer: httpAnswer(fasthttp.StatusOK, "<id>", "{}"), delay: wait})
	h := newHarness(t, backend.listener.Addr().String(), Options{})
	conn, err := net.Dial("tcp", h.address)
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	request := fmt.Sprintf("POST /services/ledger/stock HTTP/1.1\r\nHost: h\r\n%s: %d\r\nContent-Length: 2\r\n\r\n{}", HeaderDeadline, deadline)
	_, err = conn.Write([]byte(strings.Repeat(request, 2)))
	must.NoError(t, err)
	remaining := func() clock.Millis { return (<-h.arrived).Request.Deadline - h.edge.options.Clock.Now() }
	must.LessEq(t, deadline, remaining())
	must.LessEq(t, deadline-clock.FromDuration(wait)+slack, remaining())
}
