package system

import (
	"context"
	"sync/atomic"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// DryRunSystem is a System that reads as the embedded one does and changes
// nothing. It counts the changes that it held back.
type DryRunSystem struct {
	System
	heldBack atomic.Int64
}

var _ System = (*DryRunSystem)(nil)

// NewDryRunSystem returns a dry run of system.
func NewDryRunSystem(system System) *DryRunSystem {
	return &DryRunSystem{System: system}
}

// HeldBack returns the number of changes that were not made.
func (s *DryRunSystem) HeldBack() int64 { return s.heldBack.Load() }

// AppendRecords implements System. It takes no record.
func (s *DryRunSystem) AppendRecords(context.Context, units.StreamName, []NewRecord) (units.Offset, error) {
	s.heldBack.Add(1)
	return 0, &NotTakenError{What: "append", Err: errDryRun}
}

// OrderServer implements System. It sends no order.
func (s *DryRunSystem) OrderServer(context.Context, string, event.Order) event.OrderResult {
	s.heldBack.Add(1)
	return event.OrderResult{Kind: event.OrderNotSent, Reason: errDryRun.Error()}
}

// dryRunError says why a dry run makes no change.
type dryRunError struct{}

// Error implements error.
func (dryRunError) Error() string { return "this is a dry run: start without it to make changes" }

var errDryRun = dryRunError{}
