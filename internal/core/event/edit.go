package event

import (
	"mangostile/internal/base/units"
)

// Edit is one record of the config stream: cells that an operator changed.
type Edit struct {
	ID     units.RecordID `msgpack:"i" json:"id"`
	Author string         `msgpack:"w" json:"author"`
	// AtMillis is the operator's wall clock since the Unix epoch, for people.
	AtMillis int64  `msgpack:"t" json:"at_ms"`
	Cells    []Cell `msgpack:"c" json:"cells"`
	// Part and Parts are set if the edit is spread over several records. It is
	// in force once the last part is in the log, as one.
	Part  int32 `msgpack:"p,omitempty" json:"part,omitempty"`
	Parts int32 `msgpack:"n,omitempty" json:"parts,omitempty"`
}

// Cell is one changed value of the table.
type Cell struct {
	Adapter units.AdapterName `msgpack:"a" json:"adapter"`
	Column  string            `msgpack:"c" json:"column"`
	Value   string            `msgpack:"v" json:"value"`
	// ReadAt is the revision of the table at which the operator read the old
	// value: the number of config records folded into it.
	ReadAt units.Offset `msgpack:"r" json:"read_at"`
}

// EditOutcome is how an edit ended.
type EditOutcome struct {
	Kind EditKind `json:"kind"`
	// Offset is the edit's place in the config stream if it was accepted.
	Offset units.Offset `json:"offset,omitempty"`
	// Faults lists what is wrong if it was refused.
	Faults []CellFault `json:"faults,omitempty"`
	// Message is set if the log refused the edit or gave no answer.
	Message string `json:"message,omitempty"`
}

// EditKind is the kind of an EditOutcome.
type EditKind string

// Kinds of outcomes of an edit.
const (
	EditAccepted EditKind = "accepted"
	EditConflict EditKind = "conflict"
	EditInvalid  EditKind = "invalid"
	// EditNotTaken tells that the edit is not in the log and will not be.
	EditNotTaken EditKind = "not_taken"
	EditUnknown  EditKind = "unknown"
)

// CellFault tells what is wrong with one cell of an edit.
type CellFault struct {
	Adapter units.AdapterName `json:"adapter"`
	Column  string            `json:"column"`
	Value   string            `json:"value"`
	// Current is the value in force, for a conflict.
	Current string `json:"current,omitempty"`
	Remedy  string `json:"remedy"`
}
