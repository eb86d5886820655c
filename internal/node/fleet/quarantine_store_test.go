package fleet

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/blame"
	"mangostile/internal/core/claim"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// verdictLog is a store of verdicts. A test changes its fields by set only and may read them
// while all workers are blocked.
type verdictLog struct {
	System
	mu      sync.Mutex
	records []QuarantineRecord
	// oldest is the first offset that can be read, except by a read of all.
	oldest units.Offset
	// down fails every call, readOnly every append; loseAnswers executes the next appends
	// and fails them.
	down, readOnly bool
	loseAnswers    int
	// era is that of the store.
	era   units.Era
	reads int
	// beforeAppend, if not nil, is called before the next append.
	beforeAppend func()
}

func (l *verdictLog) set(change func(l *verdictLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

var errStoreDown = errors.New("the store is down")

// ReadQuarantines implements Store.
func (l *verdictLog) ReadQuarantines(_ context.Context, from units.Offset) (*QuarantineRecords, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return nil, errStoreDown
	}
	if from > 0 && from < l.oldest {
		return nil, &ExpiredError{Oldest: l.oldest}
	}
	if l.era > 0 && int(from) > len(l.records) {
		return nil, &ExpiredError{Era: l.era}
	}
	return &QuarantineRecords{Era: l.era, Records: append([]QuarantineRecord(nil), l.records[from:]...), Next: units.Offset(len(l.records))}, nil
}

// AppendQuarantine implements Store.
func (l *verdictLog) AppendQuarantine(_ context.Context, at units.Offset, r QuarantineRecord) (claim.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.beforeAppend != nil {
		l.beforeAppend()
		l.beforeAppend = nil
	}
	switch {
	case l.down || l.readOnly:
		return claim.Refused, errStoreDown
	case int(at) != len(l.records):
		return claim.Conflict, nil
	}
	l.records = append(l.records, r)
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return claim.Unknown, errStoreDown
	}
	return claim.Accepted, nil
}

// verdicts is a verdictSink that keeps the newest verdict of each key.
type verdicts struct {
	mu     sync.Mutex
	newest map[blame.Key]blame.Verdict
	// lists is true if Verdicts returns them.
	lists bool
}

// ApplyVerdicts implements verdictSink.
func (s *verdicts) ApplyVerdicts(list []blame.Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range list {
		s.newest[v.Key] = v
	}
}

// list makes Verdicts return the verdicts from now on.
func (s *verdicts) list() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = true
}

// Verdicts implements verdictSink.
func (s *verdicts) Verdicts() []blame.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lists {
		return nil
	}
	return slices.Collect(maps.Values(s.newest))
}

func (s *verdicts) get(key blame.Key) blame.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newest[key]
}

// startQuarantineStore runs a worker of an entry VM until the test ends.
func startQuarantineStore(t *testing.T, id units.EntryVMID, log *verdictLog) (*quarantineStore, *verdicts) {
	t.Helper()
	n := New(Options{Settings: Settings{ID: id, Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: log})
	sink := &verdicts{newest: map[blame.Key]blame.Verdict{}}
	q := newQuarantineStore(n, sink)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- q.follow(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return q, sink
}

func verdictOf(key blame.Key, version uint64, quarantined bool) blame.Verdict {
	return blame.Verdict{Key: key, Version: version, Quarantined: quarantined, Remaining: blame.Term, Server: "s1"}
}

// let lets d pass and waits until all goroutines of the test are blocked.
func let(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// TestVerdictsOutliveAnOutageOfTheStore guards against verdicts that are lost because the store
// was down when they were made, or because all entry VMs restarted since.
func TestVerdictsOutliveAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &verdictLog{down: true}
		q, _ := startQuarantineStore(t, "vm0", log)
		q.save(verdictOf(7, 1, true))
		let(20 * time.Second)
		must.SliceEmpty(t, log.records)
		must.Less(t, 20, log.reads)
		log.set(func(l *verdictLog) { l.down, l.readOnly = false, true })
		let(5 * time.Second)
		log.set(func(l *verdictLog) { l.readOnly = false })
		let(quarantineSaveDelay)
		must.Len(t, 1, log.records)

		let(time.Minute)
		_, sink := startQuarantineStore(t, "vm1", log)
		let(time.Second)
		want := verdictOf(7, 1, true)
		want.Remaining -= clock.Minute
		got := sink.get(7)
		must.Between(t, want.Remaining-30*clock.Second, got.Remaining, want.Remaining)
		got.Remaining = want.Remaining
		must.Eq(t, want, got)
		must.Len(t, 1, log.records)
	})
}

// TestLostVerdictsAreSavedAgain guards against verdicts that nobody saves again after the store was
// restored from a copy without them, since they had been saved, and against reads from offsets that the
// store gives out again.
func TestLostVerdictsAreSavedAgain(t *testing.T) {
	for _, tc := range []struct {
		name string
		// foreign is the number of records that others write before the next read.
		foreign int
	}{
		{"read beyond the end", 0},
		{"read from an offset that was given out again", 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &verdictLog{era: 1}
				q, sink := startQuarantineStore(t, "vm0", log)
				sink.list()
				sink.ApplyVerdicts([]blame.Verdict{verdictOf(7, 1, true), verdictOf(8, 2, false)})
				let(quarantineReadPeriod)
				must.Len(t, 2, log.records)
				log.set(func(l *verdictLog) {
					l.era, l.records = 2, nil
					for i := range tc.foreign {
						l.records = append(l.records, NewQuarantineRecord(verdictOf(blame.Key(20+i), 1, true), clock.WallNow()))
					}
				})
				let(2 * quarantineReadPeriod)
				must.Len(t, 2+tc.foreign, log.records)
				must.Eq(t, 2, q.feed.era)
				for i := range tc.foreign {
					must.Eq(t, uint64(1), sink.get(blame.Key(20+i)).Version)
				}
			})
		})
	}
}

// TestVerdictsAreReadWithinThePeriod guards against a lift that others read late.
func TestVerdictsAreReadWithinThePeriod(t *testing.T) {
	for _, tc := range []struct {
		name   string
		relays bool
		period time.Duration
	}{
		{"relays feeds", true, quarantineRelayPeriod},
		{"reads for itself", false, quarantineReadPeriod},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &verdictLog{}
				q, sink := startQuarantineStore(t, "vm0", log)
				q.node.ownPlacer().relaysFeeds.Store(tc.relays)
				let(quarantineReadPeriod)
				reads := log.reads
				log.set(func(l *verdictLog) {
					l.records = append(l.records, NewQuarantineRecord(verdictOf(7, 1, true), clock.WallNow()))
				})
				let(tc.period)
				must.Eq(t, uint64(1), sink.get(7).Version)
				must.LessEq(t, reads+2, log.reads)
			})
		})
	}
}

// TestExpiredHistoryIsReadInFull guards against an entry VM that misses verdicts for good since
// the store has dropped those which it was to read next.
func TestExpiredHistoryIsReadInFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clock.WallNow()
		log := &verdictLog{records: []QuarantineRecord{NewQuarantineRecord(verdictOf(1, 1, true), now)}}
		_, sink := startQuarantineStore(t, "vm0", log)
		let(time.Second)
		must.Eq(t, uint64(1), sink.get(1).Version)
		log.set(func(l *verdictLog) {
			l.records = append(l.records, NewQuarantineRecord(verdictOf(2, 1, true), now), NewQuarantineRecord(verdictOf(3, 1, true), now))
			l.oldest = 2
		})
		let(quarantineReadPeriod + time.Second)
		must.Eq(t, uint64(1), sink.get(2).Version)
		must.Eq(t, uint64(1), sink.get(3).Version)
	})
}

// TestSavedVerdictsReplaceNoNewerOne guards against a quarantine that is written after the
// operator has lifted it, and against one that is written twice.
func TestSavedVerdictsReplaceNoNewerOne(t *testing.T) {
	lifted := verdictOf(7, 2, false)
	for _, tc := range []struct {
		name     string
		log      *verdictLog
		save     []blame.Verdict
		lifts    bool
		versions []uint64
	}{
		{"new", &verdictLog{}, []blame.Verdict{verdictOf(7, 1, true)}, false, []uint64{1}},
		{"same again", &verdictLog{}, []blame.Verdict{verdictOf(7, 1, true), verdictOf(7, 1, true)}, false, []uint64{1}},
		{"superseded in the queue", &verdictLog{}, []blame.Verdict{verdictOf(7, 1, true), verdictOf(7, 3, true), verdictOf(7, 2, true)}, false, []uint64{3}},
		{"lifted before the append", &verdictLog{}, []blame.Verdict{verdictOf(7, 1, true)}, true, []uint64{2}},
		{"newer than the lift", &verdictLog{}, []blame.Verdict{verdictOf(7, 3, true)}, true, []uint64{2, 3}},
		{"no answer", &verdictLog{loseAnswers: 1}, []blame.Verdict{verdictOf(7, 1, true)}, false, []uint64{1}},
		{"expired", &verdictLog{}, []blame.Verdict{{Key: 7, Version: 1, Quarantined: true}}, false, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc.log.down = true
				if tc.lifts {
					tc.log.beforeAppend = func() {
						tc.log.records = append(tc.log.records, NewQuarantineRecord(lifted, clock.WallNow()))
					}
				}
				q, sink := startQuarantineStore(t, "vm0", tc.log)
				for _, v := range tc.save {
					q.save(v)
				}
				tc.log.set(func(l *verdictLog) { l.down = false })
				let(time.Minute)
				var versions []uint64
				for _, r := range tc.log.records {
					versions = append(versions, r.Version)
				}
				must.Eq(t, tc.versions, versions)
				must.SliceEmpty(t, q.queued())
				if tc.lifts {
					must.Positive(t, sink.get(7).Version)
				}
			})
		})
	}
}

// TestSameVerdictIsSavedOnce guards against as many records as entry VMs if all save a verdict
// at once.
func TestSameVerdictIsSavedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &verdictLog{}
		for i := range 10 {
			q, _ := startQuarantineStore(t, units.EntryVMID("vm"+strconv.Itoa(i)), log)
			q.save(verdictOf(7, 1, true))
		}
		let(5 * time.Second)
		must.Len(t, 1, log.records)
	})
}

// TestQueueOfVerdictsIsBounded guards against a queue that grows for as long as the store is
// down.
func TestQueueOfVerdictsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &verdictLog{down: true}
		q, _ := startQuarantineStore(t, "vm0", log)
		for i := range 2 * maxUnsavedVerdicts {
			q.save(verdictOf(blame.Key(i), 1, true))
		}
		must.Len(t, maxUnsavedVerdicts, q.queued())
		q.save(verdictOf(0, 2, false))
		must.Len(t, maxUnsavedVerdicts, q.queued())
		let(time.Second)
		log.set(func(l *verdictLog) { l.down = false })
		let(5 * time.Second)
		must.Len(t, maxUnsavedVerdicts, log.records)
		must.SliceEmpty(t, q.queued())
		found := false
		for _, r := range log.records {
			found = found || r.Key == 0 && r.Version == 2
		}
		must.True(t, found)
	})
}
