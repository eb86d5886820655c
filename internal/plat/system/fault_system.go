package system

import (
	"context"
	"sync"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/pkg/errors"
)

// Faults selects the calls of a FaultSystem that fail. The zero value selects none.
type Faults struct {
	// LogDown makes all calls to the log service fail before they have an effect.
	LogDown bool
	// LoseAppendAnswers makes appends take effect and then fail with an unknown outcome.
	LoseAppendAnswers bool
	// LoseOrderAnswers makes OrderServer report event.OrderLost after the order was sent.
	LoseOrderAnswers bool
	// VMListDown makes ListVMs fail.
	VMListDown bool
}

// FaultSystem is a System that injects faults into the embedded one.
type FaultSystem struct {
	System
	mu     sync.Mutex
	faults Faults
}

var _ System = (*FaultSystem)(nil)

// NewFaultSystem returns a FaultSystem that passes all calls on to system until SetFaults
// is called.
func NewFaultSystem(system System) *FaultSystem {
	return &FaultSystem{System: system}
}

// SetFaults replaces the active faults.
func (s *FaultSystem) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *FaultSystem) active() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

var errFault = errors.New("fault injected: clear the faults")

// AppendRecords implements System.
func (s *FaultSystem) AppendRecords(ctx context.Context, stream units.StreamName, records []NewRecord) (units.Offset, error) {
	faults := s.active()
	if faults.LogDown {
		return 0, &NoEffectError{Op: "append", Err: errFault}
	}
	offset, err := s.System.AppendRecords(ctx, stream, records)
	if faults.LoseAppendAnswers && err == nil {
		return 0, errFault
	}
	return offset, err
}

// ReadRecords implements System.
func (s *FaultSystem) ReadRecords(ctx context.Context, stream units.StreamName, from units.Offset, wait clock.Millis) (RecordBatch, error) {
	if s.active().LogDown {
		return RecordBatch{}, errFault
	}
	return s.System.ReadRecords(ctx, stream, from, wait)
}

// ListVMs implements System.
func (s *FaultSystem) ListVMs(ctx context.Context) ([]event.VM, error) {
	if s.active().VMListDown {
		return nil, errFault
	}
	return s.System.ListVMs(ctx)
}

// OrderServer implements System.
func (s *FaultSystem) OrderServer(ctx context.Context, address string, order event.Order) event.OrderResult {
	result := s.System.OrderServer(ctx, address, order)
	if s.active().LoseOrderAnswers {
		return event.OrderResult{Kind: event.OrderLost, Reason: errFault.Error()}
	}
	return result
}
