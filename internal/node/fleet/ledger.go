package fleet

import (
	"context"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/claim"
	"mangostile/internal/core/origin"

	"github.com/pkg/errors"
)

// Timing of the ledger.
const (
	// ledgerPeriod is the time between two looks at what has to change in the ledger.
	ledgerPeriod = 200 * time.Millisecond
	// ledgerReadPeriod is the time between two reads by the entry VM that keeps the ledger.
	ledgerReadPeriod = clock.Minute
	// ledgerDelay is how long the ledger has to be without a keeper until an entry VM changes it that
	// is not the placer; ledgerSpacing is added for each other entry VM, times a share that depends on
	// the id: all together make at most 100 calls a second.
	ledgerDelay   = 5 * clock.Second
	ledgerSpacing = 10 * clock.Millis(1)
	// ledgerRetry is the time to the next try after one that failed.
	ledgerRetry = clock.Second
	// ledgerTimeout bounds the calls to the store for one try.
	ledgerTimeout = 2 * time.Second
	// ledgerMargin is added to the longest time in which a stream can be taken up: entry VMs know up
	// to that much later that a version is not listed any more.
	ledgerMargin = 5 * clock.Second
)

// ledgerKeeper keeps the ledger in the store current. Only the goroutine of keepLedger uses it. The zero
// value is ready to use.
type ledgerKeeper struct {
	ledger origin.Ledger
	// next is the offset of the next append, era that of next.
	next units.Offset
	era  units.Era
	// readAt is the time of the last read, 0 if the next step reads first; nextAt is the earliest time
	// of that step.
	readAt, nextAt clock.Millis
	// unkeptSince is since when no placer is known that keeps the ledger, 0 if one is.
	unkeptSince clock.Millis
}

// keepLedger keeps the ledger current until ctx is done. The error is always nil.
func (n *Node) keepLedger(ctx context.Context) error {
	return n.every(ctx, ledgerPeriod, "ledger", n.stepLedger)
}

// stepLedger writes what is missing in the ledger, if this entry VM is the placer of its region or there is no
// other one that does.
func (n *Node) stepLedger(ctx context.Context) {
	k := &n.ledger
	now := n.clock.Now()
	if !n.keepsLedger(now) || now < k.nextAt {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	// Without the history, what was seen is written nonetheless.
	o, err := n.observed(ctx)
	if syncErr := n.syncLedger(ctx, o); syncErr != nil {
		err = syncErr
	}
	if err != nil {
		k.nextAt = n.clock.Now() + ledgerRetry
		n.log.Warn("ledger_not_kept", "error", err)
	}
}

// keepsLedger reports whether this entry VM writes what is missing in the ledger.
func (n *Node) keepsLedger(now clock.Millis) bool {
	k := &n.ledger
	placer, kept := n.ownPlacer().ledgerKeeper()
	switch {
	case placer == n.settings.ID:
		k.unkeptSince = 0
		return true
	case kept:
		k.unkeptSince = 0
		return false
	case k.unkeptSince == 0:
		k.unkeptSince = now
	}
	share := float64(hashID(units.RequestID(n.settings.ID))>>11) / (1 << 53)
	others := clock.Millis(len(n.peers.keepers(now)))
	return now >= k.unkeptSince+ledgerDelay+clock.Millis(share*float64(others*ledgerSpacing))
}

// syncLedger writes what is missing in the ledger. It decides by the content of the store, which others change,
// too, and by lists that were read after that: an entry VM that stood still must not drop what others have seen
// meanwhile.
func (n *Node) syncLedger(ctx context.Context, o origin.Observed) error {
	k := &n.ledger
	if n.clock.Now() < k.readAt+ledgerReadPeriod && n.serversFeed.newestEra() <= k.era && k.readAt > 0 && len(k.ledger.Changes(o)) == 0 {
		return nil
	}
	k.readAt = 0
	at, bootAt := n.clock.Now(), n.clock.BootNow()
	got, err := n.readLedger(ctx)
	if err != nil {
		return err
	}
	k.ledger.Load(got.Entries)
	k.next, k.era = got.Next, got.Era
	changes := k.ledger.Changes(o)
	if len(changes) > 0 {
		current := n.confirmFeeds(ctx, bootAt)
		if o, err = n.observed(ctx); err != nil {
			return err
		}
		o.Whole = o.Whole && current
		changes = k.ledger.Changes(o)
	}
	if len(changes) > 0 {
		switch result, err := n.system.AppendLedger(ctx, k.era, k.next, changes); result {
		case claim.Accepted:
			k.ledger.Apply(changes)
			k.next += units.Offset(len(changes))
			n.log.Info("ledger_changed", "changes", len(changes), "next", k.next)
		case claim.Conflict, claim.Restored:
			// Another entry VM has changed it: the next step reads it again.
			return nil
		default:
			return errors.WithStack(err)
		}
	}
	k.readAt = at
	return nil
}

// readLedger reads the ledger.
func (n *Node) readLedger(ctx context.Context) (*LedgerEntries, error) {
	got, err := n.system.ReadLedger(ctx)
	n.meter.StoreRead(topicLedger, err == nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if got.Skipped > 0 {
		n.log.Warn("entries_passed_over", "feed", topicLedger, "count", got.Skipped)
	}
	return got, nil
}

// topicLedger names the ledger in logs and metrics.
const topicLedger = "ledger"

// observed returns what may have begun streams that can still be taken up, as far as this entry VM has seen it:
// nothing before the first list of backend servers and the first configuration. The error is that of the read of
// what the store has of the time before.
func (n *Node) observed(ctx context.Context) (origin.Observed, error) {
	cfg := n.config.Load()
	seen := n.seen()
	if cfg == nil || seen.softwareSince == 0 || seen.routesSince == 0 {
		return origin.Observed{}, nil
	}
	window := longestResumeWindow(cfg) + ledgerMargin
	if o := seen.all(seen.now - window); o.Whole {
		return o, nil
	}
	// The history of a new deployment has no holes yet.
	past, err := n.readHistory(ctx)
	seen = n.seen()
	o := seen.all(seen.now - window)
	o.Whole = o.Whole || err == nil && past.whole
	return o, err
}
