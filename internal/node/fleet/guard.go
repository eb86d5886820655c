package fleet

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"mangostile/internal/core/choose"

	"github.com/pkg/errors"
)

// A panic in one request or message must not end the process, which has many others in
// flight. Every goroutine of a Node recovers here, and the core is only used through withCore,
// so that a panic in it does not leave its lock held.

// errPanic is the error of a call that panicked.
var errPanic = errors.New("the call failed unexpectedly: see panic_recovered in the log")

// withCore calls f with the core while its lock is held.
func (n *Node) withCore(f func(core *choose.Core)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n.core)
}

// guard calls f and logs a panic in it. where names what f handles. It reports whether f
// returned.
func (n *Node) guard(where string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			n.logPanic(where, cause)
		}
	}()
	f()
	return true
}

// guardRequest is to be deferred by the handler of a request. It logs a panic other than
// http.ErrAbortHandler and has the HTTP server close the caller's connection, which tells
// nothing about whether the request ran.
func (n *Node) guardRequest() {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		n.logPanic("request", cause)
	}
	panic(http.ErrAbortHandler)
}

func (n *Node) logPanic(where string, cause any) {
	n.log.Error("panic_recovered", "where", where, "cause", cause, "stack", string(debug.Stack()), "remedy", "report this line; the process goes on")
}

// every calls a guarded step each period until ctx is done. The error is always nil.
func (n *Node) every(ctx context.Context, period time.Duration, what string, step func(ctx context.Context)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			n.guard(what, func() { step(ctx) })
		}
	}
}
