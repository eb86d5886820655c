package reply

import (
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxBodyBytes is the greatest length of a request to a stand-in.
const maxBodyBytes = 64 << 20

// Server is one HTTP server on an address of its own.
type Server struct {
	handler fasthttp.RequestHandler
	address string

	mu       sync.Mutex
	listener net.Listener
	// conns holds the open connections, so that a stop can close them.
	conns map[net.Conn]bool
	// done is closed once the accept loop has ended.
	done chan struct{}
}

// Listen starts to answer on address, which may end in ":0".
func Listen(address string, handler fasthttp.RequestHandler) (*Server, error) {
	s := &Server{handler: handler, address: address}
	if err := s.Restart(); err != nil {
		return nil, err
	}
	s.address = s.Address()
	return s, nil
}

// Restart starts to answer again after a Stop. It does nothing to a server that
// answers.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "stand-in listen: choose a free address")
	}
	server := &fasthttp.Server{
		Handler: s.handler, Name: "standin", NoDefaultDate: true, MaxRequestBodySize: maxBodyBytes, ConnState: s.track,
		Logger: noLog{},
	}
	done := make(chan struct{})
	s.listener, s.conns, s.done = listener, map[net.Conn]bool{}, done
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	return nil
}

func (s *Server) track(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[conn] = true
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, conn)
	}
}

// Address returns the host and port that s listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Stop refuses new connections and closes those that are open.
func (s *Server) Stop() {
	s.mu.Lock()
	done := s.done
	s.done = nil
	if done == nil {
		s.mu.Unlock()
		return
	}
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	<-done
}

// Close is Stop.
func (s *Server) Close() { s.Stop() }

// noLog drops the HTTP server's messages: a stand-in breaks connections on
// purpose.
type noLog struct{}

// Printf implements fasthttp.Logger.
func (noLog) Printf(string, ...any) {}
