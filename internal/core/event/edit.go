package event

import (
	"mangostile/internal/base/units"
)

// Edit is one record of the config stream: the cells that an operator changes.
type Edit struct {
	ID     units.RecordID `msgpack:"i" json:"id"`
	Author string         `msgpack:"w" json:"author"`
	// AtMillis is the operator's wall clock in ms since the Unix epoch, for display only.
	AtMillis int64  `msgpack:"t" json:"at_ms"`
	Cells    []Cell `msgpack:"c" json:"cells"`
	// Part and Parts are set if the edit is split over several records. It takes
	// effect as a whole once the last part is in the log.
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

// EditOutcome is the outcome of an edit.
type EditOutcome struct {
	Kind EditKind `json:"kind"`
	// Offset is the offset of the edit in the config stream if it was accepted.
	Offset units.Offset `json:"offset,omitempty"`
	// Faults lists the faults in its cells if it was refused.
	Faults []CellFault `json:"faults,omitempty"`
	// Message is set if the log service refused the edit or did not answer.
	Message string `json:"message,omitempty"`
}

// EditKind is the kind of an EditOutcome.
type EditKind string

// Kinds of outcomes of an edit.
const (
	EditAccepted EditKind = "accepted"
	EditConflict EditKind = "conflict"
	EditInvalid  EditKind = "invalid"
	// EditNotAppended means that the edit is not in the log and never will be.
	EditNotAppended EditKind = "not_taken"
	// EditUnknown means that the outcome is not known yet: the edit may be in the log or
	// appear in it later.
	EditUnknown EditKind = "unknown"
)

// CellFault describes what is wrong with one cell of an edit.
type CellFault struct {
	Adapter units.AdapterName `json:"adapter"`
	Column  string            `json:"column"`
	Value   string            `json:"value"`
	// Current is the cell's current value. It is set for a conflict.
	Current string `json:"current,omitempty"`
	Remedy  string `json:"remedy"`
}
