package fleet

import (
	"context"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/pkg/errors"
)

// Times of reading the store.
const (
	// configWait is how long a read waits for news of the configuration. It is
	// short enough for a connection that went silent to be noticed in time.
	configWait = 1500 * clock.Millis(1)
	// serversPeriod is the time between two reads of the list of backend servers.
	serversPeriod = 900 * time.Millisecond
	// retryPause follows a read that failed.
	retryPause = 250 * time.Millisecond
	// wholePeriod is the time between two reads of all entries.
	wholePeriod = 15 * clock.Second
)

// feed is the state of reading one of the two feeds.
type feed struct {
	name    Feed
	next    units.Offset
	wholeAt clock.Millis
	// known is set once the feed was read whole and nothing was missed since.
	known  bool
	failed bool
}

// read returns news of f, whole ones where anything may have been missed.
func (n *Node) read(ctx context.Context, f *feed, wait clock.Millis) (*News, error) {
	now := n.clock.Now()
	if !f.known || now >= f.wholeAt+wholePeriod {
		news, err := n.system.ReadWhole(ctx, f.name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		f.known, f.wholeAt, f.next = true, now, news.Next
		return news, nil
	}
	news, err := n.system.ReadNews(ctx, f.name, f.next, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		f.known = false
		n.log.Warn("feed_expired", "feed", f.name, "next", f.next, "oldest", expired.Oldest)
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	f.next = news.Next
	return news, nil
}

// note logs when a feed is lost and regained.
func (n *Node) note(f *feed, err error) {
	switch {
	case err != nil && !f.failed:
		n.log.Warn("dependency_lost", "dependency", "store", "feed", f.name, "error", err)
	case err == nil && f.failed:
		n.log.Info("dependency_regained", "dependency", "store", "feed", f.name, "next", f.next)
	}
	f.failed = err != nil
}

func (n *Node) followConfig(ctx context.Context) error {
	f := feed{name: FeedConfig}
	for ctx.Err() == nil {
		news, err := n.read(ctx, &f, configWait)
		n.note(&f, err)
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		n.takeConfig(news)
	}
	return nil
}

func (n *Node) takeConfig(news *News) {
	now := n.clock.Now()
	n.mu.Lock()
	changed := news.Config != nil && n.core.SetConfig(news.Config)
	for _, v := range news.Versions {
		n.core.Announce(now, v.Adapter, v.Revision)
	}
	n.mu.Unlock()
	if changed {
		n.config.Store(news.Config)
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
}

func (n *Node) followServers(ctx context.Context) error {
	f := feed{name: FeedServers}
	for ctx.Err() == nil {
		news, err := n.read(ctx, &f, 0)
		n.note(&f, err)
		if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		n.takeServers(news)
		sleep(ctx, serversPeriod)
	}
	return nil
}

func (n *Node) takeServers(news *News) {
	n.mu.Lock()
	changed := n.mergeServers(news)
	n.core.SetServers(n.servers.All())
	n.mu.Unlock()
	if changed {
		n.log.Info("servers_changed", "count", n.servers.Len(), "whole", news.Whole, "dropped", len(news.Dropped), "passed_over", news.Bad)
	}
	n.updated()
}

// mergeServers takes news over. n.mu is held.
func (n *Node) mergeServers(news *News) bool {
	changed := false
	listed := map[units.BackendServerID]bool{}
	for _, s := range news.Servers {
		listed[s.ID] = true
		changed = n.servers.Put(s) || changed
	}
	for _, id := range news.Dropped {
		changed = n.servers.Drop(id) || changed
	}
	if news.Whole {
		for _, s := range n.servers.All() {
			if !listed[s.ID] {
				changed = n.servers.Drop(s.ID) || changed
			}
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
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
