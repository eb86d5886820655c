// Package system is the central domain of the shell round the core: what an
// entry VM asks of the platform and of backend servers.
package system

import (
	"context"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// NewRecord is a record that is not in a stream yet.
type NewRecord struct {
	ID   units.RecordID `json:"id"`
	Body []byte         `json:"body"`
}

// RecordBatch is a run of consecutive records of a stream.
type RecordBatch struct {
	Records []peer.Record `json:"records"`
	// Next is the offset to read from next.
	Next units.Offset `json:"next"`
	// End is the offset after the stream's last record.
	End units.Offset `json:"end"`
	// Oldest is the offset of the first record that has not expired.
	Oldest units.Offset `json:"oldest"`
}

// A System carries out what leaves an entry VM for the platform or for the
// control side of backend servers.
type System interface {
	// AppendRecords appends records in order and returns the first one's offset.
	// A NotTakenError tells that none is in the log and none will be; any other
	// error leaves that open.
	AppendRecords(ctx context.Context, stream units.StreamName, records []NewRecord) (units.Offset, error)
	// ListVMs returns the platform's list, or an empty one if it is still that of
	// the last call.
	ListVMs(ctx context.Context) ([]event.VM, error)
	// OrderServer gives an order to the model engine at address.
	OrderServer(ctx context.Context, address string, order event.Order) event.OrderResult
	// ReadRecords returns records from an offset on. If there is none it waits
	// for up to wait.
	ReadRecords(ctx context.Context, stream units.StreamName, from units.Offset, wait clock.Millis) (RecordBatch, error)
	// ReportServer returns the report of the backend server at address. A
	// NotTakenError tells that nothing listens there.
	ReportServer(ctx context.Context, address string) (event.ServerReport, error)
}

// NotTakenError tells that a call surely had no effect.
type NotTakenError struct {
	What string
	Err  error
}

// Error implements error.
func (e *NotTakenError) Error() string {
	return e.What + " was not taken: try again later: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NotTakenError) Unwrap() error { return e.Err }
