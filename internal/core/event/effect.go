package event

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

// Effect is something that the core wants done outside. The set of
// implementations is sealed.
type Effect interface{ effect() }

// Effects collects effects in order. The zero value is empty and ready.
type Effects struct{ List []Effect }

// Add appends effects.
func (e *Effects) Add(effects ...Effect) { e.List = append(e.List, effects...) }

// Reset empties e and keeps its memory.
func (e *Effects) Reset() {
	clear(e.List)
	e.List = e.List[:0]
}

// Dispatch sends a request to a backend server. A DispatchDone follows.
type Dispatch struct {
	Request units.RequestID
	Attempt int32
	Server  units.BackendServerID
	Address string
	// Adapter is the adapter and version that the engine is told to run.
	Adapter units.AdapterVersion
	// Deadline is the instant after which the attempt is given up.
	Deadline clock.Millis
	// NotAfter is the instant up to which the first byte may be sent, checked
	// right before. 0 is no bound.
	NotAfter clock.Millis
	Priority units.Priority
	// LoadStall is the time that the request waited for its adapter to arrive. 0
	// if it was there.
	LoadStall clock.Millis
	// RecordAnswer asks for status and body in the DispatchDone.
	RecordAnswer bool
	// Forward is set if Address belongs to an entry VM of another failure
	// domain.
	Forward bool
	// Link is the region that a forwarded request goes to.
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

// SendPeer sends a message to another entry VM. It may be lost.
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

// TailStream asks for all records of a stream from an offset on, as RecordsRead
// events, until another TailStream for the stream or a StopTail.
type TailStream struct {
	Stream units.StreamName
	From   units.Offset
}

// StopTail ends a TailStream.
type StopTail struct{ Stream units.StreamName }

// OrderServer sends an order to a model engine. An OrderDone follows.
type OrderServer struct {
	Server  units.BackendServerID
	Address string
	Order   Order
}

// PollServer asks a backend server for its report. A ReportReceived or a
// ReportFailed follows.
type PollServer struct {
	Server  units.BackendServerID
	Address string
}

// AnswerEdit tells the operator how an edit ended.
type AnswerEdit struct {
	Edit    units.RecordID
	Outcome EditOutcome
}

// Decision is one decision for the log.
type Decision struct {
	// Area names the matter: route, place, admit, retry, once, poison, owner,
	// member, table.
	Area    string
	Request units.RequestID
	Choice  string
	Reason  string
	// Pairs holds further keys and values in turn.
	Pairs []any
}

// Left tells that the entry VM has nothing left to do and may exit.
type Left struct{}

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
func (Left) effect()           {}
