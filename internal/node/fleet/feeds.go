package fleet

import (
	"context"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/credit"
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
	// applying is held while an update is applied, so that none is applied after a newer one.
	applying sync.Mutex
	// mu guards era, next, fullReadAt, synced, relayedAt, readAt, confirmedAt and readToEndAt.
	mu sync.Mutex
	// era is that of next.
	era        units.Era
	next       units.Offset
	fullReadAt clock.Millis
	// synced is true if the feed was read in full and no update was missed since.
	synced bool
	// relayedAt is the time of the last relayed update without a gap before it.
	relayedAt clock.Millis
	// readAt is when the last read from the store that succeeded began, confirmedAt when the feed
	// was last known to be read to its end. Both are by the clock that counts suspended time.
	readAt, confirmedAt clock.Millis
	// readToEndAt is when the last read from the store that reached the end began, by the same clock.
	readToEndAt  clock.Millis
	confirmation confirmation
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

// newestEra returns the era of the next read.
func (f *feed) newestEra() units.Era {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// relayed reports whether f has missed no update, the placer relayed one within ttl, and f was read
// from the store since resumedAt.
func (f *feed) relayed(now, ttl, resumedAt clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced && f.relayedAt > 0 && now < f.relayedAt+ttl && f.readAt >= resumedAt
}

// readToEndSince reports whether f was read from the store to its end by a read that began at a time or
// later.
func (f *feed) readToEndSince(bootTime clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readToEndAt >= bootTime
}

// maxUnread bounds the time for which a feed counts as not read.
const maxUnread = clock.Minute

// unreadSince returns the time since which entries of a feed may have been in the store unread.
func (n *Node) unreadSince(f *feed) clock.Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := n.clock.Now()
	if f.confirmedAt == 0 {
		return now
	}
	return now - min(n.clock.BootNow()-f.confirmedAt, maxUnread)
}

// storeRead is a read of a feed from the store.
type storeRead struct {
	update *FeedUpdate
	// from is the offset that was due to be read, fromEra its era.
	from    units.Offset
	fromEra units.Era
	// at and bootAt are the times at which it began.
	at, bootAt clock.Millis
}

// accept records a read from the store. It reports false if a relayed update that came meanwhile is
// newer.
func (f *feed) accept(r *storeRead) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.update.Era < f.era || r.update.Era == f.era && f.next != r.from && f.next > r.update.Next {
		return false
	}
	if r.update.Full {
		f.synced, f.fullReadAt = true, r.at
	}
	if r.update.Restored {
		f.fullReadAt += restoredReadDelay - fullReadPeriod
	}
	f.era, f.next, f.readAt = r.update.Era, r.update.Next, r.bootAt
	if !r.update.Behind {
		f.confirmedAt, f.readToEndAt = max(f.confirmedAt, r.bootAt), max(f.readToEndAt, r.bootAt)
	}
	return true
}

// acceptRelayed records a relayed update, and reports whether it follows what was read and whether
// it reaches beyond that.
func (f *feed) acceptRelayed(m *peer.FeedUpdate, now, bootNow clock.Millis) (fits, isNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced || m.From > f.next || m.FromEra != f.era || !m.Restored() && m.Next < f.next {
		return false, false
	}
	isNew = m.Restored() || m.Next > f.next
	f.relayedAt, f.era, f.next = now, m.Era, m.Next
	if !m.Behind {
		f.confirmedAt = bootNow
	}
	return true, isNew
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
// apply returns the update to relay. The error is always nil.
func (n *Node) follow(ctx context.Context, f *feed, wait clock.Millis, interval time.Duration, apply func(*FeedUpdate) *peer.FeedUpdate) error {
	for ctx.Err() == nil {
		relayed := !n.relaysFeeds() && f.relayed(n.clock.Now(), n.relayTTL(), n.noteRunning())
		n.logSource(f, relayed)
		if relayed {
			sleep(ctx, relayPollPeriod)
			continue
		}
		var r *storeRead
		err := errPanic
		n.guard("read of feed "+string(f.name), func() { r, err = n.readFeed(ctx, f, wait) })
		n.meter.StoreRead(string(f.name), err == nil)
		n.logDependency(ctx, f, err)
		if err != nil {
			sleep(ctx, n.retryDelay(f))
			continue
		}
		n.guard("feed "+string(f.name), func() { n.applyRead(f, r, apply) })
		sleep(ctx, interval)
	}
	return nil
}

// applyRead applies a read of a feed from the store and passes it on, unless a newer relayed update
// was applied meanwhile.
func (n *Node) applyRead(f *feed, r *storeRead, apply func(*FeedUpdate) *peer.FeedUpdate) {
	f.applying.Lock()
	defer f.applying.Unlock()
	r.update.Since = n.unreadSince(f)
	if !f.accept(r) {
		return
	}
	m := apply(r.update)
	m.Feed, m.From, m.Next, m.Behind = string(f.name), r.from, r.update.Next, r.update.Behind
	m.FromEra, m.Era = r.fromEra, r.update.Era
	if m.Next < m.From && !m.Restored() {
		// The store has lost records. Only full reads tell what is left.
		m.From = m.Next
	}
	n.passOn(m, r.update.Full)
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

// readFeed reads an update of f from the store. The update is a full one if an earlier one may
// have been missed or the last full read is fullReadPeriod old. After an ExpiredError the next read
// is a full one.
func (n *Node) readFeed(ctx context.Context, f *feed, wait clock.Millis) (*storeRead, error) {
	f.mu.Lock()
	full := n.clock.Now() >= f.fullReadAt+fullReadPeriod
	f.mu.Unlock()
	return n.readNext(ctx, f, wait, full)
}

// readNext is readFeed with a full read if full is true or an update may have been missed.
func (n *Node) readNext(ctx context.Context, f *feed, wait clock.Millis, full bool) (*storeRead, error) {
	f.mu.Lock()
	synced := f.synced
	r := &storeRead{from: f.next, fromEra: f.era, at: n.clock.Now(), bootAt: n.clock.BootNow()}
	f.mu.Unlock()
	var err error
	if !synced || full {
		return r, n.readAll(ctx, f, synced, r)
	}
	r.update, err = n.system.ReadUpdates(ctx, f.name, r.from, wait)
	if err == nil && r.update.Era > r.fromEra {
		return r, n.readAll(ctx, f, synced, r)
	}
	var expired *ExpiredError
	if errors.As(err, &expired) {
		n.log.Warn("feed_expired", "feed", f.name, "next", r.from, "oldest", expired.Oldest)
		f.mu.Lock()
		f.synced = false
		f.mu.Unlock()
	}
	return r, errors.WithStack(err)
}

// readSkipped adds to a full read of the backend servers the versions that only records before it
// name: those of servers that were listed and removed since the last update. Full reads of the
// configuration miss others that were in force before the one that they bring.
func (n *Node) readSkipped(ctx context.Context, f *feed, synced bool, r *storeRead) error {
	if !synced || r.update.Restored || r.update.Next < r.from {
		r.update.Gap = true
		return nil
	}
	if f.name != FeedServers {
		cfg := n.config.Load()
		r.update.Gap = cfg != nil && r.update.Config != nil && r.update.Config.Version > cfg.Version
		return nil
	}
	list, err := n.system.ReadSoftware(ctx, r.from, r.update.Next)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		n.log.Warn("feed_expired", "feed", f.name, "next", r.from, "oldest", expired.Oldest)
		r.update.Gap = true
		return nil
	}
	r.update.Software = append(r.update.Software, list...)
	return errors.WithStack(err)
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
	n.noteRunning()
	f.applying.Lock()
	defer f.applying.Unlock()
	since := n.unreadSince(f)
	fits, isNew := f.acceptRelayed(m, n.clock.Now(), n.clock.BootNow())
	if !fits {
		return
	}
	// A full read by the placer may find changes at the same offset.
	if isNew || len(m.Records) > 0 || m.Gap {
		update := n.system.DecodeUpdate(f.name, m.Records)
		update.Software, update.Gap, update.Since = append(update.Software, m.Software...), m.Gap, since
		apply(update)
	}
	if placer {
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

// applyConfig applies the configuration and the named versions. It returns the update with the
// records to relay.
func (n *Node) applyConfig(update *FeedUpdate) *peer.FeedUpdate {
	changed := false
	n.origins.applyConfigs(n.clock.Now(), update)
	n.withCore(func(core *choose.Core) {
		changed = update.Config != nil && core.SetConfig(update.Config)
		for _, v := range update.Versions {
			core.Announce(update.Since, v.Adapter, v.Revision)
		}
	})
	if changed {
		n.withCredits(func(core *credit.Core) { core.SetCustomers(n.clock.BootNow(), update.Config.Customers.All()) })
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
	// Relayed records lack the configurations that others have replaced.
	return &peer.FeedUpdate{Records: feedRecords(update, nil), Gap: update.Gap || len(update.Replaced) > 0}
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

// applyServers applies the list of backend servers. It returns the update to relay: with the
// records that changed only, since most only report that a backend server is alive, and with the
// versions that these records don't name.
func (n *Node) applyServers(update *FeedUpdate) *peer.FeedUpdate {
	var changed map[units.BackendServerID]bool
	var unlisted []topo.ServiceSoftware
	var count int
	var restarted bool
	n.withCore(func(core *choose.Core) {
		now := n.clock.Now()
		if update.Gap {
			restarted = core.RestartSoftwareHistory(now)
		}
		core.AddSoftware(now, update.Software)
		changed = n.mergeServers(update)
		core.SetServers(now, n.servers.All())
		count = n.servers.Len()
		unlisted = n.unlistedSoftware(update.Software)
	})
	if restarted {
		n.log.Info("software_history_restarted", "next", update.Next)
	}
	if len(changed) > 0 {
		n.log.Info("servers_changed", "count", count, "changed", len(changed), "whole", update.Full, "dropped", len(update.Removed), "passed_over", update.Skipped)
	}
	n.propagateUpdate()
	return &peer.FeedUpdate{Records: feedRecords(update, changed), Software: unlisted, Gap: update.Gap}
}

// unlistedSoftware returns those of some versions that no listed backend server has. n.mu must be
// held.
func (n *Node) unlistedSoftware(list []topo.ServiceSoftware) []topo.ServiceSoftware {
	if len(list) == 0 {
		return nil
	}
	listed := map[topo.ServiceSoftware]bool{}
	for _, s := range n.servers.All() {
		listed[s.ServiceSoftware()] = true
	}
	return slices.DeleteFunc(slices.Clone(list), func(v topo.ServiceSoftware) bool { return listed[v] })
}

// mergeServers merges an update into the server list and returns the backend servers
// that changed. n.mu must be held.
func (n *Node) mergeServers(update *FeedUpdate) map[units.BackendServerID]bool {
	changed := map[units.BackendServerID]bool{}
	listed := map[units.BackendServerID]bool{}
	fresh := n.servers.Len() == 0
	for _, s := range update.Servers {
		listed[s.ID] = true
		if update.Restored && !fresh && !n.confirms(s) {
			continue
		}
		if n.servers.Put(s) {
			changed[s.ID] = true
		}
	}
	for _, id := range update.Removed {
		if n.servers.Drop(id) {
			changed[id] = true
		}
	}
	if !update.Full || update.Restored {
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
