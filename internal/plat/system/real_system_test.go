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

// flakyServer answers each request on a connection but the last, under which it
// closes the connection. It counts the requests that it read: each may have had
// an effect.
type flakyServer struct {
	listener net.Listener
	answer   string
	// answered is the number of requests of a connection that get an answer.
	answered int

	mu   sync.Mutex
	runs int
}

func startFlaky(t *testing.T, answer string, answered int) *flakyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &flakyServer{listener: listener, answer: answer, answered: answered}
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
		s.runs++
		s.mu.Unlock()
		if i >= s.answered {
			return
		}
		_, _ = conn.Write([]byte(s.answer))
	}
}

func (s *flakyServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// closedAddress is one that nothing listens on: a port that no listener is given
// by chance.
const closedAddress = "127.0.0.1:1"

const (
	goodAnswer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	busyAnswer = "HTTP/1.1 503 Busy\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
)

// calls are the calls that change something outside, each as whether its error
// says that it had no effect.
func calls(s *RealSystem, address string) map[string]func(t *testing.T) (ok, saysNot bool) {
	return map[string]func(t *testing.T) (ok, saysNot bool){
		"append": func(t *testing.T) (ok, saysNot bool) {
			_, err := s.AppendRecords(t.Context(), "config", []NewRecord{{ID: "r1", Body: []byte("x")}})
			var notTaken *NotTakenError
			return err == nil, errors.As(err, &notTaken)
		},
		"order": func(t *testing.T) (ok, saysNot bool) {
			order := event.Order{Kind: event.OrderLoad, Adapter: units.AdapterVersion{Adapter: "braid", Version: "v1"}}
			result := s.OrderServer(t.Context(), address, order)
			return result.Kind == event.OrderAccepted, result.Kind == event.OrderNotSent
		},
	}
}

// TestCallsAreNeverRepeated breaks a kept connection under a call and checks that
// it was sent once and is not said to have had no effect.
func TestCallsAreNeverRepeated(t *testing.T) {
	for _, name := range []string{"append", "order"} {
		t.Run(name, func(t *testing.T) {
			server := startFlaky(t, goodAnswer, 1)
			address := server.listener.Addr().String()
			s := NewRealSystem(address, "")
			call := calls(s, address)[name]
			ok, _ := call(t)
			must.True(t, ok)
			ok, saysNot := call(t)
			must.False(t, ok)
			must.False(t, saysNot)
			must.Eq(t, 2, server.count())
		})
	}
}

func TestCallsThatSurelyHadNoEffectSaySo(t *testing.T) {
	for _, name := range []string{"append", "order"} {
		t.Run(name+"/nothing listens", func(t *testing.T) {
			ok, saysNot := calls(NewRealSystem(closedAddress, ""), closedAddress)[name](t)
			must.False(t, ok)
			must.True(t, saysNot)
		})
		t.Run(name+"/refused as busy", func(t *testing.T) {
			server := startFlaky(t, busyAnswer, 1)
			address := server.listener.Addr().String()
			ok, saysNot := calls(NewRealSystem(address, ""), address)[name](t)
			must.False(t, ok)
			must.True(t, saysNot)
		})
	}
}
