package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// Delays and timeouts of the config feed.
const (
	// configRetryDelay is the time after which requested records or a requested snapshot
	// that did not arrive are requested again.
	configRetryDelay = clock.Second
	// bootstrapDelay is how long an entry VM that can't read the log waits for its peers
	// to report their offsets before it adopts theirs.
	bootstrapDelay = 4 * clock.Second
	// tailStallTimeout is the time after which a tail that does not reach the known end
	// of the stream is restarted.
	tailStallTimeout = 3 * clock.Second
)

// Limits of the config feed.
const (
	// directTails is the number of members of a failure domain that tail the config
	// stream from the log service while it is reachable.
	directTails = 2
	// maxRecentRecords and maxRecentBytes limit the records kept for peers.
	maxRecentRecords = 256
	maxRecentBytes   = 1 << 20
	// maxPushBytes limits the bytes of the records in one message.
	maxPushBytes = 256 << 10
)

// configFeed receives the config stream from the log service or from other entry VMs. The
// offset never decreases.
type configFeed struct {
	// tailing is true while this entry VM tails the config stream from the log service.
	// The tail started or last made progress at tailProgressAt.
	tailing        bool
	tailProgressAt clock.Millis
	// logUnreachable is true while this entry VM can't read the log service.
	logUnreachable bool
	// knownEnd is the largest known offset after the stream's last record.
	knownEnd units.Offset
	// recent holds consecutive applied records. The last one is at the offset before the
	// table's next.
	recent      []peer.Record
	recentBytes int
	// requestedAt is when records were last requested from a peer.
	requestedAt clock.Millis
	// startedAt is when the core handled its first event.
	startedAt clock.Millis
	// gap is true while the records at the table's offset have expired, so that a
	// snapshot is needed.
	gap bool
	// fromPeers and fromLog collect the parts of snapshots.
	fromPeers snapshotParts
	fromLog   snapshotParts
	writer    snapshotWriter
	// marksNext is the next offset of the quarantine stream to apply: earlier records are
	// outdated or were applied. It is -1 before the first read.
	marksNext units.Offset
}

// tickFeed selects where the config stream is read and requests missing records.
func (c *Core) tickFeed(out *event.Effects) {
	c.chooseTail(out)
	c.requestMissing(out)
	c.readyWithoutLog(out)
	c.writeSnapshot(out)
}

// chooseTail starts or stops tailing the log directly. An entry VM tails it until it is
// ready, and while fewer than directTails members with a smaller ID can read the log.
func (c *Core) chooseTail(out *event.Effects) {
	f := &c.feed
	wanted := !c.configSynced || f.gap || c.isDirectTail()
	stuck := f.tailing && f.knownEnd > c.Table.Next() && c.now-f.tailProgressAt >= tailStallTimeout && !f.gap
	switch {
	case wanted && (!f.tailing || stuck):
		c.tailConfig(out)
	case !wanted && f.tailing:
		f.tailing = false
		f.logUnreachable = false
		out.Add(event.StopTail{Stream: event.ConfigStream})
		out.Add(event.StopTail{Stream: event.PoisonStream})
	}
}

func (c *Core) tailConfig(out *event.Effects) {
	if !c.feed.tailing {
		c.feed.marksNext = -1
		out.Add(event.TailStream{Stream: event.PoisonStream})
	}
	c.feed.tailing = true
	c.feed.tailProgressAt = c.now
	out.Add(event.TailStream{Stream: event.ConfigStream, From: c.Table.Next()})
}

// isDirectTail reports whether fewer than directTails members with a smaller ID can read
// the log.
func (c *Core) isDirectTail() bool {
	before := 0
	for _, id := range c.Members.Members() {
		if id == c.Members.SelfID() {
			break
		}
		if p := c.Members.Peer(id); p != nil && !p.LogUnreachable {
			before++
		}
	}
	return before < directTails
}

// foldConfig applies records from any source. If this entry VM pushes updates, it sends
// the new records to the other members.
func (c *Core) foldConfig(records []peer.Record, out *event.Effects) {
	first := c.Table.Next()
	for i := range records {
		if c.Table.Fold(records[i]) {
			c.addRecent(records[i])
		}
	}
	if c.Table.Next() == first {
		return
	}
	c.configChanged(out)
	if c.pushesUpdates() {
		c.pushConfig(first, out)
	}
}

// configChanged handles a table whose offset has advanced.
func (c *Core) configChanged(out *event.Effects) {
	c.feed.knownEnd = max(c.feed.knownEnd, c.Table.Next())
	c.answerEdits(out)
	c.mergeVMs(out)
}

func (c *Core) addRecent(record peer.Record) {
	f := &c.feed
	f.recent = append(f.recent, record)
	f.recentBytes += len(record.Body)
	first := 0
	for len(f.recent)-first > maxRecentRecords || f.recentBytes > maxRecentBytes && first < len(f.recent) {
		f.recentBytes -= len(f.recent[first].Body)
		first++
	}
	if first > 0 {
		f.recent = append([]peer.Record(nil), f.recent[first:]...)
	}
}

// pushesUpdates reports whether this entry VM pushes new records to the other members
// immediately: the first member that tails the log itself. The others rely on the
// heartbeats, which show the members that are behind.
func (c *Core) pushesUpdates() bool {
	if !c.feed.tailing || c.feed.logUnreachable {
		return false
	}
	for _, id := range c.Members.Members() {
		if id == c.Members.SelfID() {
			return true
		}
		if p := c.Members.Peer(id); p != nil && !p.LogUnreachable {
			return false
		}
	}
	return false
}

// pushConfig sends the records from offset from on to the other members.
func (c *Core) pushConfig(from units.Offset, out *event.Effects) {
	for _, id := range c.Members.Members() {
		if id != c.Members.SelfID() {
			c.sendConfig(id, from, out)
		}
	}
}

// sendConfig sends the records from offset from on, as far as they fit into maxPushBytes,
// or a snapshot if they are no longer kept.
func (c *Core) sendConfig(to units.EntryVMID, from units.Offset, out *event.Effects) {
	recent := c.feed.recent
	if from >= c.Table.Next() {
		return
	}
	if len(recent) == 0 || from < recent[0].Offset {
		c.sendSnapshot(to, out)
		return
	}
	records := recent[from-recent[0].Offset:]
	bytes, n := 0, 0
	for n < len(records) && (n == 0 || bytes+len(records[n].Body) <= maxPushBytes) {
		bytes += len(records[n].Body)
		n++
	}
	out.Add(event.SendPeer{To: to, Message: &peer.ConfigRecords{From: from, Records: records[:n]}})
}

// configRequested answers a peer that is behind.
func (c *Core) configRequested(from units.EntryVMID, m *peer.ConfigRequest, out *event.Effects) {
	if c.configSynced {
		c.sendConfig(from, m.From, out)
	}
}

// configReceived handles records received from a peer.
func (c *Core) configReceived(from units.EntryVMID, m *peer.ConfigRecords, out *event.Effects) {
	if m.From > c.Table.Next() {
		c.feed.knownEnd = max(c.feed.knownEnd, m.From)
		c.requestConfig(from, out)
		return
	}
	c.foldConfig(m.Records, out)
	if c.Table.Next() < c.feed.knownEnd && len(m.Records) > 0 {
		c.requestConfig(from, out)
	}
}

func (c *Core) requestConfig(from units.EntryVMID, out *event.Effects) {
	c.feed.requestedAt = c.now
	out.Add(event.SendPeer{To: from, Message: &peer.ConfigRequest{From: c.Table.Next()}})
}

// requestMissing requests missing records from a live peer that is ahead, unless records
// were requested within configRetryDelay. Peers of this failure domain are preferred, and
// among equals the one with the largest offset.
func (c *Core) requestMissing(out *event.Effects) {
	if c.now-c.feed.requestedAt < configRetryDelay {
		return
	}
	var best *peerOffset
	for _, p := range c.Members.Peers() {
		offset := peerOffset{id: p.ID, offset: p.ConfigOffset, sameDomain: p.FailureDomain == c.cfg.Self.FailureDomain}
		if p.ConfigOffset > c.Table.Next() && c.Members.Alive(c.now, p.ID) && offset.better(best) {
			best = &offset
		}
	}
	if best != nil {
		c.feed.knownEnd = max(c.feed.knownEnd, best.offset)
		c.requestConfig(best.id, out)
	}
}

// peerOffset is the config offset in a peer's last heartbeat.
type peerOffset struct {
	id         units.EntryVMID
	offset     units.Offset
	sameDomain bool
}

// better reports whether records are requested from o rather than from than, which may be
// nil: a peer of this failure domain is preferred, then the larger offset.
func (o *peerOffset) better(than *peerOffset) bool {
	if than == nil || o.sameDomain != than.sameDomain {
		return than == nil || o.sameDomain
	}
	return o.offset > than.offset
}

// readyWithoutLog sets configSynced if this entry VM can't read the log but has caught up
// with all live peers and with the summaries of the other failure domains.
func (c *Core) readyWithoutLog(out *event.Effects) {
	f := &c.feed
	if c.configSynced || !f.logUnreachable || c.now-f.startedAt < bootstrapDelay || c.Table.Next() == 0 {
		return
	}
	if _, offset := c.Domains.MaxConfigOffset(c.now); offset > c.Table.Next() {
		return
	}
	for _, p := range c.Members.Peers() {
		if c.Members.Alive(c.now, p.ID) && p.ConfigOffset > c.Table.Next() {
			return
		}
	}
	c.configSynced = true
	out.Add(event.Decision{Area: "table", Choice: "ready", Reason: "caught_up_with_peers", Pairs: []any{"offset", c.Table.Next()}})
}

// configRead handles a batch of the config stream from the log service.
func (c *Core) configRead(ev event.RecordsRead, out *event.Effects) {
	f := &c.feed
	f.logUnreachable = false
	f.knownEnd = max(f.knownEnd, ev.End)
	if len(ev.Records) > 0 && ev.Records[0].Offset <= c.Table.Next() {
		f.tailProgressAt = c.now
	}
	c.foldConfig(ev.Records, out)
	if !c.configSynced && c.Table.Next() >= ev.End && !f.gap {
		c.configSynced = true
		c.mergeVMs(out)
	}
}

// configGap handles config records that expired before they were read. A snapshot is read
// from the log, and peers that are ahead are asked for records, which they answer with a
// snapshot if needed. The active table stays in effect until it arrives.
func (c *Core) configGap(ev event.StreamGap, out *event.Effects) {
	if ev.Oldest <= c.Table.Next() || c.feed.gap {
		return
	}
	c.feed.gap = true
	c.feed.knownEnd = max(c.feed.knownEnd, ev.Oldest)
	c.feed.fromLog = snapshotParts{}
	out.Add(event.Decision{Area: "table", Choice: "snapshot", Reason: "records_expired", Pairs: []any{"next", c.Table.Next(), "oldest", ev.Oldest}})
	out.Add(event.TailStream{Stream: event.SnapshotStream})
}
