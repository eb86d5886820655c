package entry

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/peer"
)

// Times of the config feed.
const (
	// askRetry is the time after which records or a snapshot that were asked
	// for and did not come are asked for again.
	askRetry = clock.Second
	// bootstrapWait is how long an entry VM that can't read the log waits for
	// its peers to tell their offsets before it takes theirs.
	bootstrapWait = 4 * clock.Second
	// retailPeriod is the time after which a tail that does not reach the known
	// end of the stream is started anew.
	retailPeriod = 3 * clock.Second
)

// Bounds of the config feed.
const (
	// directTails is the number of members of a failure domain that read the
	// config stream from the log service while they can.
	directTails = 2
	// maxRecent and maxRecentBytes bound the records kept for peers.
	maxRecent      = 256
	maxRecentBytes = 1 << 20
	// maxPushBytes bounds the records of one message.
	maxPushBytes = 256 << 10
)

// configFeed is how the entry VM gets the config stream: from the log service or
// from other entry VMs. It only ever leads to greater offsets.
type configFeed struct {
	tailing  bool
	tailedAt clock.Millis
	// unreachable is set while the log service can't be read by this entry VM.
	unreachable bool
	// end is the greatest known offset after the stream's last record.
	end units.Offset
	// recent holds consecutive folded records, the last of them at the offset
	// before the table's next.
	recent      []peer.Record
	recentBytes int
	askedAt     clock.Millis
	startedAt   clock.Millis
	// gap is set while the records at the table's offset have expired, so that a
	// snapshot is needed.
	gap bool
	// fromPeers and fromLog gather the parts of snapshots.
	fromPeers snapshotParts
	fromLog   snapshotParts
	writer    snapshotWriter
	// marksFrom is the offset in the stream of quarantines before which records
	// are of the past or were taken, or -1 before the first read.
	marksFrom units.Offset
}

// tickFeed chooses where the config stream is read and asks for what is missing.
func (c *Core) tickFeed(out *event.Effects) {
	c.chooseTail(out)
	c.askWhenBehind(out)
	c.readyWithoutLog(out)
	c.writeSnapshot(out)
}

// chooseTail starts or ends reading the log directly. Until it is ready, and
// while fewer than directTails members before it can read the log, an entry VM
// reads for itself.
func (c *Core) chooseTail(out *event.Effects) {
	f := &c.feed
	wanted := !c.configSeen || f.gap || c.isDirectTail()
	stuck := f.tailing && f.end > c.Table.Next() && c.now-f.tailedAt >= retailPeriod && !f.gap
	switch {
	case wanted && (!f.tailing || stuck):
		c.tailConfig(out)
	case !wanted && f.tailing:
		f.tailing = false
		f.unreachable = false
		out.Add(event.StopTail{Stream: event.ConfigStream})
		out.Add(event.StopTail{Stream: event.PoisonStream})
	}
}

func (c *Core) tailConfig(out *event.Effects) {
	if !c.feed.tailing {
		c.feed.marksFrom = -1
		out.Add(event.TailStream{Stream: event.PoisonStream})
	}
	c.feed.tailing = true
	c.feed.tailedAt = c.now
	out.Add(event.TailStream{Stream: event.ConfigStream, From: c.Table.Next()})
}

// isDirectTail reports whether fewer than directTails members with a smaller id
// can read the log.
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

// foldConfig folds records from wherever they come and passes them on.
func (c *Core) foldConfig(records []peer.Record, out *event.Effects) {
	first := c.Table.Next()
	for i := range records {
		if c.Table.Fold(records[i]) {
			c.keepRecent(records[i])
		}
	}
	if c.Table.Next() == first {
		return
	}
	c.configChanged(out)
	if c.pushes() {
		c.pushConfig(first, out)
	}
}

// configChanged acts on a table that has moved on.
func (c *Core) configChanged(out *event.Effects) {
	c.feed.end = max(c.feed.end, c.Table.Next())
	c.answerEdits(out)
	c.learnVMs(out)
}

func (c *Core) keepRecent(record peer.Record) {
	f := &c.feed
	f.recent = append(f.recent, record)
	f.recentBytes += len(record.Body)
	first := 0
	for len(f.recent)-first > maxRecent || f.recentBytes > maxRecentBytes && first < len(f.recent) {
		f.recentBytes -= len(f.recent[first].Body)
		first++
	}
	if first > 0 {
		f.recent = append([]peer.Record(nil), f.recent[first:]...)
	}
}

// pushes reports whether this entry VM is the one that passes new records on at
// once: the first member that reads the log itself. The others leave it to the
// heartbeats, which show who is behind.
func (c *Core) pushes() bool {
	if !c.feed.tailing || c.feed.unreachable {
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

// pushConfig sends the records from an offset on to the other members.
func (c *Core) pushConfig(from units.Offset, out *event.Effects) {
	for _, id := range c.Members.Members() {
		if id != c.Members.SelfID() {
			c.sendConfig(id, from, out)
		}
	}
}

// sendConfig sends what follows offset from: records if they are at hand, else a
// snapshot.
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

// configAsked answers a peer that is behind.
func (c *Core) configAsked(from units.EntryVMID, m *peer.ConfigAsk, out *event.Effects) {
	if c.configSeen {
		c.sendConfig(from, m.From, out)
	}
}

// configPassed takes records that a peer passes on.
func (c *Core) configPassed(from units.EntryVMID, m *peer.ConfigRecords, out *event.Effects) {
	if m.From > c.Table.Next() {
		c.feed.end = max(c.feed.end, m.From)
		c.askConfig(from, out)
		return
	}
	c.foldConfig(m.Records, out)
	if c.Table.Next() < c.feed.end && len(m.Records) > 0 {
		c.askConfig(from, out)
	}
}

func (c *Core) askConfig(from units.EntryVMID, out *event.Effects) {
	c.feed.askedAt = c.now
	out.Add(event.SendPeer{To: from, Message: &peer.ConfigAsk{From: c.Table.Next()}})
}

// askWhenBehind asks the peer that is known to be the furthest, one of the own
// failure domain first, for what is missing here.
func (c *Core) askWhenBehind(out *event.Effects) {
	if c.now-c.feed.askedAt < askRetry {
		return
	}
	var best *peerOffset
	for _, p := range c.Members.Peers() {
		offset := peerOffset{id: p.ID, offset: p.ConfigOffset, near: p.FailureDomain == c.cfg.Self.FailureDomain}
		if p.ConfigOffset > c.Table.Next() && c.Members.Alive(c.now, p.ID) && offset.better(best) {
			best = &offset
		}
	}
	if best != nil {
		c.feed.end = max(c.feed.end, best.offset)
		c.askConfig(best.id, out)
	}
}

// peerOffset is how far a peer is known to be.
type peerOffset struct {
	id     units.EntryVMID
	offset units.Offset
	near   bool
}

func (o *peerOffset) better(than *peerOffset) bool {
	if than == nil || o.near != than.near {
		return than == nil || o.near
	}
	return o.offset > than.offset
}

// readyWithoutLog makes an entry VM ready that can't read the log but has caught
// up with all peers that it hears.
func (c *Core) readyWithoutLog(out *event.Effects) {
	f := &c.feed
	if c.configSeen || !f.unreachable || c.now-f.startedAt < bootstrapWait || c.Table.Next() == 0 {
		return
	}
	if _, offset := c.Domains.Furthest(c.now); offset > c.Table.Next() {
		return
	}
	for _, p := range c.Members.Peers() {
		if c.Members.Alive(c.now, p.ID) && p.ConfigOffset > c.Table.Next() {
			return
		}
	}
	c.configSeen = true
	out.Add(event.Decision{Area: "table", Choice: "ready", Reason: "caught_up_with_peers", Pairs: []any{"offset", c.Table.Next()}})
}

// configRead takes a batch of the config stream from the log service.
func (c *Core) configRead(ev event.RecordsRead, out *event.Effects) {
	f := &c.feed
	f.unreachable = false
	f.end = max(f.end, ev.End)
	if len(ev.Records) > 0 && ev.Records[0].Offset <= c.Table.Next() {
		f.tailedAt = c.now
	}
	c.foldConfig(ev.Records, out)
	if !c.configSeen && c.Table.Next() >= ev.End && !f.gap {
		c.configSeen = true
		c.learnVMs(out)
	}
}

// configGap acts on records of the config stream that expired before they were
// read: a snapshot is looked for in the log and asked for at peers. The table in
// force stays until then.
func (c *Core) configGap(ev event.StreamGap, out *event.Effects) {
	if ev.Oldest <= c.Table.Next() || c.feed.gap {
		return
	}
	c.feed.gap = true
	c.feed.end = max(c.feed.end, ev.Oldest)
	c.feed.fromLog = snapshotParts{}
	out.Add(event.Decision{Area: "table", Choice: "snapshot", Reason: "records_expired", Pairs: []any{"next", c.Table.Next(), "oldest", ev.Oldest}})
	out.Add(event.TailStream{Stream: event.SnapshotStream})
}
