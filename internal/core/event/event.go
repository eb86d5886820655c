// Package event holds what goes into the core and what comes out of it: typed
// events with the time they are handled at, and typed effects.
package event

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Event is something that happened outside of the core. The set of
// implementations is sealed.
type Event interface{ event() }

// Tick tells that time has passed. It comes at least every TickPeriod.
type Tick struct{}

// TickPeriod is the longest time between two ticks.
const TickPeriod clock.Millis = 100

// RequestArrived brings a request of a caller.
type RequestArrived struct{ Request Request }

// RequestCanceled tells that the caller of a request has gone away.
type RequestCanceled struct{ Request units.RequestID }

// DispatchStarted tells that a backend server has begun to answer.
type DispatchStarted struct {
	Request units.RequestID
	Attempt int32
}

// DispatchDone tells how an attempt ended.
type DispatchDone struct {
	Request units.RequestID
	Attempt int32
	Result  DispatchResult
}

// PeerReceived brings a message of another entry VM.
type PeerReceived struct {
	From    units.EntryVMID
	Message peer.Message
}

// AppendDone tells the result of an AppendRecord effect. Exactly one comes for
// each effect.
type AppendDone struct {
	Stream units.StreamName
	ID     units.RecordID
	Result AppendResult
	// Offset is set if Result is AppendAccepted.
	Offset units.Offset
}

// AppendResult is the result of an append.
type AppendResult uint8

// Results of an append. AppendUnknown tells that the answer was lost: the record
// may be in the log now or later.
const (
	AppendAccepted AppendResult = iota + 1
	AppendRefused
	AppendUnknown
)

// String returns the name of r in log lines.
func (r AppendResult) String() string {
	switch r {
	case AppendAccepted:
		return "accepted"
	case AppendRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// RecordsRead brings consecutive records of a stream in order.
type RecordsRead struct {
	Stream  units.StreamName
	Records []peer.Record
	// Next is the offset after the last record of the batch.
	Next units.Offset
	// End is the offset after the last record of the stream when it was read.
	End units.Offset
}

// StreamGap tells that records from From on have expired before they were read.
type StreamGap struct {
	Stream units.StreamName
	From   units.Offset
	Oldest units.Offset
}

// StreamUnreachable tells that a stream could not be read.
type StreamUnreachable struct{ Stream units.StreamName }

// OrderDone tells the result of an OrderServer effect.
type OrderDone struct {
	Server units.BackendServerID
	Order  Order
	Result OrderResult
	// SentAt is the instant right before the order was sent.
	SentAt clock.Millis
}

// ReportReceived brings a backend server's report on itself.
type ReportReceived struct {
	Server units.BackendServerID
	Report ServerReport
	// SentAt is the instant right before the report was asked for.
	SentAt clock.Millis
}

// ReportFailed tells that a backend server did not report.
type ReportFailed struct {
	Server units.BackendServerID
	// Refused is set if the server's address refused the connection, which
	// shows that the process is not running.
	Refused bool
}

// VMsListed brings the platform's list of VMs, which lags.
type VMsListed struct{ VMs []VM }

// EditProposed brings an operator's edit of the table.
type EditProposed struct{ Edit Edit }

// QuarantineLifted brings an operator's order to end a quarantine.
type QuarantineLifted struct{ Fingerprint units.Fingerprint }

// LeaveRequested tells that the process was asked to stop.
type LeaveRequested struct{}

func (Tick) event()              {}
func (RequestArrived) event()    {}
func (RequestCanceled) event()   {}
func (DispatchStarted) event()   {}
func (DispatchDone) event()      {}
func (PeerReceived) event()      {}
func (AppendDone) event()        {}
func (RecordsRead) event()       {}
func (StreamGap) event()         {}
func (StreamUnreachable) event() {}
func (OrderDone) event()         {}
func (ReportReceived) event()    {}
func (ReportFailed) event()      {}
func (VMsListed) event()         {}
func (EditProposed) event()      {}
func (QuarantineLifted) event()  {}
func (LeaveRequested) event()    {}

// Streams of the log service that the system uses.
const (
	ConfigStream units.StreamName = "config"
	LeaseStream  units.StreamName = "lease"
	PoisonStream units.StreamName = "poison"
	// ActionStreamPrefix is followed by the number of a partition.
	ActionStreamPrefix = "action_"
	// SnapshotStream holds snapshots of the folded config stream.
	SnapshotStream units.StreamName = "snapshot"
)
