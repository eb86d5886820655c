package table

import (
	"bytes"
	"cmp"
	"compress/flate"
	"io"
	"maps"
	"slices"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// snapshot is a whole Table in a form that doesn't depend on the iteration order of maps.
type snapshot struct {
	Next     units.Offset    `msgpack:"o"`
	Rows     []*Row          `msgpack:"r"`
	Deleted  []deletedRow    `msgpack:"d"`
	Drains   []drainedServer `msgpack:"s"`
	Parts    []namedPartial  `msgpack:"p"`
	Outcomes []namedOutcome  `msgpack:"e"`
	History  []HistoryEntry  `msgpack:"h"`
}

// deletedRow is a deleted row. Changed is the offset after the record that deleted it.
type deletedRow struct {
	Adapter units.AdapterName `msgpack:"a"`
	Changed units.Offset      `msgpack:"o"`
}

type drainedServer struct {
	Server units.BackendServerID `msgpack:"s"`
	Drain  drain                 `msgpack:"d"`
}

type namedPartial struct {
	Edit    units.RecordID `msgpack:"i"`
	Partial *partialEdit   `msgpack:"p"`
}

type namedOutcome struct {
	Edit    units.RecordID    `msgpack:"i"`
	Outcome event.EditOutcome `msgpack:"o"`
}

// maxSnapshotBytes is the maximum size of a decompressed snapshot, in bytes.
const maxSnapshotBytes = 256 << 20

// Snapshot returns the table in a compressed form. Tables that have folded the
// same records return the same bytes.
func (t *Table) Snapshot() ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := msgpack.NewEncoder(w).Encode(t.toSnapshot()); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return buf.Bytes(), nil
}

func (t *Table) toSnapshot() *snapshot {
	s := &snapshot{Next: t.next, Rows: t.Rows(), History: t.history.entries}
	for _, adapter := range slices.Sorted(maps.Keys(t.deleted)) {
		s.Deleted = append(s.Deleted, deletedRow{Adapter: adapter, Changed: t.deleted[adapter]})
	}
	for _, server := range slices.Sorted(maps.Keys(t.drains)) {
		s.Drains = append(s.Drains, drainedServer{Server: server, Drain: t.drains[server]})
	}
	for _, edit := range slices.Sorted(maps.Keys(t.parts)) {
		s.Parts = append(s.Parts, namedPartial{Edit: edit, Partial: t.parts[edit]})
	}
	for _, edit := range t.outcomes.order {
		s.Outcomes = append(s.Outcomes, namedOutcome{Edit: edit, Outcome: t.outcomes.byID[edit]})
	}
	return s
}

// Restore replaces the table with a snapshot. It reports false and changes nothing if
// the snapshot's offset isn't greater than the table's, so that a table never reverts.
// It returns an error if body isn't a valid snapshot.
func (t *Table) Restore(body []byte) (bool, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxSnapshotBytes)
	var s snapshot
	if err := msgpack.NewDecoder(r).Decode(&s); err != nil {
		return false, errors.Wrap(err, "decode snapshot")
	}
	if err := s.check(); err != nil {
		return false, err
	}
	if s.Next <= t.next {
		return false, nil
	}
	*t = *s.toTable()
	return true, nil
}

// check returns an error if a decoded snapshot has a row without an adapter or a partial
// edit that is nil.
func (s *snapshot) check() error {
	for _, row := range s.Rows {
		if row == nil || row.Adapter == "" {
			return errors.New("snapshot with a row that names no adapter: run the same release on all entry VMs")
		}
	}
	for _, p := range s.Parts {
		if p.Partial == nil {
			return errors.New("snapshot with an empty partial edit: run the same release on all entry VMs")
		}
	}
	return nil
}

func (s *snapshot) toTable() *Table {
	t := &Table{
		next: s.Next, rows: map[units.AdapterName]*Row{}, deleted: map[units.AdapterName]units.Offset{},
		drains: map[units.BackendServerID]drain{}, parts: map[units.RecordID]*partialEdit{},
	}
	for _, row := range s.Rows {
		t.rows[row.Adapter] = row
	}
	for _, d := range s.Deleted {
		t.deleted[d.Adapter] = d.Changed
	}
	for _, d := range s.Drains {
		t.drains[d.Server] = d.Drain
	}
	for _, p := range s.Parts {
		t.parts[p.Edit] = p.Partial
	}
	slices.SortStableFunc(s.History, func(a, b HistoryEntry) int { return cmp.Compare(a.Offset, b.Offset) })
	for _, entry := range s.History {
		t.history.entries = append(t.history.entries, entry)
		t.history.changes += len(entry.Changes)
	}
	for _, o := range s.Outcomes {
		t.outcomes.add(o.Edit, o.Outcome)
	}
	return t
}
