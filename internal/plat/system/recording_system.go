package system

import (
	"context"
	"fmt"
	"sync"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
)

// RecordingSystem is a System that records one line for each change requested from the
// embedded one, for tests and for audit.
type RecordingSystem struct {
	System
	mu    sync.Mutex
	lines []string
}

var _ System = (*RecordingSystem)(nil)

// NewRecordingSystem returns a RecordingSystem that passes all calls on to system.
func NewRecordingSystem(system System) *RecordingSystem {
	return &RecordingSystem{System: system}
}

// Lines returns the lines recorded so far, oldest first.
func (s *RecordingSystem) Lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.lines...)
}

// AppendRecords implements System.
func (s *RecordingSystem) AppendRecords(ctx context.Context, stream units.StreamName, records []NewRecord) (units.Offset, error) {
	offset, err := s.System.AppendRecords(ctx, stream, records)
	s.record("append stream=%s records=%d error=%v", stream, len(records), err)
	return offset, err
}

// OrderServer implements System.
func (s *RecordingSystem) OrderServer(ctx context.Context, address string, order event.Order) event.OrderResult {
	result := s.System.OrderServer(ctx, address, order)
	s.record("order kind=%s adapter=%s fence=%d result=%s", order.Kind, order.Adapter, order.Fence, result.Kind)
	return result
}

func (s *RecordingSystem) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}
