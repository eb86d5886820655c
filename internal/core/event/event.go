// Package event defines the input and output of the core: typed events, each
// handled at a given instant, and typed effects.
package event

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Event is an occurrence outside of the core. The set of implementations is sealed.
type Event interface{ event() }

// Tick reports that time has passed. It occurs at least every TickPeriod.
type Tick struct{}

// TickPeriod is the longest time in ms between two ticks.
const TickPeriod clock.Millis = 100

// RequestArrived delivers a caller's request.
type RequestArrived struct{ Request Request }

// RequestCanceled reports that the caller of a request has disconnected.
type RequestCanceled struct{ Request units.RequestID }

// DispatchStarted reports that a backend server has started to answer.
type DispatchStarted struct {
	Request units.RequestID
	Attempt int32
}

// DispatchDone reports the result of an attempt.
type DispatchDone struct {
	Request units.RequestID
	Attempt int32
	Result  DispatchResult
}

// PeerReceived delivers a message from another entry VM.
type PeerReceived struct {
	From    units.EntryVMID
	Message peer.Message
}

// AppendDone reports the result of an AppendRecord effect. Exactly one follows each
// effect.
type AppendDone struct {
	Stream units.StreamName
	ID     units.RecordID
	Result AppendResult
	// Offset is set if Result is AppendAccepted.
	Offset units.Offset
}

// AppendResult is the result of an append.
type AppendResult uint8

// Results of an append. AppendUnknown means that the answer was lost: the record
// may already be in the log or appear in it later.
const (
	AppendAccepted AppendResult = iota + 1
	AppendRefused
	AppendUnknown
)

// String returns the name of r for log lines.
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

// RecordsRead delivers consecutive records of a stream in order. Records may be
// empty.
type RecordsRead struct {
	Stream  units.StreamName
	Records []peer.Record
	// Next is the offset after the last record of the batch.
	Next units.Offset
	// End is the offset after the last record of the stream at the time of the read.
	End units.Offset
}

// StreamGap reports that the records from From up to Oldest expired before they were
// read.
type StreamGap struct {
	Stream units.StreamName
	From   units.Offset
	Oldest units.Offset
}

// StreamUnreachable reports that reading a stream failed.
type StreamUnreachable struct{ Stream units.StreamName }

// OrderDone reports the result of an OrderServer effect.
type OrderDone struct {
	Server units.BackendServerID
	Order  Order
	Result OrderResult
	// SentAt is the instant right before the order was sent.
	SentAt clock.Millis
}

// ReportReceived delivers a backend server's report on itself.
type ReportReceived struct {
	Server units.BackendServerID
	Report ServerReport
	// SentAt is the instant right before the report was requested.
	SentAt clock.Millis
}

// ReportFailed reports that a backend server's report could not be read.
type ReportFailed struct {
	Server units.BackendServerID
	// Refused is set if the poll was not sent, as when nothing listens at the address, or if
	// the server answered with status 503.
	Refused bool
}

// VMsListed delivers the platform's list of VMs, which may be outdated.
type VMsListed struct{ VMs []VM }

// EditProposed delivers an operator's edit of the table.
type EditProposed struct{ Edit Edit }

// QuarantineLifted delivers an operator's order to end a quarantine.
type QuarantineLifted struct{ Fingerprint units.Fingerprint }

// LeaveRequested reports that the process was asked to stop.
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

// Streams of the log service.
const (
	ConfigStream units.StreamName = "config"
	LeaseStream  units.StreamName = "lease"
	PoisonStream units.StreamName = "poison"
	// ActionStreamPrefix is followed by the number of a partition.
	ActionStreamPrefix = "action_"
	// SnapshotStream holds snapshots of the table, which is folded from the config
	// stream.
	SnapshotStream units.StreamName = "snapshot"
)
