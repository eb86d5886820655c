// Package call provides HTTP clients and TCP connections to other machines. Its clients
// send each call at most once and report which calls were certainly not sent.
package call

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// DialTimeout is the maximum time that a call spends on opening a connection before it
// sends its first byte.
const DialTimeout = time.Second

// maxIdleDuration is the maximum time that a connection is kept open between two calls.
const maxIdleDuration = 30 * time.Second

// maxAnswerBytes bounds the body of an answer that is read in full. Clients that stream
// answers have to set another bound.
const maxAnswerBytes = 16 << 20

// NewClient returns a client that never retries a call and opens at most maxConns
// connections to one address.
func NewClient(maxConns int) fasthttp.Client {
	return fasthttp.Client{
		Name:                      "mangostile",
		MaxConnsPerHost:           maxConns,
		MaxIdleConnDuration:       maxIdleDuration,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
		MaxResponseBodySize:       maxAnswerBytes,
		Dial:                      dial,
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialError reports that no connection could be opened.
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

// NotSent reports whether err, returned by a client of this package, guarantees that no
// byte of the call was sent.
func NotSent(err error) bool {
	var notDialed *dialError
	return errors.As(err, &notDialed) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
