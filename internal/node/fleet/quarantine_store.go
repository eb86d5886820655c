package fleet

import (
	"context"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/claim"

	"github.com/pkg/errors"
)

// Timing of the verdicts in the store.
const (
	// quarantineRelayPeriod is the longest time between two reads by an entry VM that relays
	// the feeds, quarantineReadPeriod that by another one.
	quarantineRelayPeriod = 2 * time.Second
	quarantineReadPeriod  = 10 * time.Second
	// quarantineSpread is the share of a period by which it is shortened, depending on the
	// entry VM's id.
	quarantineSpread = 0.25
	// quarantineSaveDelay is the time until the next attempt to save verdicts.
	quarantineSaveDelay = time.Second
)

// Limits of the verdicts in the store.
const (
	// maxUnsavedVerdicts is the number of keys whose verdicts wait to be saved.
	maxUnsavedVerdicts = 64
	// maxKnownVerdicts is the number of verdicts kept for comparison with later ones.
	maxKnownVerdicts = 4096
	// maxQuarantineReads is the number of reads in a row if there is more to read.
	maxQuarantineReads = 8
	// maxSaveRounds is the number of attempts to save in a row, if others save at the same
	// time.
	maxSaveRounds = 4
)

// feedQuarantines names the verdicts in the store in logs and metrics.
const feedQuarantines Feed = "quarantines"

// verdictSink receives the verdicts read from the store.
type verdictSink interface {
	// ApplyVerdicts is called by one goroutine at a time. A verdict may be given again.
	ApplyVerdicts(list []blame.Verdict)
	// Verdicts returns those that hold now.
	Verdicts() []blame.Verdict
}

// quarantineStore keeps verdicts in the store and reads those that others have put there. They
// survive a restart of all entry VMs, and reach those that are cut off from each other.
type quarantineStore struct {
	node *Node
	sink verdictSink
	// feed tracks how far the verdicts were read. Only follow uses it, and known, the newest
	// verdicts read, by key.
	feed  feed
	known map[blame.Key]QuarantineRecord

	// mu guards unsaved, the verdicts that wait to be saved, by key.
	mu      sync.Mutex
	unsaved map[blame.Key]QuarantineRecord
	// wake holds a value if a verdict was queued.
	wake chan struct{}
}

func newQuarantineStore(n *Node, sink verdictSink) *quarantineStore {
	return &quarantineStore{
		node: n, sink: sink, feed: feed{name: feedQuarantines}, known: map[blame.Key]QuarantineRecord{},
		unsaved: map[blame.Key]QuarantineRecord{}, wake: make(chan struct{}, 1),
	}
}

// save queues a verdict to be saved and does not wait. follow tries until the verdict is in the
// store, has expired, or a newer one is queued or in the store.
func (q *quarantineStore) save(v blame.Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	old, queued := q.unsaved[v.Key]
	if queued && !v.Replaces(&old.Verdict) {
		return
	}
	if !queued && len(q.unsaved) >= maxUnsavedVerdicts {
		q.logNotSaved(v, "too many wait for the store")
		return
	}
	q.unsaved[v.Key] = NewQuarantineRecord(v, clock.WallNow())
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *quarantineStore) logNotSaved(v blame.Verdict, reason string) {
	q.node.log.Warn("quarantine_not_saved", "key", v.Key, "version", v.Version, "quarantined", v.Quarantined, "reason", reason)
}

// follow reads and saves verdicts until ctx is done. The error is always nil.
func (q *quarantineStore) follow(ctx context.Context) error {
	n := q.node
	for ctx.Err() == nil {
		err := errPanic
		n.guard("quarantines in the store", func() { err = q.sync(ctx) })
		n.meter.StoreRead(string(feedQuarantines), err == nil)
		n.logDependency(ctx, &q.feed, err)
		if err == nil {
			n.quarantine.known.Store(true)
		}
		if !n.ready.Load() {
			n.propagateUpdate()
		}
		if err != nil {
			sleep(ctx, n.retryDelay(&q.feed))
			continue
		}
		q.pause(ctx)
	}
	return nil
}

// pause waits until the next read is due or a verdict is queued.
func (q *quarantineStore) pause(ctx context.Context) {
	period := quarantineReadPeriod
	if q.node.relaysFeeds() {
		period = quarantineRelayPeriod
	}
	share := float64(hashID(units.RequestID(q.node.settings.ID))>>11) / (1 << 53)
	period -= time.Duration(quarantineSpread * share * float64(period))
	if len(q.queued()) > 0 {
		period = min(period, quarantineSaveDelay)
	}
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-q.wake:
	case <-ctx.Done():
	}
}

// sync reads what is new, and saves what is queued or was told by an entry VM that may not have
// been able to save it. The error is that of a read.
func (q *quarantineStore) sync(ctx context.Context) error {
	for range maxSaveRounds {
		if err := q.read(ctx); err != nil {
			return err
		}
		for _, v := range q.sink.Verdicts() {
			if old, isKnown := q.known[v.Key]; !isKnown || v.Replaces(&old.Verdict) {
				q.save(v)
			}
		}
		if !q.flush(ctx) {
			return nil
		}
	}
	return nil
}

// read reads the verdicts from the next offset on, or all if the feed is not synced. After an
// ExpiredError the next read is one of all.
func (q *quarantineStore) read(ctx context.Context) error {
	now := clock.WallNow()
	for key, r := range q.known {
		if !r.SetRemaining(now) {
			delete(q.known, key)
		}
	}
	for range maxQuarantineReads {
		from := q.feed.next
		if !q.feed.synced {
			from = 0
		}
		got, err := q.node.system.ReadQuarantines(ctx, from)
		var expired *ExpiredError
		if errors.As(err, &expired) {
			q.node.log.Warn("feed_expired", "feed", feedQuarantines, "next", from, "oldest", expired.Oldest)
			q.feed.synced = false
		}
		if err != nil {
			return errors.WithStack(err)
		}
		if got.Era > q.feed.era {
			// The store may have lost verdicts that were saved: sync saves anew those that hold.
			q.node.logRestored(&q.feed, got.Era)
			q.feed.era = got.Era
			clear(q.known)
			if from > 0 {
				q.feed.synced = false
				continue
			}
		}
		q.feed.synced, q.feed.next = true, got.Next
		q.apply(got)
		if !got.More {
			return nil
		}
	}
	return nil
}

// apply passes on the verdicts of a read that no known one replaces.
func (q *quarantineStore) apply(got *QuarantineRecords) {
	var list []blame.Verdict
	now := clock.WallNow()
	for _, r := range got.Records {
		old, isKnown := q.known[r.Key]
		if !r.SetRemaining(now) || isKnown && old.Replaces(&r.Verdict) {
			continue
		}
		if isKnown || len(q.known) < maxKnownVerdicts {
			q.known[r.Key] = r
		}
		list = append(list, r.Verdict)
	}
	if got.Skipped > 0 {
		q.node.log.Warn("entries_passed_over", "feed", feedQuarantines, "count", got.Skipped)
	}
	if len(list) > 0 {
		q.node.log.Info("quarantines_read", "count", len(list), "next", got.Next)
		q.sink.ApplyVerdicts(list)
	}
}

// flush saves the queued verdicts. It reports whether to read and flush again at once, because
// another entry VM has saved one since the last read.
func (q *quarantineStore) flush(ctx context.Context) (again bool) {
	for _, r := range q.queued() {
		if !r.SetRemaining(clock.WallNow()) {
			q.logNotSaved(r.Verdict, "it has expired")
			q.unqueue(r)
			continue
		}
		if old, isKnown := q.known[r.Key]; isKnown && !r.Replaces(&old.Verdict) {
			if old.Version != r.Version || old.Quarantined != r.Quarantined {
				q.logNotSaved(r.Verdict, "the store has a newer one")
			}
			q.unqueue(r)
			continue
		}
		switch result, err := q.node.system.AppendQuarantine(ctx, q.feed.next, r); result {
		case claim.Accepted:
			q.node.log.Info("quarantine_saved", "key", r.Key, "version", r.Version, "quarantined", r.Quarantined, "offset", q.feed.next)
			q.feed.next++
			q.known[r.Key] = r
			q.unqueue(r)
		case claim.Conflict, claim.Restored:
			return true
		default:
			// The next read shows whether an unanswered append was executed.
			q.node.log.Warn("quarantine_append_failed", "key", r.Key, "version", r.Version, "error", err)
			return false
		}
	}
	return false
}

// queued returns the verdicts that wait to be saved.
func (q *quarantineStore) queued() []QuarantineRecord {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := make([]QuarantineRecord, 0, len(q.unsaved))
	for _, r := range q.unsaved {
		list = append(list, r)
	}
	return list
}

// unqueue removes r unless a newer verdict on its key was queued since.
func (q *quarantineStore) unqueue(r QuarantineRecord) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now, ok := q.unsaved[r.Key]; ok && !now.Replaces(&r.Verdict) {
		delete(q.unsaved, r.Key)
	}
}
