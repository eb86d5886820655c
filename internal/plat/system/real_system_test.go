package system

import (
	"bufio"
	"net"
	"sync"
	"testing"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// flakyServer answers a number of requests on each connection and closes the connection
// when it has read the next one. It counts the requests that it read, each of which may
// have had an effect.
type flakyServer struct {
	listener net.Listener
	answer   string
	// answerLimit is the number of requests that it answers on one connection.
	answerLimit int

	mu       sync.Mutex
	requests int
}

func startFlaky(t *testing.T, answer string, answerLimit int) *flakyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &flakyServer{listener: listener, answer: answer, answerLimit: answerLimit}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { s.serve(conn) })
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *flakyServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		s.mu.Lock()
		s.requests++
		s.mu.Unlock()
		if i >= s.answerLimit {
			return
		}
		_, _ = conn.Write([]byte(s.answer))
	}
}

func (s *flakyServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// closedAddress is an address without a listener. Its port is never assigned to a
// listener dynamically.
const closedAddress = "127.0.0.1:1"

const (
	goodAnswer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	busyAnswer = "HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
)

// calls returns the methods that change outside state, by name. Each one reports whether
// the call succeeded, and whether its error guarantees that it had no effect.
func calls(s *RealSystem, address string) map[string]func(t *testing.T) (ok, noEffect bool) {
	return map[string]func(t *testing.T) (ok, noEffect bool){
		"append": func(t *testing.T) (ok, noEffect bool) {
			_, err := s.AppendRecords(t.Context(), "config", []NewRecord{{ID: "r1", Body: []byte("x")}})
			var noEffectErr *NoEffectError
			return err == nil, errors.As(err, &noEffectErr)
		},
		"order": func(t *testing.T) (ok, noEffect bool) {
			order := event.Order{Kind: event.OrderLoad, Adapter: units.AdapterVersion{Adapter: "braid", Version: "v1"}}
			result := s.OrderServer(t.Context(), address, order)
			return result.Kind == event.OrderAccepted, result.Kind == event.OrderNotSent
		},
	}
}

// TestCallsAreNeverRepeated closes a reused connection during a call. It checks that the
// call is not retried and that its error does not claim that it had no effect.
func TestCallsAreNeverRepeated(t *testing.T) {
	for _, name := range []string{"append", "order"} {
		t.Run(name, func(t *testing.T) {
			server := startFlaky(t, goodAnswer, 1)
			address := server.listener.Addr().String()
			s := NewRealSystem(address, "")
			call := calls(s, address)[name]
			ok, _ := call(t)
			must.True(t, ok)
			ok, noEffect := call(t)
			must.False(t, ok)
			must.False(t, noEffect)
			must.Eq(t, 2, server.count())
		})
	}
}

// TestCallsWithoutEffectSaySo checks that the error of a call guarantees that it had no
// effect if nothing listens at the address or if the answer has status 503.
func TestCallsWithoutEffectSaySo(t *testing.T) {
	for _, name := range []string{"append", "order"} {
		t.Run(name+"/nothing listens", func(t *testing.T) {
			ok, noEffect := calls(NewRealSystem(closedAddress, ""), closedAddress)[name](t)
			must.False(t, ok)
			must.True(t, noEffect)
		})
		t.Run(name+"/refused as busy", func(t *testing.T) {
			server := startFlaky(t, busyAnswer, 1)
			address := server.listener.Addr().String()
			ok, noEffect := calls(NewRealSystem(address, ""), address)[name](t)
			must.False(t, ok)
			must.True(t, noEffect)
		})
	}
}
