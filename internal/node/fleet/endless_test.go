package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// answeringSystem takes every answer for the one to the request at hand.
type answeringSystem struct{ System }

// ReadAnswer implements Headers.
func (answeringSystem) ReadAnswer(int, http.Header) AnswerHead {
	return AnswerHead{ID: "r", Stamped: true}
}

// WriteAttempt implements Headers.
func (answeringSystem) WriteAttempt(http.Header, AttemptHead) {}

// endlessServer answers every request with a head and then bytes without end.
func endlessServer(t *testing.T, head string) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	chunk := strings.Repeat("x", 64<<10)
	if strings.Contains(head, "chunked") {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, err := io.WriteString(conn, head)
				for err == nil {
					_, err = io.WriteString(conn, chunk)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// newAttempt returns an attempt at the server at an address.
func newAttempt(t *testing.T, n *Node, route *topo.Route, address string) *attempt {
	t.Helper()
	ctx, cancel := context.WithCancelCause(t.Context())
	c := &exchange{
		node: n, w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodGet, "/x", nil), route: route, head: RequestHead{ID: "r"},
		req: choose.Request{ID: "r", Route: route, Service: "plain", Deadline: n.clock.Now() + 20*clock.Second},
	}
	return &attempt{exchange: c, to: choose.Send{Server: "s1", Address: address}, ctx: ctx, cancel: cancel}
}

// peakHeap samples the heap until it is stopped, and returns the peak of its size, and that of what was in use
// at a garbage collection.
func peakHeap() (stop func() (size, live units.Bytes)) {
	var peak, peakLive atomic.Uint64
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(2 * time.Millisecond)
		defer ticker.Stop()
		live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			metrics.Read(live)
			peak.Store(max(peak.Load(), m.HeapAlloc))
			peakLive.Store(max(peakLive.Load(), live[0].Value.Uint64()))
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	})
	return func() (size, live units.Bytes) {
		close(done)
		group.Wait()
		return units.Bytes(peak.Load()), units.Bytes(peakLive.Load())
	}
}

// TestEndlessAnswersLeaveMemory guards against a process that runs out of memory, and ends with the
// requests of all callers, when a backend server in trouble sends bytes without end in many answers at
// once.
func TestEndlessAnswersLeaveMemory(t *testing.T) {
	const memoryMB, attempts = 284, 400
	// The garbage collector has the limit that the entry VM's process gives it.
	limit := units.Bytes(memoryMB) << 20 * 7 / 10
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(limit)))
	for _, tc := range []struct {
		name, head string
		kind       topo.Kind
	}{
		{"head", "HTTP/1.1 200 OK\r\nX-Long: ", topo.KindIdempotent},
		{"body that ends with the connection", "HTTP/1.1 200 OK\r\n\r\n", topo.KindIdempotent},
		{"body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", topo.KindIdempotent},
		{"failure", "HTTP/1.1 500 Error\r\n\r\n", topo.KindIdempotent},
		{"event", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", topo.KindStream},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := New(Options{Settings: Settings{ID: "vm0", Region: "r", MemoryMB: memoryMB, Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: answeringSystem{}})
			address := endlessServer(t, tc.head)
			route := &topo.Route{Kind: tc.kind, MaxAttempts: 2}
			runtime.GC()
			stop := peakHeap()
			var group sync.WaitGroup
			var over atomic.Int32
			for range attempts {
				a := newAttempt(t, n, route, address)
				group.Go(func() {
					if _, ended := a.run(); ended {
						over.Add(1)
					}
					a.release()
				})
			}
			group.Wait()
			size, live := stop()
			// The collector may exceed its limit for a moment, but can keep it only if less is in use.
			must.Less(t, limit, live)
			must.Less(t, units.Bytes(memoryMB)<<20, size)
			must.Zero(t, over.Load())
			must.Zero(t, n.memory.Used())
		})
	}
}
