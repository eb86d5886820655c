// Package system defines the calls of an entry VM to the platform and to backend servers,
// and implements them over HTTP. The layer around the core makes all these calls through it.
package system

import (
	"context"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// NewRecord is a record to append to a stream.
type NewRecord struct {
	ID   units.RecordID `json:"id"`
	Body []byte         `json:"body"`
}

// RecordBatch is a sequence of consecutive records of a stream.
type RecordBatch struct {
	Records []peer.Record `json:"records"`
	// Next is the offset at which the next read starts.
	Next units.Offset `json:"next"`
	// End is the offset after the stream's last record.
	End units.Offset `json:"end"`
	// Oldest is the offset of the first record that has not expired.
	Oldest units.Offset `json:"oldest"`
}

// A System performs the calls of an entry VM to the platform and to the control interfaces
// of backend servers.
type System interface {
	// AppendRecords appends records in order and returns the offset of the first one.
	// A NoEffectError guarantees that none of them is or will be in the log; after any
	// other error the outcome is unknown.
	AppendRecords(ctx context.Context, stream units.StreamName, records []NewRecord) (units.Offset, error)
	// ListVMs returns the platform's list of VMs, or an empty list if it has not changed
	// since the last call.
	ListVMs(ctx context.Context) ([]event.VM, error)
	// OrderServer sends an order to the model engine at address. event.OrderNotSent
	// guarantees that the order had no effect: it was not sent, or the engine answered with
	// status 503.
	OrderServer(ctx context.Context, address string, order event.Order) event.OrderResult
	// ReadRecords returns records starting at offset from. If there is none yet, it waits
	// up to wait. If the batch's Oldest is greater than from, the records between them have
	// expired.
	ReadRecords(ctx context.Context, stream units.StreamName, from units.Offset, wait clock.Millis) (RecordBatch, error)
	// ReportServer returns the report of the backend server at address. A NoEffectError
	// means that the call was not sent, as when nothing listens there, or that the server
	// answered with status 503.
	ReportServer(ctx context.Context, address string) (event.ServerReport, error)
}

// NoEffectError reports that a call certainly had no effect.
type NoEffectError struct {
	Op  string
	Err error
}

// Error implements error.
func (e *NoEffectError) Error() string {
	return e.Op + " was not taken: try again later: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NoEffectError) Unwrap() error { return e.Err }
