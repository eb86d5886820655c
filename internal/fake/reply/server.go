package reply

import (
	"net"
	"sync"

	"mangostile/internal/fake/port"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxBodyBytes is the maximum length of a request body, in bytes.
const maxBodyBytes = 64 << 20

// Server is an HTTP server that can be stopped and restarted on the same address.
type Server struct {
	handler fasthttp.RequestHandler
	address string

	mu       sync.Mutex
	listener net.Listener
	// conns holds the open connections, so that Stop can close them.
	conns map[net.Conn]bool
	// done is closed at the end of the accept loop. It is nil while the server is stopped.
	done chan struct{}
	// reserved holds the address while the server is stopped.
	reserved port.Reservation
}

// Listen starts a server on address, which may end in ":0" for any free port.
func Listen(address string, handler fasthttp.RequestHandler) (*Server, error) {
	s := &Server{handler: handler, address: address}
	if err := s.Restart(); err != nil {
		return nil, err
	}
	s.address = s.Address()
	return s, nil
}

// Restart starts the server again after a Stop. It does nothing if the server runs.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done != nil {
		return nil
	}
	s.reserved.Release()
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "stand-in listen: choose a free address")
	}
	server := &fasthttp.Server{
		Handler: s.handler, Name: "standin", NoDefaultDate: true, MaxRequestBodySize: maxBodyBytes, ConnState: s.track,
		Logger: discardLogger{},
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

// Address returns the host and port on which s listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// Stop refuses new connections, closes the open ones and waits for the accept loop to end. The
// address stays reserved until Restart or Close.
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
	// Without the reservation another process may get the address.
	_ = s.reserved.Reserve(s.listener.Addr().String())
	s.mu.Unlock()
	<-done
}

// Close calls Stop and releases the address.
func (s *Server) Close() {
	s.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved.Release()
}

// discardLogger drops the HTTP server's messages, because a stand-in breaks connections on
// purpose.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
