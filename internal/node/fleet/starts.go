package fleet

import (
	"context"
	"sync"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
)

// Times and limits of the starts of streams in the store.
const (
	// keepPeriod is the time between two steps of the backlog: a stream that broke sooner after its first
	// event is known only to the entry VMs that were told of it.
	keepPeriod = 200 * time.Millisecond
	// appendSpacing is the time, for each entry VM, between two appends of one without a recorder: all
	// together take a quarter of the 400 calls a second that the store allows. handoffSpacing bounds
	// the messages that a recorder receives to 500 a second.
	appendSpacing  = 10 * clock.Millis(1)
	handoffSpacing = 2 * clock.Millis(1)
	// startsReadTimeout bounds the reads for one caller, startsReadInterval is the least time between the
	// begins of two reads.
	startsReadTimeout  = 700 * time.Millisecond
	startsReadInterval = 100 * clock.Millis(1)
	// maxStartsReads is the number of reads in a row if there is more to read.
	maxStartsReads = 16
	// maxKeptStarts is the number of starts read from the store that are held, some 100 bytes each.
	maxKeptStarts = 4 * origin.MaxStarts
)

// startKeeper puts starts of streams into the store, and finds those that other entry VMs have put there. The
// zero value is ready to use.
type startKeeper struct {
	mu      sync.Mutex
	backlog origin.Backlog
	// kept holds the starts read from the store, before offset next of era.
	kept origin.Starts
	next units.Offset
	era  units.Era
	// readAt is when the last read that succeeded began, 0 before the first.
	readAt clock.Millis
	// reading makes requests that need the starts in the store share one read.
	reading singleflight.Group
}

func (k *startKeeper) add(now clock.Millis, route origin.RouteKey, start origin.Start) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backlog.Add(now, route, start)
}

// receive handles starts of another entry VM, which sends them to the placer of its region.
func (k *startKeeper) receive(from units.EntryVMID, m *peer.StreamStarts) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backlog.Receive(origin.Handoff{Number: m.Number, From: from, Address: m.Address, Batches: m.Batches})
}

func (k *startKeeper) confirm(number origin.HandoffNumber) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.backlog.Confirm(number)
}

// keepStarts puts starts of streams into the store until ctx is done. The error is always nil.
func (n *Node) keepStarts(ctx context.Context) error {
	return n.every(ctx, keepPeriod, "starts of streams", n.stepStarts)
}

// stepStarts sends starts to the placer of the region, which appends those of all its entry VMs, or appends
// them.
func (n *Node) stepStarts(ctx context.Context) {
	k := &n.starts
	placer, address, records := n.ownPlacer().startRecorder()
	others := clock.Millis(len(n.peers.keepers(n.clock.Now())))
	seen := sync.OnceValue(n.seen)
	recording := origin.Recording{Several: func(route origin.RouteKey, window clock.Millis) bool { return seen().several(route, window) }}
	if placer != n.settings.ID {
		recording.HasRecorder, recording.HandoffInterval = records, handoffSpacing*others
		recording.AppendInterval = appendSpacing * others
	}
	k.mu.Lock()
	handoff, batches := k.backlog.Next(n.clock.BootNow(), recording)
	k.mu.Unlock()
	if handoff != nil {
		n.links.Send(placer, address, &peer.StreamStarts{Number: handoff.Number, Address: n.settings.PeerAddress, Batches: handoff.Batches})
	}
	if len(batches) == 0 {
		return
	}
	err := errPanic
	n.guard("append of starts", func() { err = n.system.AppendStarts(ctx, batches) })
	if err != nil && ctx.Err() == nil {
		n.log.Warn("stream_starts_not_kept", "batches", len(batches), "error", err)
	}
	k.mu.Lock()
	confirm := k.backlog.Appended(n.clock.BootNow(), err == nil)
	k.mu.Unlock()
	for _, h := range confirm {
		n.links.Send(h.From, h.Address, &peer.StreamStartsKept{Number: h.Number})
	}
}

// findKeptStart returns the version that began a stream if the store has its start.
func (n *Node) findKeptStart(ctx context.Context, key origin.Key) (began topo.ServiceSoftware, known bool) {
	k := &n.starts
	began, known, fresh := k.find(n.clock.BootNow(), key)
	if known || fresh {
		return began, known
	}
	done := k.reading.DoChan("", func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startsReadTimeout)
		defer cancel()
		err := errPanic
		n.guard("read of starts", func() { err = n.readStarts(ctx) })
		n.meter.StoreRead(topicStarts, err == nil)
		if err != nil {
			n.log.Warn("stream_starts_not_read", "error", err)
		}
		return nil, err
	})
	select {
	case <-ctx.Done():
	case <-done:
	}
	began, known, _ = k.find(n.clock.BootNow(), key)
	return began, known
}

// topicStarts names the starts of streams in the store in metrics.
const topicStarts = "starts"

// find looks a start up among those read. fresh reports whether they were read just now.
func (k *startKeeper) find(now clock.Millis, key origin.Key) (began topo.ServiceSoftware, known, fresh bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	began, known = k.kept.Find(now, key)
	return began, known, k.readAt > 0 && now < k.readAt+startsReadInterval
}

// readStarts reads the starts that were put into the store since the last read. Starts that the store has
// lost, or that have expired there, are left out.
func (n *Node) readStarts(ctx context.Context) error {
	k := &n.starts
	began := n.clock.BootNow()
	for range maxStartsReads {
		got, err := n.system.ReadStarts(ctx, k.next)
		var expired *ExpiredError
		switch {
		case errors.As(err, &expired) && (expired.Oldest != k.next || expired.Era > k.era):
			k.next, k.era = expired.Oldest, max(k.era, expired.Era)
			continue
		case err != nil:
			return errors.WithStack(err)
		case got.Era > k.era && k.next > 0:
			// The offsets of the restored store are others.
			k.next, k.era = 0, got.Era
			continue
		}
		k.apply(n.clock.BootNow(), got)
		if got.Skipped > 0 {
			n.log.Warn("entries_passed_over", "feed", topicStarts, "count", got.Skipped)
		}
		if !got.More {
			k.mu.Lock()
			k.readAt = began
			k.mu.Unlock()
			return nil
		}
	}
	return errors.Errorf("more than %d reads are needed: the next request goes on", maxStartsReads)
}

// apply adds the starts that were read.
func (k *startKeeper) apply(now clock.Millis, got *StartRecords) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next, k.era = got.Next, got.Era
	for _, b := range got.Batches {
		for _, key := range b.Keys {
			k.kept.Add(now, origin.Start{Key: key, Software: b.Software, Service: b.Service, Remaining: b.Remaining})
		}
	}
}
