package fleet

import (
	"context"
	"sort"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/pkg/errors"
)

// Times of reading the store.
const (
	// configWait is how long a read waits for news of the configuration. It is
	// short enough for a connection that went silent to be noticed in time.
	configWait = 800 * clock.Millis(1)
	// serversPeriod is the time between two reads of the list of backend servers.
	serversPeriod = 900 * time.Millisecond
	// retryPause follows a read that failed.
	retryPause = 250 * time.Millisecond
	// wholePeriod is the time between two reads of all entries.
	wholePeriod = 15 * clock.Second
	// relayTerm is how long news passed on by the placer count as fresh. It leaves
	// time for a read of one's own within the bound on configurations.
	relayTerm = 1700 * clock.Millis(1)
	// relayPoll is the time between two looks at whether they are fresh.
	relayPoll = 100 * time.Millisecond
)

// feed is the state of following one of the two feeds.
type feed struct {
	name Feed
	// mu guards the offsets and instants.
	mu      sync.Mutex
	next    units.Offset
	wholeAt clock.Millis
	// known is set once the feed was read whole and nothing was missed since.
	known bool
	// relayedAt is when the placer last passed news on that fit.
	relayedAt clock.Millis
	// failed and source belong to the goroutine that follows the feed: whether its
	// last read failed, and where news came from last.
	failed bool
	source string
}

// offset returns the offset to read on from.
func (f *feed) offset() units.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// relayed reports whether the placer passes fresh news on.
func (f *feed) relayed(now clock.Millis) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known && f.relayedAt > 0 && now < f.relayedAt+relayTerm
}

// follow keeps up with a feed: by what the placer of the own region passes on, or
// by reading the store.
func (n *Node) follow(ctx context.Context, f *feed, wait clock.Millis, pause time.Duration, take func(*News) []peer.FeedRecord) error {
	for ctx.Err() == nil {
		relayed := !n.relays() && f.relayed(n.clock.Now())
		n.noteSource(f, relayed)
		if relayed {
			sleep(ctx, relayPoll)
			continue
		}
		from, news, err := n.read(ctx, f, wait)
		n.meter.StoreRead(string(f.name), err == nil)
		n.note(ctx, f, err)
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		changed := take(news)
		if n.relays() {
			n.home().inputs.Push(relayInput{news: &peer.FeedNews{Feed: string(f.name), From: from, Next: news.Next, Records: changed}})
		}
		sleep(ctx, pause)
	}
	return nil
}

// noteSource logs where the news of a feed come from.
func (n *Node) noteSource(f *feed, relayed bool) {
	if source := sourceOf(relayed); f.source != source {
		f.source = source
		n.log.Info("feed_source", "feed", f.name, "source", source, "next", f.offset())
	}
}

func sourceOf(relayed bool) string {
	if relayed {
		return "placer"
	}
	return "store"
}

// home returns the placing duty of the own region.
func (n *Node) home() *placing { return n.placers[string(n.settings.Region)] }

// relays reports whether this entry VM passes news on to others.
func (n *Node) relays() bool { return n.home().relays.Load() }

// read returns news of f, whole ones where anything may have been missed, and the
// offset from which on they tell.
func (n *Node) read(ctx context.Context, f *feed, wait clock.Millis) (units.Offset, *News, error) {
	f.mu.Lock()
	known, from, wholeAt := f.known, f.next, f.wholeAt
	f.mu.Unlock()
	now := n.clock.Now()
	if !known || now >= wholeAt+wholePeriod {
		news, err := n.system.ReadWhole(ctx, f.name)
		if err != nil {
			return 0, nil, errors.WithStack(err)
		}
		f.mu.Lock()
		f.known, f.wholeAt, f.next = true, now, news.Next
		f.mu.Unlock()
		return from, news, nil
	}
	news, err := n.system.ReadNews(ctx, f.name, from, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		n.log.Warn("feed_expired", "feed", f.name, "next", from, "oldest", expired.Oldest)
		f.mu.Lock()
		f.known = false
		f.mu.Unlock()
	}
	if err != nil {
		return 0, nil, errors.WithStack(err)
	}
	f.mu.Lock()
	f.next = max(f.next, news.Next)
	f.mu.Unlock()
	return from, news, nil
}

// takeRelayed takes news that the placer passed on.
func (n *Node) takeRelayed(m *peer.FeedNews) {
	f, take := &n.configFeed, n.takeConfig
	if Feed(m.Feed) == FeedServers {
		f, take = &n.serversFeed, n.takeServers
	}
	f.mu.Lock()
	fits := f.known && m.From <= f.next
	isNew := fits && m.Next > f.next
	if fits {
		f.relayedAt = n.clock.Now()
		f.next = max(f.next, m.Next)
	}
	f.mu.Unlock()
	if isNew || fits && len(m.Records) > 0 {
		take(n.system.DecodeNews(f.name, m.Records))
	}
}

// note logs when a feed is lost and regained.
func (n *Node) note(ctx context.Context, f *feed, err error) {
	if ctx.Err() != nil {
		return
	}
	switch {
	case err != nil && !f.failed:
		n.log.Warn("dependency_lost", "dependency", "store", "feed", f.name, "error", err)
	case err == nil && f.failed:
		n.log.Info("dependency_regained", "dependency", "store", "feed", f.name, "next", f.offset())
	}
	f.failed = err != nil
}

// takeConfig takes over configuration and named versions. It returns the records
// that others need.
func (n *Node) takeConfig(news *News) []peer.FeedRecord {
	now := n.clock.Now()
	n.mu.Lock()
	changed := news.Config != nil && n.core.SetConfig(news.Config)
	for _, v := range news.Versions {
		n.core.Announce(now, v.Adapter, v.Revision)
	}
	n.mu.Unlock()
	if changed {
		n.config.Store(news.Config)
		n.meter.ConfigVersion(news.Config.Version)
		n.log.Info("config_in_force", "version", news.Config.Version, "routes", len(news.Config.Routes), "services", len(news.Config.Services))
	}
	for _, v := range news.Versions {
		if !news.Whole {
			n.log.Info("adapter_version_named", "adapter", v.Adapter, "revision", int64(v.Revision))
		}
		for _, p := range n.placers {
			p.inputs.Push(versionInput{NamedVersion: v})
		}
	}
	if news.Bad > 0 {
		n.log.Warn("entries_passed_over", "feed", FeedConfig, "count", news.Bad)
	}
	n.updated()
	return feedRecords(news, nil)
}

// feedRecords returns the records of news in the order of their keys, only those
// that changed if a set is given.
func feedRecords(news *News, changed map[units.BackendServerID]bool) []peer.FeedRecord {
	var list []peer.FeedRecord
	for key, value := range news.Records {
		if changed == nil || changed[units.BackendServerID(key)] {
			list = append(list, peer.FeedRecord{Key: key, Value: value})
		}
	}
	for id := range changed {
		if _, ok := news.Records[string(id)]; !ok {
			// A whole read does not list it any more.
			list = append(list, peer.FeedRecord{Key: string(id)})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

// takeServers takes over the list of backend servers. It returns the records that
// others need: most only tell that a backend server lives.
func (n *Node) takeServers(news *News) []peer.FeedRecord {
	n.mu.Lock()
	changed := n.mergeServers(news)
	n.core.SetServers(n.servers.All())
	count := n.servers.Len()
	n.mu.Unlock()
	if len(changed) > 0 {
		n.log.Info("servers_changed", "count", count, "changed", len(changed), "whole", news.Whole, "dropped", len(news.Dropped), "passed_over", news.Bad)
	}
	n.updated()
	return feedRecords(news, changed)
}

// mergeServers takes news over and returns what changed. n.mu is held.
func (n *Node) mergeServers(news *News) map[units.BackendServerID]bool {
	changed := map[units.BackendServerID]bool{}
	listed := map[units.BackendServerID]bool{}
	for _, s := range news.Servers {
		listed[s.ID] = true
		if n.servers.Put(s) {
			changed[s.ID] = true
		}
	}
	for _, id := range news.Dropped {
		if n.servers.Drop(id) {
			changed[id] = true
		}
	}
	if !news.Whole {
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

// updated tells everyone of a new configuration or list.
func (n *Node) updated() {
	n.mu.Lock()
	ready := n.core.Ready(n.clock.Now())
	cfg := n.core.Config()
	servers := n.servers.All()
	n.mu.Unlock()
	if ready && !n.ready.Swap(true) {
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
