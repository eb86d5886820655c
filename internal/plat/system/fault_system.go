package system

import (
	"context"
	"sync"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/pkg/errors"
)

// Faults says which calls of a FaultSystem fail. The zero value lets all pass.
type Faults struct {
	// LogDown fails all calls to the log service before they have an effect.
	LogDown bool
	// LoseAppendAnswers lets appends take effect and loses their answers.
	LoseAppendAnswers bool
	// LoseOrderAnswers lets orders take effect and loses their answers.
	LoseOrderAnswers bool
	// VMListDown fails the list of VMs.
	VMListDown bool
}

// FaultSystem is a System that fails on command.
type FaultSystem struct {
	System
	mu     sync.Mutex
	faults Faults
}

var _ System = (*FaultSystem)(nil)

// NewFaultSystem returns a system that passes calls on to system until told to
// fail.
func NewFaultSystem(system System) *FaultSystem {
	return &FaultSystem{System: system}
}

// SetFaults replaces the faults in force.
func (s *FaultSystem) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *FaultSystem) inForce() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

var errFault = errors.New("fault injected: clear the faults")

// AppendRecords implements System.
func (s *FaultSystem) AppendRecords(ctx context.Context, stream units.StreamName, records []NewRecord) (units.Offset, error) {
	faults := s.inForce()
	if faults.LogDown {
		return 0, &NotTakenError{What: "append", Err: errFault}
	}
	offset, err := s.System.AppendRecords(ctx, stream, records)
	if faults.LoseAppendAnswers && err == nil {
		return 0, errFault
	}
	return offset, err
}

// ReadRecords implements System.
func (s *FaultSystem) ReadRecords(ctx context.Context, stream units.StreamName, from units.Offset, wait clock.Millis) (RecordBatch, error) {
	if s.inForce().LogDown {
		return RecordBatch{}, errFault
	}
	return s.System.ReadRecords(ctx, stream, from, wait)
}

// ListVMs implements System.
func (s *FaultSystem) ListVMs(ctx context.Context) ([]event.VM, error) {
	if s.inForce().VMListDown {
		return nil, errFault
	}
	return s.System.ListVMs(ctx)
}

// OrderServer implements System.
func (s *FaultSystem) OrderServer(ctx context.Context, address string, order event.Order) event.OrderResult {
	result := s.System.OrderServer(ctx, address, order)
	if s.inForce().LoseOrderAnswers {
		return event.OrderResult{Kind: event.OrderLost, Reason: errFault.Error()}
	}
	return result
}
