// Package peer holds the messages that entry VMs send each other.
package peer

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
)

// Message is a message between entry VMs. The set of implementations is sealed.
type Message interface {
	peerMessage()
	// Check reports whether a decoded message keeps the invariants of its type.
	Check() error
}

// Heartbeat tells the members of the same failure domain that the sender is
// alive and what it knows first hand.
type Heartbeat struct {
	Incarnation units.Incarnation `msgpack:"i"`
	Leaving     bool              `msgpack:"l,omitempty"`
	// Joining tells that the sender listens and owns nothing yet.
	Joining bool `msgpack:"j,omitempty"`
	// ConfigOffset is the first offset of the config stream that the sender has
	// not applied.
	ConfigOffset units.Offset `msgpack:"o"`
	// LogUnreachable is set while the sender can't read the log service.
	LogUnreachable bool `msgpack:"u,omitempty"`
	// Sequence counts the heartbeats of one incarnation.
	Sequence uint32 `msgpack:"n"`
	// Servers describes backend servers that the sender owns and that changed
	// other than in their load, or all of them if Full.
	Servers []ServerSummary `msgpack:"s,omitempty"`
	Full    bool            `msgpack:"f,omitempty"`
	// Dropped lists servers that the sender no longer owns.
	Dropped []units.BackendServerID `msgpack:"x,omitempty"`
	// Loads lists, for all servers that the sender owns in the order of their
	// ids, LoadFigures bytes: the number of running and that of waiting requests,
	// each at most 255, and Spare.
	Loads []byte `msgpack:"w,omitempty"`
	// WantFull asks the receiver to send Full, since the sender missed a
	// heartbeat.
	WantFull bool `msgpack:"q,omitempty"`
	// GrantsHeld renews the grants that the sender uses on backend servers that
	// it believes the receiver to own. The receiver takes over those that an
	// earlier owner gave.
	GrantsHeld []HeldGrant `msgpack:"g,omitempty"`
	// Demand tells the sender's recent use of limits that are shared.
	Demand []Demand `msgpack:"d,omitempty"`
}

// LoadFigures is the number of bytes of a Heartbeat's Loads for each server.
const LoadFigures = 3

// ServerSummary is what an owner tells of one backend server.
type ServerSummary struct {
	Server   units.BackendServerID  `msgpack:"s"`
	Fence    units.Fence            `msgpack:"f"`
	Running  int32                  `msgpack:"r"`
	Waiting  int32                  `msgpack:"w"`
	BatchMax int32                  `msgpack:"b"`
	Slots    int32                  `msgpack:"n"`
	Resident []units.AdapterVersion `msgpack:"a,omitempty"`
	Loading  []units.AdapterVersion `msgpack:"l,omitempty"`
	// Spare tells how much the adapter is asked for that would be evicted next,
	// from 0 for a free slot to 255, as place.Steps gives it.
	Spare uint8 `msgpack:"p,omitempty"`
	// Usable is false while the server is down, leaving or without a valid right
	// to grant.
	Usable bool `msgpack:"u"`
}

// HeldGrant is a grant in use. An owner that knows the grant is told only server
// and number; Request is empty then.
type HeldGrant struct {
	Request units.RequestID       `msgpack:"r,omitempty"`
	Attempt int32                 `msgpack:"n,omitempty"`
	Server  units.BackendServerID `msgpack:"s"`
	Adapter units.AdapterVersion  `msgpack:"a,omitempty"`
	Grant   units.GrantNumber     `msgpack:"g"`
}

// Demand is the recent use of one shared limit at the sender.
type Demand struct {
	Key  string  `msgpack:"k"`
	Rate float32 `msgpack:"r"` // units of the limit per second
}

// GrantAsk asks the owner of a backend server for the right to run a request.
type GrantAsk struct {
	Request  units.RequestID       `msgpack:"r"`
	Attempt  int32                 `msgpack:"n"`
	Server   units.BackendServerID `msgpack:"s"`
	Adapter  units.AdapterVersion  `msgpack:"a"`
	Priority units.Priority        `msgpack:"p,omitempty"`
	// Weight is the adapter's share under contention; 0 is 1.
	Weight int32 `msgpack:"w,omitempty"`
	// Within is the time left to the request's deadline.
	Within clock.Millis `msgpack:"d"`
	// Fingerprint identifies the content, so that the owner can name suspects
	// if the server dies.
	Fingerprint units.Fingerprint `msgpack:"c,omitempty"`
	// Prefix identifies the beginning of the prompt.
	Prefix units.Fingerprint `msgpack:"b,omitempty"`
	// Tokens estimates prompt and answer together.
	Tokens units.Tokens `msgpack:"t,omitempty"`
	// Isolated asks that no other request runs beside this one.
	Isolated bool `msgpack:"x,omitempty"`
}

// GrantReply answers a GrantAsk.
type GrantReply struct {
	Request units.RequestID       `msgpack:"r"`
	Attempt int32                 `msgpack:"n"`
	Server  units.BackendServerID `msgpack:"s"`
	// Grant is 0 if the grant was refused.
	Grant units.GrantNumber `msgpack:"g"`
	// Term is the time, from the ask on, for which the grant holds unless it is
	// renewed. The wait at the owner is in it.
	Term    clock.Millis  `msgpack:"t"`
	Refusal *errs.Refusal `msgpack:"e,omitempty"`
}

// GrantRelease gives back a grant, or withdraws an ask that is still waiting.
type GrantRelease struct {
	Request units.RequestID       `msgpack:"r"`
	Attempt int32                 `msgpack:"n"`
	Server  units.BackendServerID `msgpack:"s"`
	Grant   units.GrantNumber     `msgpack:"g"`
	// ServerDied is set if the backend server broke the connection.
	ServerDied bool `msgpack:"x,omitempty"`
}

// Handover tells the next owner of a backend server which grants hold at the
// instant at which the sender gives the server up. It grants nothing after that.
type Handover struct {
	Server units.BackendServerID `msgpack:"s"`
	// Fence is the sender's fencing number.
	Fence  units.Fence   `msgpack:"f"`
	Grants []HandedGrant `msgpack:"g,omitempty"`
}

// HandedGrant is a grant with the entry VM that uses it.
type HandedGrant struct {
	HeldGrant `msgpack:"h"`
	Holder    units.EntryVMID `msgpack:"o"`
}

// ConfigRecords passes records of the config stream on.
type ConfigRecords struct {
	From    units.Offset `msgpack:"f"`
	Records []Record     `msgpack:"r"`
}

// ConfigAsk asks for the records of the config stream from an offset on, or for
// a snapshot if those are no longer at hand.
type ConfigAsk struct {
	From units.Offset `msgpack:"f"`
}

// ConfigSnapshot passes the folded table at an offset on, in parts.
type ConfigSnapshot struct {
	Offset units.Offset `msgpack:"o"`
	Part   int32        `msgpack:"p"`
	Parts  int32        `msgpack:"n"`
	Body   []byte       `msgpack:"b"`
}

// Record is one record of a stream.
type Record struct {
	Offset units.Offset   `msgpack:"o" json:"offset"`
	ID     units.RecordID `msgpack:"i" json:"id"`
	// At is the log service's wall clock in milliseconds since the Unix epoch.
	At   clock.Millis `msgpack:"t" json:"at"`
	Body []byte       `msgpack:"b" json:"body"`
}

// PoisonMark tells that a request was running on a backend server that died.
type PoisonMark struct {
	Fingerprint units.Fingerprint     `msgpack:"f"`
	Server      units.BackendServerID `msgpack:"s"`
	// Crash names the crash, so that two marks of the same one count once.
	Crash string `msgpack:"c"`
	// Alone is set if nothing else ran on the server.
	Alone bool `msgpack:"a,omitempty"`
	// Quarantined tells that the sender refuses the request from now on.
	Quarantined bool `msgpack:"q,omitempty"`
	// Lifted ends a quarantine by order of an operator.
	Lifted bool `msgpack:"l,omitempty"`
}

// DomainSummary tells another failure domain what the sender's has to spare.
type DomainSummary struct {
	Domain      units.FailureDomain `msgpack:"d"`
	Incarnation units.Incarnation   `msgpack:"i"`
	Sequence    uint64              `msgpack:"n"`
	// FreeSeats counts the requests that could run at once without waiting.
	FreeSeats int32 `msgpack:"f"`
	// LoadsInFlight counts adapter loads against the shared bound.
	LoadsInFlight int32 `msgpack:"l"`
	// Entries lists some members of the failure domain, the sender first.
	Entries []units.EntryVMID `msgpack:"e"`
	// ConfigOffset is the first offset of the config stream that the sender has
	// not applied, and LowestOffset the smallest of those in its failure domain.
	ConfigOffset units.Offset `msgpack:"o"`
	LowestOffset units.Offset `msgpack:"w"`
	// LogUnreachable is set while the sender can't read the log service.
	LogUnreachable bool `msgpack:"u,omitempty"`
}

func (*Heartbeat) peerMessage()      {}
func (*GrantAsk) peerMessage()       {}
func (*GrantReply) peerMessage()     {}
func (*GrantRelease) peerMessage()   {}
func (*Handover) peerMessage()       {}
func (*ConfigRecords) peerMessage()  {}
func (*ConfigAsk) peerMessage()      {}
func (*ConfigSnapshot) peerMessage() {}
func (*PoisonMark) peerMessage()     {}
func (*DomainSummary) peerMessage()  {}
