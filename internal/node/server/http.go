package server

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/node/door"
	"mangostile/internal/node/edge"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// HTTPLimits bound the resources that one HTTP connection can use. For each, 0 selects
// the default of package edge.
type HTTPLimits struct {
	MaxBody   units.Bytes
	MaxHeader units.Bytes
	// ReadTimeout bounds the time in which a whole request arrives, WriteTimeout the
	// time in which the caller reads a whole answer or one part of a stream.
	ReadTimeout  time.Duration
	WriteTimeout time.Duration
	// Callers bounds the connections of callers. Its zero values select what descriptors and memory allow,
	// and the defaults of package door.
	Callers door.Limits
}

const idleTimeout = 60 * time.Second

func withTLS(listener net.Listener, cfg *tls.Config) net.Listener {
	if cfg == nil {
		return listener
	}
	return tls.NewListener(listener, cfg)
}

// serveHTTP runs an HTTP server until ctx is done, and then waits up to
// shutdownTimeout for open answers.
func (s *Server) serveHTTP(ctx context.Context, group *errgroup.Group, listener net.Listener, handler fasthttp.RequestHandler) {
	limits := s.options.HTTP
	server := &fasthttp.Server{
		Handler: s.guardHandler(s.withBody(handler)), ErrorHandler: s.edge.HandleError, Name: "mangostile", NoDefaultDate: true, CloseOnShutdown: true,
		StreamRequestBody: true, DisablePreParseMultipartForm: true, MaxRequestBodySize: bodyPrefetch,
		ReadBufferSize: int(cmp.Or(limits.MaxHeader, edge.DefaultMaxHeaderBytes)),
		ReadTimeout:    cmp.Or(limits.ReadTimeout, edge.DefaultReadTimeout),
		WriteTimeout:   cmp.Or(limits.WriteTimeout, edge.DefaultWriteTimeout),
		IdleTimeout:    idleTimeout,
		Logger:         hclogPrinter{s.options.Logger},
	}
	group.Go(func() error { return errors.Wrap(server.Serve(listener), "serve HTTP") })
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.ShutdownWithContext(shutdownCtx)
		return nil
	})
}

// hclogPrinter logs the HTTP server's messages at debug level.
type hclogPrinter struct{ logger hclog.Logger }

// Printf implements fasthttp.Logger.
func (p hclogPrinter) Printf(format string, args ...any) {
	p.logger.Debug("http_server", "text", errors.Errorf(format, args...).Error())
}
