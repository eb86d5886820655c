// Package call makes HTTP clients that send each call at most once and tell what
// surely was not sent.
package call

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// DialTimeout is the longest time that a call spends on opening a connection
// before its first byte.
const DialTimeout = time.Second

// maxIdleConn is how long a connection is kept between two calls.
const maxIdleConn = 30 * time.Second

// NewClient returns a client that never sends a call again by itself, with at
// most maxConns connections to one address.
func NewClient(maxConns int) fasthttp.Client {
	return fasthttp.Client{
		Name:                      "mangostile",
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       maxIdleConn,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		Dial:                      dial,
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialError tells that no connection could be opened.
type dialError struct{ err error }

// Error implements error.
func (e *dialError) Error() string { return "dial: " + e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

func dial(address string) (net.Conn, error) {
	conn, err := Dial(address, DialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

// NotSent reports whether err, of a client of this package, tells that no byte
// of the call was sent.
func NotSent(err error) bool {
	var notDialed *dialError
	return errors.As(err, &notDialed) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
