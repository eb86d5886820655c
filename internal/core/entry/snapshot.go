package entry

import (
	"fmt"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/vmihailenco/msgpack/v5"
)

// Bounds and times of snapshots.
const (
	snapshotPartBytes = 192 << 10
	// snapshotRecords is the number of records after which a snapshot is
	// written.
	snapshotRecords = 256
	// snapshotPeriod is the longest time between two snapshots. It is far below
	// the time for which the log service keeps records.
	snapshotPeriod = 15 * clock.Minute
	// snapshotServePeriod is the time for which one encoded snapshot is handed
	// to all who ask, so that many restarts at once cost one encoding.
	snapshotServePeriod = 2 * clock.Second
)

// snapshotParts gathers the parts of the newest snapshot seen. The zero value is
// empty.
type snapshotParts struct {
	offset units.Offset
	parts  [][]byte
	got    int
}

// add takes a part. It returns the whole body once all parts are there.
func (s *snapshotParts) add(m *peer.ConfigSnapshot) []byte {
	if m.Offset < s.offset {
		return nil
	}
	if m.Offset > s.offset || len(s.parts) != int(m.Parts) {
		*s = snapshotParts{offset: m.Offset, parts: make([][]byte, m.Parts)}
	}
	if s.parts[m.Part] == nil {
		s.parts[m.Part] = m.Body
		s.got++
	}
	if s.got < len(s.parts) {
		return nil
	}
	var body []byte
	for _, part := range s.parts {
		body = append(body, part...)
	}
	*s = snapshotParts{offset: m.Offset}
	return body
}

// snapshotWriter is when the own entry VM writes snapshots to the log.
type snapshotWriter struct {
	// since is the instant at which the entry VM became the writer, or 0.
	since clock.Millis
	// writtenAt and writtenNext are of the last snapshot that was written here.
	writtenAt   clock.Millis
	writtenNext units.Offset
	// served holds the parts of the snapshot at servedNext for peers.
	served     []*peer.ConfigSnapshot
	servedNext units.Offset
	servedAt   clock.Millis
}

// splitSnapshot encodes the table in parts.
func (c *Core) splitSnapshot() []*peer.ConfigSnapshot {
	body, err := c.Table.Snapshot()
	if err != nil {
		panic("entry: table can't be encoded: " + err.Error())
	}
	n := (len(body) + snapshotPartBytes - 1) / snapshotPartBytes
	parts := make([]*peer.ConfigSnapshot, n)
	for i := range parts {
		parts[i] = &peer.ConfigSnapshot{
			Offset: c.Table.Next(), Part: int32(i), Parts: int32(n),
			Body: body[i*snapshotPartBytes : min((i+1)*snapshotPartBytes, len(body))],
		}
	}
	return parts
}

// sendSnapshot sends the table to a peer. It may be a few records old, which the
// peer then asks for.
func (c *Core) sendSnapshot(to units.EntryVMID, out *event.Effects) {
	w := &c.feed.writer
	if w.served == nil || w.servedNext != c.Table.Next() && c.now-w.servedAt >= snapshotServePeriod {
		w.served, w.servedNext, w.servedAt = c.splitSnapshot(), c.Table.Next(), c.now
	}
	for _, part := range w.served {
		out.Add(event.SendPeer{To: to, Message: part})
	}
}

// snapshotPassed takes a part of a snapshot from a peer.
func (c *Core) snapshotPassed(from units.EntryVMID, m *peer.ConfigSnapshot, out *event.Effects) {
	if m.Offset <= c.Table.Next() {
		return
	}
	c.feed.askedAt = c.now
	if body := c.feed.fromPeers.add(m); body != nil {
		c.restore(body, string(from), out)
	}
}

// snapshotRead takes records of the snapshot stream.
func (c *Core) snapshotRead(ev event.RecordsRead, out *event.Effects) {
	for i := range ev.Records {
		var m peer.ConfigSnapshot
		if msgpack.Unmarshal(ev.Records[i].Body, &m) != nil || m.Check() != nil || m.Offset <= c.Table.Next() {
			continue
		}
		if body := c.feed.fromLog.add(&m); body != nil {
			c.restore(body, "log", out)
		}
	}
}

// restore takes over a snapshot of a greater offset and goes on from there.
func (c *Core) restore(body []byte, source string, out *event.Effects) {
	newer, err := c.Table.Restore(body)
	if err != nil || !newer {
		return
	}
	f := &c.feed
	f.recent, f.recentBytes = nil, 0
	out.Add(event.Decision{Area: "table", Choice: "restored", Reason: "snapshot", Pairs: []any{"source", source, "offset", c.Table.Next()}})
	if f.gap {
		f.gap = false
		out.Add(event.StopTail{Stream: event.SnapshotStream})
	}
	if f.tailing {
		c.tailConfig(out)
	}
	c.configChanged(out)
}

// writeSnapshot writes a snapshot to the log where it is this entry VM's turn.
// Two writers do no harm: equal offsets give equal snapshots.
func (c *Core) writeSnapshot(out *event.Effects) {
	w := &c.feed.writer
	if !c.writesSnapshots() {
		w.since = 0
		return
	}
	if w.since == 0 {
		w.since, w.writtenAt = c.now, c.now-snapshotPeriod/2
	}
	due := c.now-w.writtenAt >= snapshotPeriod || c.Table.Next()-w.writtenNext >= snapshotRecords && c.now-w.writtenAt >= askRetry
	if !due || c.Table.Next() == 0 {
		return
	}
	w.writtenAt, w.writtenNext = c.now, c.Table.Next()
	for _, part := range c.splitSnapshot() {
		body, err := msgpack.Marshal(part)
		if err != nil {
			panic("entry: snapshot can't be encoded: " + err.Error())
		}
		id := units.RecordID(fmt.Sprintf("snapshot-%d-%d", part.Offset, part.Part))
		out.Add(event.AppendRecord{Stream: event.SnapshotStream, ID: id, Body: body})
	}
	out.Add(event.Decision{Area: "table", Choice: "snapshot", Reason: "written", Pairs: []any{"offset", c.Table.Next()}})
}

// writesSnapshots reports whether the own entry VM passes the config stream on
// in its failure domain, and no failure domain of a smaller name that reaches the
// log is heard of.
func (c *Core) writesSnapshots() bool {
	return c.configSeen && !c.feed.gap && c.pushes() && !c.Domains.SmallerReadsLog(c.now, c.cfg.Self.FailureDomain)
}
