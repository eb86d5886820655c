package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mangostile/internal/base/quota"
	"mangostile/internal/core/event"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// TestEndlessAnswersAreBoundedTogether guards against an entry VM on serve that runs out of memory when a
// backend server in trouble sends bytes without end in many answers at once. Such an answer counts as
// failed: the request may have run.
func TestEndlessAnswersAreBoundedTogether(t *testing.T) {
	for _, tc := range []struct {
		name, head string
		read       func(a *backendAnswer, p *quota.Pool) error
	}{
		{"head", "HTTP/1.1 200 OK\r\nX-Long: ", func(*backendAnswer, *quota.Pool) error { return nil }},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", func(a *backendAnswer, _ *quota.Pool) error {
			_, err := a.readAll()
			return err
		}},
		{"event", "HTTP/1.1 200 OK\r\n\r\n", func(a *backendAnswer, p *quota.Pool) error {
			s := newAnswerStream(newExchange(nil), event.Dispatch{Request: "r", Adapter: testAdapter}, a, p.Hold("s"))
			defer s.close()
			_, err := s.next()
			return err
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			p := &quota.Pool{Limit: 1 << 20}
			// The first part of each answer, with those of the others, is more than the limit: nobody gets
			// more before that was noticed, so that answers that end early make no room.
			const firstPart = 48 << 10
			awaitRefusal := func() {
				for range 5000 {
					if p.Refused() > 0 {
						return
					}
					time.Sleep(time.Millisecond)
				}
			}
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer func() { _ = conn.Close() }()
						_, err := io.WriteString(conn, tc.head+strings.Repeat("x", firstPart))
						awaitRefusal()
						for err == nil {
							_, err = io.WriteString(conn, strings.Repeat("x", 16<<10))
						}
					}()
				}
			}()
			clients := &backendClients{}
			clients.pool.Memory = p
			var group sync.WaitGroup
			var full atomic.Int32
			for range 40 {
				group.Go(func() {
					address := listener.Addr().String()
					a, err := clients.send(t.Context(), address, newRequest(http.MethodPost, address, "/x", nil), 10*time.Second, true)
					if err == nil {
						err = tc.read(a, p)
						a.release()
					}
					var noMemory *quota.FullError
					if errors.As(err, &noMemory) {
						full.Add(1)
						must.Eq(t, event.ResultFailed, resultOfError(err))
					}
				})
			}
			group.Wait()
			must.Positive(t, p.Refused())
			must.True(t, full.Load() > 0 || tc.name == "head")
			must.Zero(t, p.Used())
		})
	}
}
