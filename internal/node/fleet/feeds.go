package fleet

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/pkg/errors"
)

// Timing of feed reads from the store.
const (
	// configPollTimeout bounds a long poll for configuration updates. It is short
	// enough for a dead connection to be detected in time.
	configPollTimeout = 800 * clock.Millis(1)
	// serversReadPeriod is the time between two reads of the backend server list.
	serversReadPeriod = 900 * time.Millisecond
	// readRetryDelay follows a failed read. It doubles with each failure in a row, up to
	// maxReadRetryDelay, or maxPlacerRetryDelay for an entry VM that relays the feeds.
	readRetryDelay      = 250 * time.Millisecond
	maxReadRetryDelay   = 1600 * time.Millisecond
	maxPlacerRetryDelay = 500 * time.Millisecond
	// fullReadPeriod is the time between two reads of all entries.
	fullReadPeriod = 15 * clock.Second
	// relayTTL is how long a feed counts as up to date after an update relayed by
	// the placer. It leaves time to read the store within the bound on the age of
	// configurations.
	relayTTL = 1700 * clock.Millis(1)
	// relaySpread is added to relayTTL for each entry VM that reports to the placer, up to
	// maxRelaySpread, times a share that depends on the entry VM's id. Without updates from
	// the placer, few read the store first and pass on to the placer what they read.
	relaySpread    = 10 * clock.Millis(1)
	maxRelaySpread = clock.Second
	// relayPollPeriod is the time between two checks of relayTTL.
	relayPollPeriod = 100 * time.Millisecond
)

// feed tracks how far one of the two feeds was read.
type feed struct {
	name Feed
	// mu guards next, fullReadAt, synced, relayedAt and confirmedAt.
	mu         sync.Mutex
	next       units.Offset
	fullReadAt clock.Millis
	// synced is true if the feed was read in full and no update was missed since.
	synced bool
	// relayedAt is the time of the last relayed update without a gap before it.
	relayedAt clock.Millis
	// confirmedAt is when the feed was last known to be read to its end, by the clock that counts
	// suspended time.
	confirmedAt clock.Millis
	// failures counts the last reads in a row that failed. Only the goroutine that follows
	// the feed changes it, and uses source, that of the last update.
	failures atomic.Int32
	source   string
}

// offset returns the offset of the next read.
func (f *feed) offset() units.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// relayed reports whether f has missed no update and the placer relayed one within ttl.
func (f *feed) relayed(now, ttl clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced && f.relayedAt > 0 && now < f.relayedAt+ttl
}

// isCurrent reports whether f was read to its end within some time.
func (f *feed) isCurrent(bootNow, within clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt > 0 && bootNow < f.confirmedAt+within
}

// relayTTL returns how long the feeds count as up to date after a relayed update.
func (n *Node) relayTTL() clock.Millis {
	spread := min(clock.Millis(n.members.Load())*relaySpread, maxRelaySpread)
	share := float64(hashID(units.RequestID(n.settings.ID))>>11) / (1 << 53)
	return relayTTL + clock.Millis(share*float64(spread))
}

// follow reads a feed from the store until ctx is done. It pauses while the placer of this
// entry VM's region relays the feed, since applyRelayed applies those updates. A read waits
// up to wait for an update unless it is a full one; interval is the time between two reads.
// apply returns the records to relay. The error is always nil.
func (n *Node) follow(ctx context.Context, f *feed, wait clock.Millis, interval time.Duration, apply func(*FeedUpdate) []peer.FeedRecord) error {
	for ctx.Err() == nil {
		relayed := !n.relaysFeeds() && f.relayed(n.clock.Now(), n.relayTTL())
		n.logSource(f, relayed)
		if relayed {
			sleep(ctx, relayPollPeriod)
			continue
		}
		var from units.Offset
		var update *FeedUpdate
		err := errPanic
		n.guard("read of feed "+string(f.name), func() { from, update, err = n.readFeed(ctx, f, wait) })
		n.meter.StoreRead(string(f.name), err == nil)
		n.logDependency(ctx, f, err)
		if err != nil {
			sleep(ctx, n.retryDelay(f))
			continue
		}
		n.guard("feed "+string(f.name), func() {
			n.passOn(&peer.FeedUpdate{Feed: string(f.name), From: from, Next: update.Next, Records: apply(update)}, update.Full)
		})
		sleep(ctx, interval)
	}
	return nil
}

// retryDelay returns the time to wait after the failed read of a feed.
func (n *Node) retryDelay(f *feed) time.Duration {
	longest := maxReadRetryDelay
	if n.relaysFeeds() {
		longest = maxPlacerRetryDelay
	}
	return min(readRetryDelay<<max(0, min(f.failures.Load()-1, 6)), longest)
}

// passOn passes an update that was read from the store to the subscribers if this entry VM
// relays the feeds, otherwise to the placer of its region, which may be cut off from the store.
// The placer gets no full reads: what changed is relative to the state of this entry VM.
func (n *Node) passOn(update *peer.FeedUpdate, full bool) {
	p := n.ownPlacer()
	if n.relaysFeeds() {
		p.inputs.Push(relayInput{update: update})
		return
	}
	if full {
		return
	}
	var placerUp bool
	n.withCore(func(core *choose.Core) { placerUp = core.PlacerUp(n.clock.Now(), p.shard) })
	if holder, address := p.holder(); placerUp && holder != "" && holder != n.settings.ID {
		n.links.Send(holder, address, update)
	}
}

// logSource logs a change of the source of a feed's updates.
func (n *Node) logSource(f *feed, relayed bool) {
	if source := sourceOf(relayed); f.source != source {
		f.source = source
		n.log.Info("feed_source", "feed", f.name, "source", source, "next", f.offset())
	}
}

// sourceOf returns the name of a feed's source as it is logged.
func sourceOf(relayed bool) string {
	if relayed {
		return "placer"
	}
	return "store"
}

// ownPlacer returns the placer worker of this entry VM's region.
func (n *Node) ownPlacer() *placerWorker { return n.placers[string(n.settings.Region)] }

// relaysFeeds reports whether this entry VM relays feed updates to others.
func (n *Node) relaysFeeds() bool { return n.ownPlacer().relaysFeeds.Load() }

// readFeed reads an update of f from the store and returns it with the offset that was
// due to be read. The update is a full one if an earlier one may have been missed or the
// last full read is fullReadPeriod old. After an ExpiredError the next read is a full one.
func (n *Node) readFeed(ctx context.Context, f *feed, wait clock.Millis) (units.Offset, *FeedUpdate, error) {
	f.mu.Lock()
	synced, from, fullReadAt := f.synced, f.next, f.fullReadAt
	f.mu.Unlock()
	now, bootNow := n.clock.Now(), n.clock.BootNow()
	if !synced || now >= fullReadAt+fullReadPeriod {
		full, err := n.system.ReadFull(ctx, f.name)
		if err != nil {
			return 0, nil, errors.WithStack(err)
		}
		f.mu.Lock()
		f.synced, f.fullReadAt, f.next, f.confirmedAt = true, now, full.Next, bootNow
		f.mu.Unlock()
		return from, full, nil
	}
	update, err := n.system.ReadUpdates(ctx, f.name, from, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		n.log.Warn("feed_expired", "feed", f.name, "next", from, "oldest", expired.Oldest)
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
	}
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	f.mu.Lock()
	f.next, f.confirmedAt = max(f.next, update.Next), max(f.confirmedAt, bootNow)
	f.mu.Unlock()
	return from, update, nil
}

// applyRelayed applies an update that another entry VM has read, unless there is a gap before
// it, it is older than what was read here, or the feed must be read in full first. A placer
// takes and relays such updates only while its own reads fail.
func (n *Node) applyRelayed(m *peer.FeedUpdate) {
	f, apply := &n.configFeed, n.applyConfig
	if Feed(m.Feed) == FeedServers {
		f, apply = &n.serversFeed, n.applyServers
	}
	placer := n.relaysFeeds()
	if placer && f.failures.Load() == 0 {
		return
	}
	f.mu.Lock()
	fits := f.synced && m.From <= f.next && m.Next >= f.next
	isNew := fits && m.Next > f.next
	if fits {
		f.relayedAt, f.next, f.confirmedAt = n.clock.Now(), m.Next, n.clock.BootNow()
	}
	f.mu.Unlock()
	// A full read by the placer may find changes at the same offset.
	if isNew || fits && len(m.Records) > 0 {
		apply(n.system.DecodeUpdate(f.name, m.Records))
	}
	if placer && fits {
		n.ownPlacer().inputs.Push(relayInput{update: m})
	}
}

// logDependency logs when reads of a feed start to fail and when they succeed again.
func (n *Node) logDependency(ctx context.Context, f *feed, err error) {
	if ctx.Err() != nil {
		return
	}
	switch {
	case err != nil && f.failures.Load() == 0:
		n.log.Warn("dependency_lost", "dependency", "store", "feed", f.name, "error", err)
	case err == nil && f.failures.Load() > 0:
		n.log.Info("dependency_regained", "dependency", "store", "feed", f.name, "next", f.offset())
	}
	if err == nil {
		f.failures.Store(0)
	} else {
		f.failures.Add(1)
	}
}

// applyConfig applies the configuration and the named versions. It returns the records
// to relay.
func (n *Node) applyConfig(update *FeedUpdate) []peer.FeedRecord {
	now := n.clock.Now()
	changed := false
	n.withCore(func(core *choose.Core) {
		changed = update.Config != nil && core.SetConfig(update.Config)
		for _, v := range update.Versions {
			core.Announce(now, v.Adapter, v.Revision)
		}
	})
	if changed {
		n.config.Store(update.Config)
		n.meter.SetConfigVersion(update.Config.Version)
		n.log.Info("config_in_force", "version", update.Config.Version, "routes", len(update.Config.Routes), "services", len(update.Config.Services))
	}
	for _, v := range update.Versions {
		if !update.Full {
			n.log.Info("adapter_version_named", "adapter", v.Adapter, "revision", int64(v.Revision))
		}
		for _, p := range n.placers {
			p.inputs.Push(versionInput{NamedVersion: v})
		}
	}
	if update.Skipped > 0 {
		n.log.Warn("entries_passed_over", "feed", FeedConfig, "count", update.Skipped)
	}
	n.propagateUpdate()
	return feedRecords(update, nil)
}

// feedRecords returns the records of an update sorted by key. If changed is not nil,
// it returns only the records of the backend servers in it.
func feedRecords(update *FeedUpdate, changed map[units.BackendServerID]bool) []peer.FeedRecord {
	var list []peer.FeedRecord
	for key, value := range update.Records {
		if changed == nil || changed[units.BackendServerID(key)] {
			list = append(list, peer.FeedRecord{Key: key, Value: value})
		}
	}
	for id := range changed {
		if _, ok := update.Records[string(id)]; !ok {
			// Missing from a full read: an empty value removes the key.
			list = append(list, peer.FeedRecord{Key: string(id)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// applyServers applies the list of backend servers. It returns the records to relay:
// only those that changed, since most only report that a backend server is alive.
func (n *Node) applyServers(update *FeedUpdate) []peer.FeedRecord {
	var changed map[units.BackendServerID]bool
	var count int
	n.withCore(func(core *choose.Core) {
		changed = n.mergeServers(update)
		core.SetServers(n.clock.Now(), n.servers.All())
		count = n.servers.Len()
	})
	if len(changed) > 0 {
		n.log.Info("servers_changed", "count", count, "changed", len(changed), "whole", update.Full, "dropped", len(update.Removed), "passed_over", update.Skipped)
	}
	n.propagateUpdate()
	return feedRecords(update, changed)
}

// mergeServers merges an update into the server list and returns the backend servers
// that changed. n.mu must be held.
func (n *Node) mergeServers(update *FeedUpdate) map[units.BackendServerID]bool {
	changed := map[units.BackendServerID]bool{}
	listed := map[units.BackendServerID]bool{}
	for _, s := range update.Servers {
		listed[s.ID] = true
		if n.servers.Put(s) {
			changed[s.ID] = true
		}
	}
	for _, id := range update.Removed {
		if n.servers.Drop(id) {
			changed[id] = true
		}
	}
	if !update.Full {
		return changed
	}
	for _, s := range n.servers.All() {
		if !listed[s.ID] {
			n.servers.Drop(s.ID)
			changed[s.ID] = true
		}
	}
	return changed
}

// propagateUpdate hands a new configuration or server list to the placer workers and
// marks the entry VM as ready once it has a configuration, a backend server and the verdicts in
// the store.
func (n *Node) propagateUpdate() {
	var ready bool
	var cfg *topo.Config
	var servers []*topo.Server
	n.withCore(func(core *choose.Core) {
		ready, cfg, servers = core.Ready(n.clock.Now()), core.Config(), n.servers.All()
	})
	if ready && n.knowsQuarantines() && !n.ready.Swap(true) {
		n.log.Info("entry_vm_ready", "entry_vm", n.settings.ID)
	}
	if cfg == nil {
		return
	}
	for _, p := range n.placers {
		p.inputs.Push(serversInput{servers: servers, services: cfg.Services})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
