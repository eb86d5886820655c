package fleet

import (
	"context"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/peer"

	"golang.org/x/sync/singleflight"
)

// Limits of the reads of confirmFeeds.
const (
	// confirmTimeout bounds a read.
	confirmTimeout = 500 * time.Millisecond
	// confirmSpacing is the time, for each other entry VM, between the begins of two reads of a feed: all
	// together make at most 100 a second.
	confirmSpacing = 10 * clock.Millis(1)
)

// confirmation is the state of the reads of a feed that requests wait for. The zero value is ready to use.
type confirmation struct {
	// reading makes requests share one read.
	reading singleflight.Group
	// nextAt is the earliest time of the next read. Only the read itself uses it.
	nextAt clock.Millis
}

// confirmFeeds reports whether the configuration and the list of backend servers were read from the store to
// their ends since a time, and reads them if not.
func (n *Node) confirmFeeds(ctx context.Context, bootTime clock.Millis) bool {
	var config, servers bool
	var both sync.WaitGroup
	both.Go(func() { config = n.confirmFeed(ctx, &n.configFeed, n.applyConfig, bootTime) })
	both.Go(func() { servers = n.confirmFeed(ctx, &n.serversFeed, n.applyServers, bootTime) })
	both.Wait()
	return config && servers
}

// confirmFeed is confirmFeeds for one feed.
func (n *Node) confirmFeed(ctx context.Context, f *feed, apply func(*FeedUpdate) *peer.FeedUpdate, bootTime clock.Millis) bool {
	// The first read may have begun before.
	for range 2 {
		if f.readToEndSince(bootTime) {
			return true
		}
		done := f.confirmation.reading.DoChan("", func() (any, error) {
			n.guard("read of feed "+string(f.name), func() { n.readConfirmation(context.WithoutCancel(ctx), f, apply) })
			return nil, nil
		})
		select {
		case <-ctx.Done():
			return false
		case <-done:
		}
	}
	return f.readToEndSince(bootTime)
}

// readConfirmation reads and applies a feed once the next read of it is due.
func (n *Node) readConfirmation(ctx context.Context, f *feed, apply func(*FeedUpdate) *peer.FeedUpdate) {
	sleep(ctx, (f.confirmation.nextAt - n.clock.BootNow()).Duration())
	f.confirmation.nextAt = n.clock.BootNow() + confirmSpacing*clock.Millis(len(n.peers.keepers(n.clock.Now())))
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r, err := n.readNext(ctx, f, 0, false)
	n.meter.StoreRead(string(f.name), err == nil)
	if err == nil {
		n.applyRead(f, r, apply)
	}
}
