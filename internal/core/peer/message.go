// Package peer defines the messages that entry VMs send each other.
package peer

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/errs"
	"mangostile/internal/base/units"
)

// Message is a message between entry VMs. The set of implementations is sealed.
type Message interface {
	peerMessage()
	// Check returns an InvalidError if a decoded message breaks an invariant of its type.
	Check() error
}

// Heartbeat shows the members of the same failure domain that the sender is alive
// and carries the sender's own state.
type Heartbeat struct {
	Incarnation units.Incarnation `msgpack:"i"`
	Leaving     bool              `msgpack:"l,omitempty"`
	// Joining is set while the sender accepts messages but owns no backend server yet.
	Joining bool `msgpack:"j,omitempty"`
	// ConfigOffset is the first offset of the config stream that the sender has
	// not applied.
	ConfigOffset units.Offset `msgpack:"o"`
	// LogUnreachable is set while the sender can't read the log service.
	LogUnreachable bool `msgpack:"u,omitempty"`
	// Sequence counts the heartbeats of one incarnation.
	Sequence uint32 `msgpack:"n"`
	// Servers describes the backend servers that the sender owns: all of them if
	// Full is set, otherwise those in which more than the load changed.
	Servers []ServerSummary `msgpack:"s,omitempty"`
	Full    bool            `msgpack:"f,omitempty"`
	// Dropped lists servers that the sender no longer owns.
	Dropped []units.BackendServerID `msgpack:"x,omitempty"`
	// Loads holds LoadFigures bytes for each server that the sender owns, in the
	// order of their ids: the number of running requests and the number of waiting
	// requests, each at most 255, and Spare.
	Loads []byte `msgpack:"w,omitempty"`
	// NeedsFull asks the receiver for a heartbeat with Full set, since the sender
	// missed one.
	NeedsFull bool `msgpack:"q,omitempty"`
	// GrantsHeld renews the grants that the sender uses on backend servers whose
	// owner is, to its knowledge, the receiver. The receiver adopts grants that an
	// earlier owner issued.
	GrantsHeld []HeldGrant `msgpack:"g,omitempty"`
	// Demand is the sender's recent usage of shared limits.
	Demand []Demand `msgpack:"d,omitempty"`
}

// LoadFigures is the number of bytes in a Heartbeat's Loads for each server.
const LoadFigures = 3

// ServerSummary is the state of one backend server as its owner publishes it.
type ServerSummary struct {
	Server   units.BackendServerID  `msgpack:"s"`
	Fence    units.Fence            `msgpack:"f"`
	Running  int32                  `msgpack:"r"`
	Waiting  int32                  `msgpack:"w"`
	BatchMax int32                  `msgpack:"b"`
	Slots    int32                  `msgpack:"n"`
	Resident []units.AdapterVersion `msgpack:"a,omitempty"`
	Loading  []units.AdapterVersion `msgpack:"l,omitempty"`
	// Spare is the demand for the adapter that would be evicted next, from 0 for a
	// free slot to 255, as computed by place.RateSteps.
	Spare uint8 `msgpack:"p,omitempty"`
	// Usable is false while the server is down or leaving, or while its owner's
	// lease doesn't allow grants.
	Usable bool `msgpack:"u"`
}

// HeldGrant is a grant in use. If the owner already has a record of the grant, only
// Server and Grant are sent and Request is empty.
type HeldGrant struct {
	Request units.RequestID       `msgpack:"r,omitempty"`
	Attempt int32                 `msgpack:"n,omitempty"`
	Server  units.BackendServerID `msgpack:"s"`
	Adapter units.AdapterVersion  `msgpack:"a,omitempty"`
	Grant   units.GrantNumber     `msgpack:"g"`
}

// Demand is the sender's recent usage of one shared limit.
type Demand struct {
	Key  string  `msgpack:"k"`
	Rate float32 `msgpack:"r"` // units of the limit per second
}

// GrantRequest asks the owner of a backend server for permission to run a request.
type GrantRequest struct {
	Request  units.RequestID       `msgpack:"r"`
	Attempt  int32                 `msgpack:"n"`
	Server   units.BackendServerID `msgpack:"s"`
	Adapter  units.AdapterVersion  `msgpack:"a"`
	Priority units.Priority        `msgpack:"p,omitempty"`
	// Weight is the adapter's share under contention; 0 counts as 1.
	Weight int32 `msgpack:"w,omitempty"`
	// Remaining is the time in ms until the request's deadline.
	Remaining clock.Millis `msgpack:"d"`
	// Fingerprint identifies the content, so that the owner can mark the request as
	// a suspect if the server crashes.
	Fingerprint units.Fingerprint `msgpack:"c,omitempty"`
	// Prefix identifies the prompt's prefix.
	Prefix units.Fingerprint `msgpack:"b,omitempty"`
	// Tokens estimates the tokens of prompt and answer together.
	Tokens units.Tokens `msgpack:"t,omitempty"`
	// Isolated asks that no other request runs on the server at the same time.
	Isolated bool `msgpack:"x,omitempty"`
}

// GrantReply answers a GrantRequest.
type GrantReply struct {
	Request units.RequestID       `msgpack:"r"`
	Attempt int32                 `msgpack:"n"`
	Server  units.BackendServerID `msgpack:"s"`
	// Grant is 0 if the grant was refused.
	Grant units.GrantNumber `msgpack:"g"`
	// Term is the time in ms for which the grant is valid unless it is renewed. It
	// counts from the grant request and includes the wait at the owner.
	Term    clock.Millis  `msgpack:"t"`
	Refusal *errs.Refusal `msgpack:"e,omitempty"`
}

// GrantRelease returns a grant, or withdraws a grant request that is still waiting.
type GrantRelease struct {
	Request units.RequestID       `msgpack:"r"`
	Attempt int32                 `msgpack:"n"`
	Server  units.BackendServerID `msgpack:"s"`
	Grant   units.GrantNumber     `msgpack:"g"`
	// ServerDied is set if the backend server broke the connection.
	ServerDied bool `msgpack:"x,omitempty"`
}

// Handover lists, for the next owner of a backend server, the grants that are valid
// when the sender gives the server up. The sender issues none afterwards.
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

// ConfigRecords forwards records of the config stream.
type ConfigRecords struct {
	From    units.Offset `msgpack:"f"`
	Records []Record     `msgpack:"r"`
}

// ConfigRequest asks for the records of the config stream from an offset on, or for
// a snapshot if the receiver no longer has them.
type ConfigRequest struct {
	From units.Offset `msgpack:"f"`
}

// ConfigSnapshot carries one part of a snapshot of the table at an offset. Parts are
// numbered from 0 to Parts-1.
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

// PoisonMark reports that a request was running on a backend server that crashed.
type PoisonMark struct {
	Fingerprint units.Fingerprint     `msgpack:"f"`
	Server      units.BackendServerID `msgpack:"s"`
	// Crash identifies the crash, so that two marks for the same crash count once.
	Crash string `msgpack:"c"`
	// Alone is set if no other request was running on the server.
	Alone bool `msgpack:"a,omitempty"`
	// Quarantined is set if the sender refuses the request from now on.
	Quarantined bool `msgpack:"q,omitempty"`
	// Lifted ends a quarantine on behalf of an operator.
	Lifted bool `msgpack:"l,omitempty"`
}

// DomainSummary reports the free capacity of the sender's failure domain to another
// one.
type DomainSummary struct {
	Domain      units.FailureDomain `msgpack:"d"`
	Incarnation units.Incarnation   `msgpack:"i"`
	Sequence    uint64              `msgpack:"n"`
	// FreeCapacity is the number of further requests that could run without waiting.
	FreeCapacity int32 `msgpack:"f"`
	// LoadsInFlight is the number of adapter loads that count against the shared limit.
	LoadsInFlight int32 `msgpack:"l"`
	// Entries lists some entry VMs of the failure domain, the sender first.
	Entries []units.EntryVMID `msgpack:"e"`
	// ConfigOffset is the first offset of the config stream that the sender has not
	// applied; LowestOffset is the lowest ConfigOffset in its failure domain.
	ConfigOffset units.Offset `msgpack:"o"`
	LowestOffset units.Offset `msgpack:"w"`
	// LogUnreachable is set while the sender can't read the log service.
	LogUnreachable bool `msgpack:"u,omitempty"`
}

func (*Heartbeat) peerMessage()      {}
func (*GrantRequest) peerMessage()   {}
func (*GrantReply) peerMessage()     {}
func (*GrantRelease) peerMessage()   {}
func (*Handover) peerMessage()       {}
func (*ConfigRecords) peerMessage()  {}
func (*ConfigRequest) peerMessage()  {}
func (*ConfigSnapshot) peerMessage() {}
func (*PoisonMark) peerMessage()     {}
func (*DomainSummary) peerMessage()  {}
