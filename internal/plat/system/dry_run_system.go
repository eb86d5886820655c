package system

import (
	"context"
	"sync/atomic"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// DryRunSystem is a System that passes reads on to the embedded one and suppresses all
// changes, which it counts.
type DryRunSystem struct {
	System
	suppressed atomic.Int64
}

var _ System = (*DryRunSystem)(nil)

// NewDryRunSystem returns a DryRunSystem that reads from system.
func NewDryRunSystem(system System) *DryRunSystem {
	return &DryRunSystem{System: system}
}

// Suppressed returns the number of changes that were suppressed.
func (s *DryRunSystem) Suppressed() int64 { return s.suppressed.Load() }

// AppendRecords implements System. It appends nothing and returns a NoEffectError.
func (s *DryRunSystem) AppendRecords(context.Context, units.StreamName, []NewRecord) (units.Offset, error) {
	s.suppressed.Add(1)
	return 0, &NoEffectError{Op: "append", Err: errDryRun}
}

// OrderServer implements System. It sends nothing and reports event.OrderNotSent.
func (s *DryRunSystem) OrderServer(context.Context, string, event.Order) event.OrderResult {
	s.suppressed.Add(1)
	return event.OrderResult{Kind: event.OrderNotSent, Reason: errDryRun.Error()}
}

// dryRunError is the reason that a dry run gives for a suppressed change.
type dryRunError struct{}

// Error implements error.
func (dryRunError) Error() string { return "this is a dry run: start without it to make changes" }

var errDryRun = dryRunError{}
