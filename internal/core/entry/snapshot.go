package entry

import (
	"fmt"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits and periods of snapshots.
const (
	snapshotPartBytes = 192 << 10
	// snapshotRecords is the number of records after which a snapshot is written.
	snapshotRecords = 256
	// snapshotPeriod is the maximum interval between snapshots. It is far below the
	// retention period of the log service.
	snapshotPeriod = 15 * clock.Minute
	// snapshotCacheTTL is how long one encoded snapshot is sent to all peers that request
	// it, so that many restarts at once cost one encoding.
	snapshotCacheTTL = 2 * clock.Second
)

// snapshotParts collects the parts of the newest snapshot received. The zero value is
// empty.
type snapshotParts struct {
	offset   units.Offset
	parts    [][]byte
	received int
}

// add stores a part. It returns the whole body once all parts have arrived, or else nil.
func (s *snapshotParts) add(m *peer.ConfigSnapshot) []byte {
	if m.Offset < s.offset {
		return nil
	}
	if m.Offset > s.offset || len(s.parts) != int(m.Parts) {
		*s = snapshotParts{offset: m.Offset, parts: make([][]byte, m.Parts)}
	}
	if s.parts[m.Part] == nil {
		s.parts[m.Part] = m.Body
		s.received++
	}
	if s.received < len(s.parts) {
		return nil
	}
	var body []byte
	for _, part := range s.parts {
		body = append(body, part...)
	}
	*s = snapshotParts{offset: m.Offset}
	return body
}

// snapshotWriter tracks the snapshots that this entry VM writes to the log and sends to
// peers.
type snapshotWriter struct {
	// writerSince is when this entry VM became the writer, or 0 if it is not the writer.
	writerSince clock.Millis
	// writtenAt and writtenNext are the time and the offset of the last snapshot written
	// here.
	writtenAt   clock.Millis
	writtenNext units.Offset
	// served holds the parts of the snapshot at servedNext for peers.
	served     []*peer.ConfigSnapshot
	servedNext units.Offset
	servedAt   clock.Millis
}

// splitSnapshot encodes the table as the parts of a snapshot.
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

// sendSnapshot sends a snapshot to a peer. It may lack the latest records, which the peer
// then requests.
func (c *Core) sendSnapshot(to units.EntryVMID, out *event.Effects) {
	w := &c.feed.writer
	if w.served == nil || w.servedNext != c.Table.Next() && c.now-w.servedAt >= snapshotCacheTTL {
		w.served, w.servedNext, w.servedAt = c.splitSnapshot(), c.Table.Next(), c.now
	}
	for _, part := range w.served {
		out.Add(event.SendPeer{To: to, Message: part})
	}
}

// snapshotReceived handles a part of a snapshot from a peer.
func (c *Core) snapshotReceived(from units.EntryVMID, m *peer.ConfigSnapshot, out *event.Effects) {
	if m.Offset <= c.Table.Next() {
		return
	}
	c.feed.requestedAt = c.now
	if body := c.feed.fromPeers.add(m); body != nil {
		c.restore(body, string(from), out)
	}
}

// snapshotRead handles records of the snapshot stream.
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

// restore replaces the table by a snapshot with a larger offset and, if the log is
// tailed, resumes the config stream from there. It ignores other snapshots.
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

// writeSnapshot writes a snapshot to the log if this entry VM is the writer and one is
// due. A new writer counts its first snapshotPeriod as half elapsed. Two writers do no
// harm: equal offsets give equal snapshots.
func (c *Core) writeSnapshot(out *event.Effects) {
	w := &c.feed.writer
	if !c.writesSnapshots() {
		w.writerSince = 0
		return
	}
	if w.writerSince == 0 {
		w.writerSince, w.writtenAt = c.now, c.now-snapshotPeriod/2
	}
	due := c.now-w.writtenAt >= snapshotPeriod || c.Table.Next()-w.writtenNext >= snapshotRecords && c.now-w.writtenAt >= configRetryDelay
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

// writesSnapshots reports whether this entry VM pushes the config stream in its failure
// domain, and no failure domain with a smaller name is known to read the log.
func (c *Core) writesSnapshots() bool {
	return c.configSynced && !c.feed.gap && c.pushesUpdates() && !c.Domains.LowerDomainReadsLog(c.now, c.cfg.Self.FailureDomain)
}
