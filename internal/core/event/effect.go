package event

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Effect is an action that the core wants to have executed outside of it. The set
// of implementations is sealed.
type Effect interface{ effect() }

// Effects collects effects in order. The zero value is empty and ready.
type Effects struct{ List []Effect }

// Add appends effects.
func (e *Effects) Add(effects ...Effect) { e.List = append(e.List, effects...) }

// Reset empties e and keeps its capacity.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
}

// Dispatch sends a request to a backend server. A DispatchDone event follows.
type Dispatch struct {
	Request units.RequestID
	Attempt int32
	Server  units.BackendServerID
	Address string
	// Adapter is the adapter and version that the engine uses.
	Adapter units.AdapterVersion
	// Deadline is the instant at which the attempt is abandoned.
	Deadline clock.Millis
	// NotAfter is the latest instant at which the first byte may be sent. It is
	// checked right before sending. 0 is no limit.
	NotAfter clock.Millis
	Priority units.Priority
	// LoadStall is the time in ms that the request waited for its adapter to be
	// loaded, 0 if it was already loaded.
	LoadStall clock.Millis
	// RecordAnswer asks for the answer's status and body in the DispatchDone event.
	RecordAnswer bool
	// Forward is set if Address belongs to an entry VM of another failure
	// domain.
	Forward bool
	// Link is the region to which a forwarded request is sent.
	Link units.Region
}

// Refuse answers a caller with a refusal. It ends the request.
type Refuse struct {
	Request units.RequestID
	Refusal *errs.Refusal
}

// Replay answers a caller with a recorded outcome. It ends the request.
type Replay struct {
	Request     units.RequestID
	Status      int
	ContentType string
	Body        []byte
}

// CancelDispatch stops an attempt at the backend server.
type CancelDispatch struct {
	Request units.RequestID
	Attempt int32
}

// SendPeer sends a message to another entry VM. The message may be lost.
type SendPeer struct {
	To      units.EntryVMID
	Address string
	Message peer.Message
}

// AppendRecord appends a record to a stream of the log service.
type AppendRecord struct {
	Stream units.StreamName
	ID     units.RecordID
	Body   []byte
}

// TailStream delivers all records of a stream from an offset on as RecordsRead
// events, until another TailStream or a StopTail for the same stream.
type TailStream struct {
	Stream units.StreamName
	From   units.Offset
}

// StopTail ends a TailStream.
type StopTail struct{ Stream units.StreamName }

// OrderServer sends an order to a model engine. An OrderDone event follows.
type OrderServer struct {
	Server  units.BackendServerID
	Address string
	Order   Order
}

// PollServer requests a backend server's report. A ReportReceived or ReportFailed
// event follows.
type PollServer struct {
	Server  units.BackendServerID
	Address string
}

// AnswerEdit reports the outcome of an edit to the operator.
type AnswerEdit struct {
	Edit    units.RecordID
	Outcome EditOutcome
}

// Decision is one decision to be logged.
type Decision struct {
	// Area is the subject of the decision: route, place, admit, retry, once, poison,
	// owner, member or table.
	Area    string
	Request units.RequestID
	Choice  string
	Reason  string
	// Pairs holds further keys and values, alternating.
	Pairs []any
}

// LeaveDone reports that the entry VM has no work left and may exit.
type LeaveDone struct{}

func (Dispatch) effect()       {}
func (Refuse) effect()         {}
func (Replay) effect()         {}
func (CancelDispatch) effect() {}
func (SendPeer) effect()       {}
func (AppendRecord) effect()   {}
func (TailStream) effect()     {}
func (StopTail) effect()       {}
func (OrderServer) effect()    {}
func (PollServer) effect()     {}
func (AnswerEdit) effect()     {}
func (Decision) effect()       {}
func (LeaveDone) effect()      {}
