package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// headerSystem reads every request as r1.
type headerSystem struct{ System }

// ReadRequest implements Headers.
func (headerSystem) ReadRequest(http.Header) (RequestHead, error) {
	return RequestHead{ID: "r1", Timeout: clock.Second}, nil
}

// TestNothingIsAcceptedWhileTheProcessIsLate guards against runs that outlive their callers because
// the process accepts more than it can attend to. The load is a burst on a machine short of
// processor time.
func TestNothingIsAcceptedWhileTheProcessIsLate(t *testing.T) {
	period := clock.FromDuration(watchPeriod)
	for _, tc := range []struct {
		name string
		// delay was measured before since; it is negative if nothing was measured yet.
		delay, since clock.Millis
		refused      bool
	}{
		{"not measured yet", -1, 0, false},
		{"in time", 0, period, false},
		{"a little late", DefaultMaxDelay - 1, period, false},
		{"late", DefaultMaxDelay, 0, true},
		{"in time, and the next measurement a little late", 0, period + DefaultMaxDelay - 1, false},
		{"in time, and the next measurement overdue", 0, period + DefaultMaxDelay, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := clock.NewManual(clock.Hour)
			n := New(Options{Settings: Settings{ID: "vm0", MaxDelay: DefaultMaxDelay}, System: headerSystem{}, Clock: now})
			n.config.Store(&topo.Config{Version: 1, Routes: []topo.Route{{Name: "look", Host: "h", PathPrefix: "/look/", Kind: topo.KindIdempotent, Shares: []topo.Share{{Service: "stock", Weight: 1}}}}})
			n.ready.Store(true)
			if tc.delay >= 0 {
				n.noteDelay(tc.delay.Duration())
			}
			now.Advance(tc.since)
			recorder := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, "/look/x", nil)
			r.Host = "h"
			c := &exchange{node: n, w: recorder, r: r, arrived: now.Now()}
			must.Eq(t, !tc.refused, c.admit())
			if tc.refused {
				must.Eq(t, http.StatusServiceUnavailable, recorder.Code)
				must.NotEq(t, "", recorder.Header().Get("Retry-After"))
			}
		})
	}
}

// TestDelayIsMeasured checks that the delay is measured, without a limit that a busy test machine
// may exceed.
func TestDelayIsMeasured(t *testing.T) {
	// In real time, a machine short of processor time measures later.
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Settings: Settings{ID: "vm0"}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = n.watchCallers(ctx) }()
		time.Sleep(watchPeriod - time.Nanosecond)
		must.Eq(t, 0, n.delay.at.Load())
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		must.NotEq(t, 0, n.delay.at.Load())
	})
}
