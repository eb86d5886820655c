// Package reply holds what all stand-ins need to answer over HTTP.
package reply

import (
	"encoding/json"
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// JSON answers with a status and a value.
func JSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// Error is the body of an answer that is not a success.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	// Ran is "no" if the request surely did not run.
	Ran string `json:"ran,omitempty"`
}

// Refuse answers with an error body.
func Refuse(ctx *fasthttp.RequestCtx, status int, code, message string) {
	JSON(ctx, status, struct {
		Error Error `json:"error"`
	}{Error{Code: code, Message: message, Ran: "no"}})
}

// Server is one HTTP server on a listener of its own.
type Server struct {
	server   fasthttp.Server
	listener net.Listener
	done     chan struct{}
}

// Listen starts to answer on address, which may end in ":0".
func Listen(address string, handler fasthttp.RequestHandler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in listen: choose a free address")
	}
	s := &Server{listener: listener, done: make(chan struct{})}
	s.server = fasthttp.Server{Handler: handler, Name: "standin", NoDefaultDate: true, MaxRequestBodySize: 64 << 20}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(listener)
	}()
	return s, nil
}

// Address returns the host and port that s listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops listening and waits for the accept loop.
func (s *Server) Close() {
	_ = s.listener.Close()
	<-s.done
}
