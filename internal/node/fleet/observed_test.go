package fleet

import (
	"context"
	"errors"
	"slices"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/claim"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// listLog is a System with a list of backend servers of one service. A record with an empty version
// removes its server.
type listLog struct {
	System
	records []*topo.Server
	// oldest is the offset of the first record that has not expired.
	oldest int
	// hidden is the number of the last records that reads of updates don't show yet; away makes all
	// reads of the feeds fail.
	hidden int
	away   bool
	kept   int
	err    error
	// ledger and starts are what the store has besides the list.
	ledger []origin.Entry
	starts []origin.Batch
}

func (l *listLog) put(id units.BackendServerID, version topo.Software) {
	l.records = append(l.records, &topo.Server{ID: id, Service: "plain", Software: version, StartedAt: int64(len(l.records))})
}

func (l *listLog) merge(records []*topo.Server, update *FeedUpdate) *FeedUpdate {
	newest := map[units.BackendServerID]*topo.Server{}
	for _, s := range records {
		newest[s.ID] = s
		if s.Software != "" {
			update.Software = append(update.Software, s.ServiceSoftware())
		}
	}
	update.Records = map[string][]byte{}
	for id, s := range newest {
		update.Records[string(id)] = []byte(s.Software)
		if s.Software == "" {
			update.Removed = append(update.Removed, id)
		} else {
			update.Servers = append(update.Servers, s)
		}
	}
	return update
}

// ReadFull implements Store.
func (l *listLog) ReadFull(_ context.Context, f Feed) (*FeedUpdate, error) {
	if l.away {
		return nil, errors.New("store is away")
	}
	if f == FeedConfig {
		return &FeedUpdate{Full: true, Config: listConfig}, nil
	}
	update := l.merge(l.records, &FeedUpdate{Full: true, Next: units.Offset(len(l.records))})
	update.Software, update.Removed = nil, nil
	return update, nil
}

// ReadUpdates implements Store.
func (l *listLog) ReadUpdates(_ context.Context, f Feed, from units.Offset, _ clock.Millis) (*FeedUpdate, error) {
	if l.away {
		return nil, errors.New("store is away")
	}
	if f == FeedConfig {
		return &FeedUpdate{Next: from}, nil
	}
	if int(from) < l.oldest {
		return nil, &ExpiredError{Oldest: units.Offset(l.oldest)}
	}
	end := max(int(from), len(l.records)-l.hidden)
	return l.merge(l.records[from:end], &FeedUpdate{Next: units.Offset(end), Behind: l.hidden > 0}), nil
}

// ReadSoftware implements Store.
func (l *listLog) ReadSoftware(_ context.Context, from, to units.Offset) ([]topo.ServiceSoftware, error) {
	if int(from) < l.oldest {
		return nil, &ExpiredError{Oldest: units.Offset(l.oldest)}
	}
	return l.merge(l.records[from:to], &FeedUpdate{}).Software, nil
}

// ReadKeptSoftware implements Store.
func (l *listLog) ReadKeptSoftware(context.Context) ([]topo.ServiceSoftware, bool, error) {
	l.kept++
	return l.merge(l.records[l.oldest:], &FeedUpdate{}).Software, l.oldest == 0, l.err
}

// ReadKeptConfigs implements Store.
func (l *listLog) ReadKeptConfigs(context.Context) ([]*topo.Config, bool, error) {
	return []*topo.Config{listConfig}, l.oldest == 0, l.err
}

// ReadLedger implements Store.
func (l *listLog) ReadLedger(context.Context) (*LedgerEntries, error) {
	return &LedgerEntries{Entries: l.ledger}, l.err
}

// AppendLedger implements Store.
func (l *listLog) AppendLedger(_ context.Context, _ units.Era, _ units.Offset, changes []origin.Change) (claim.Result, error) {
	var ledger origin.Ledger
	ledger.Load(l.ledger)
	ledger.Apply(changes)
	l.ledger = ledger.Entries()
	return claim.Accepted, nil
}

// ReadStarts implements Store.
func (l *listLog) ReadStarts(_ context.Context, from units.Offset) (*StartRecords, error) {
	return &StartRecords{Batches: l.starts[from:], Next: units.Offset(len(l.starts))}, l.err
}

// DecodeUpdate implements Store.
func (l *listLog) DecodeUpdate(_ Feed, records []peer.FeedRecord) *FeedUpdate {
	var list []*topo.Server
	for _, r := range records {
		list = append(list, &topo.Server{ID: units.BackendServerID(r.Key), Service: "plain", Software: topo.Software(r.Value), StartedAt: 1})
	}
	return l.merge(list, &FeedUpdate{})
}

// listReader is an entry VM that reads a listLog.
type listReader struct {
	*Node
	log *listLog
}

// listConfig is the configuration of a listReader, with one route.
var listConfig = &topo.Config{Version: 1, Routes: []topo.Route{{
	Host: "h.example", PathPrefix: "/", Kind: topo.KindStream, Resumable: true, Shares: []topo.Share{{Service: "plain", Weight: 1}},
}}}

func newListReader(log *listLog, time clock.Clock) *listReader {
	n := New(Options{Settings: Settings{ID: "vm0", Region: "r", Regions: map[units.FailureDomain]units.Region{"z": "r"}}, System: log, Clock: time})
	n.noteRunning()
	n.config.Store(listConfig)
	return &listReader{Node: n, log: log}
}

// read reads the list and the configuration once.
func (r *listReader) read(t *testing.T) {
	t.Helper()
	if got, err := r.readFeed(t.Context(), &r.configFeed, 0); err == nil {
		r.applyRead(&r.configFeed, got, r.applyConfig)
	}
	if got, err := r.readFeed(t.Context(), &r.serversFeed, 0); err == nil {
		r.applyRead(&r.serversFeed, got, r.applyServers)
	}
}

// origin returns how the version of a stream that has just broken is known.
func (r *listReader) origin(t *testing.T) (topo.Software, string) {
	t.Helper()
	r.clock.Advance(1)
	c := &exchange{node: r.Node, route: &listConfig.Routes[0], req: choose.Request{Service: "plain", Arrived: r.clock.Now()}}
	began, source := c.findOrigin(t.Context())
	return began.Software, source
}

// run lets the process run for a time.
func (r *listReader) run(t *testing.T, d clock.Millis) {
	t.Helper()
	for range d / 500 {
		r.clock.Advance(500)
		r.noteRunning()
		r.read(t)
	}
}

// TestVersionsListedUnseen guards against a stream with events of two software versions: a version
// that came and went while the list was not read, or was read with a gap, counted as one that had
// never been there. After reads without a gap, take-ups must go on.
func TestVersionsListedUnseen(t *testing.T) {
	comeAndGo := func(l *listLog) {
		l.put("s2", "v2")
		l.put("s2", "")
	}
	relayed := func(r *listReader, m peer.FeedUpdate) {
		m.Feed = string(FeedServers)
		r.applyRelayed(&m)
	}
	for _, tc := range []struct {
		name   string
		events func(t *testing.T, r *listReader)
		want   string
	}{
		{"one version all the time", func(*testing.T, *listReader) {}, "only_version"},
		{"frozen for a time in which nothing came", func(t *testing.T, r *listReader) {
			r.clock.Advance(7500)
			r.read(t)
		}, "only_version"},
		{"frozen, and the list can't be read since", func(_ *testing.T, r *listReader) {
			r.clock.Advance(7500)
			r.log.away = true
		}, ""},
		{"listed since the last read", func(_ *testing.T, r *listReader) { r.log.put("s2", "v2") }, ""},
		{"listed and removed since the last read", func(_ *testing.T, r *listReader) { comeAndGo(r.log) }, ""},
		{"nothing listed since the last read, which is old", func(_ *testing.T, r *listReader) {
			r.clock.Advance(900)
			r.noteRunning()
			r.clock.Advance(900)
		}, "only_version"},
		{"one read of coming and going", func(t *testing.T, r *listReader) {
			comeAndGo(r.log)
			r.read(t)
		}, ""},
		{"a server that starts again with another version, twice in one read", func(t *testing.T, r *listReader) {
			r.log.put("s1", "v2")
			r.log.put("s1", "v1")
			r.read(t)
		}, ""},
		{"a full read of coming and going", func(t *testing.T, r *listReader) {
			comeAndGo(r.log)
			r.clock.Advance(fullReadPeriod)
			r.read(t)
		}, ""},
		{"expired records", func(t *testing.T, r *listReader) {
			comeAndGo(r.log)
			r.log.put("s1", "v1")
			r.log.oldest = len(r.log.records) - 1
			r.log.err = errors.New("store is away")
			r.read(t)
			r.read(t)
		}, ""},
		{"expired records long ago", func(t *testing.T, r *listReader) {
			comeAndGo(r.log)
			r.log.oldest = len(r.log.records)
			r.read(t)
			r.run(t, 31*clock.Second)
		}, "only_version"},
		{"a store that lost records", func(t *testing.T, r *listReader) {
			r.log.records = r.log.records[:1]
			r.clock.Advance(fullReadPeriod)
			r.log.err = errors.New("store is away")
			r.read(t)
		}, ""},
		{"a store that answers from behind", func(t *testing.T, r *listReader) {
			comeAndGo(r.log)
			r.log.hidden = 2
			r.run(t, 3*clock.Second)
		}, ""},
		{"a relayed update of coming and going", func(_ *testing.T, r *listReader) {
			software := []topo.ServiceSoftware{{Service: "plain", Software: "v2"}}
			relayed(r, peer.FeedUpdate{From: 2, Next: 4, Records: []peer.FeedRecord{{Key: "s2"}}, Software: software})
		}, ""},
		{"a relayed update behind a gap", func(_ *testing.T, r *listReader) {
			r.log.err = errors.New("store is away")
			relayed(r, peer.FeedUpdate{From: 2, Next: 4, Gap: true})
		}, ""},
		{"a relayed update that does not reach the end", func(_ *testing.T, r *listReader) {
			r.clock.Advance(900)
			r.noteRunning()
			r.clock.Advance(900)
			r.log.away = true
			relayed(r, peer.FeedUpdate{From: 2, Next: 3, Behind: true})
		}, ""},
		{"relayed updates that waited while it was frozen", func(_ *testing.T, r *listReader) {
			comeAndGo(r.log)
			r.clock.Advance(7500)
			relayed(r, peer.FeedUpdate{From: 2, Next: 2})
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := &listLog{}
			log.put("s1", "v1")
			log.put("s3", "v1")
			r := newListReader(log, clock.NewManual(clock.Hour))
			r.heardOf(peer.Member{ID: "vm1", Address: "127.0.0.1:1", Domain: "z"})
			r.read(t)
			r.run(t, 40*clock.Second)
			must.Eq(t, 2, r.serversFeed.offset())
			tc.events(t, r)
			_, source := r.origin(t)
			must.Eq(t, tc.want, source)
		})
	}
}

// TestDeletedRecordsOfTheList guards against a stream with events of two software versions: an entry VM that
// had just started took the records of the list that the store had not deleted for all of them, although the
// store also had the start of the stream.
func TestDeletedRecordsOfTheList(t *testing.T) {
	const key = "first"
	v1 := origin.Entry{Group: origin.VersionsOf("plain"), Member: "v1", Whole: true}
	v2 := origin.Entry{Group: origin.VersionsOf("plain"), Member: "v2", Whole: true}
	other := origin.Entry{Group: origin.VersionsOf("other"), Member: "v1", Whole: true}
	route := origin.ServicesOf(origin.RouteKeyOf(&listConfig.Routes[0]))
	plain := origin.Entry{Group: route, Member: "plain", Whole: true}
	moved := origin.Entry{Group: route, Member: "other", Whole: true}
	written := v2
	written.Whole = false
	started := []origin.Batch{{Software: "v1", Remaining: clock.Minute, Keys: []origin.Key{origin.KeyOf(key)}}}
	for _, tc := range []struct {
		name   string
		kept   bool
		ledger []origin.Entry
		starts []origin.Batch
		err    error
		// want is the version, empty if the stream is refused.
		want   topo.Software
		source string
	}{
		{name: "nothing but the records that are left"},
		{name: "the start is in the store", starts: started, want: "v1", source: "store"},
		{name: "the start is in the store, and the list is whole", kept: true, starts: started, want: "v1", source: "store"},
		{name: "the list is whole", kept: true},
		{name: "the ledger has the old version", ledger: []origin.Entry{plain, v1}},
		{name: "the ledger has both versions", ledger: []origin.Entry{plain, v1, v2}},
		{name: "the ledger has the new version alone", ledger: []origin.Entry{plain, v2}, want: "v2", source: "only_version_in_store"},
		{name: "the ledger has another service of the route that has no version", ledger: []origin.Entry{plain, moved, v2}, want: "v2", source: "only_version_in_store"},
		{name: "the ledger has another service of the route with the old version", ledger: []origin.Entry{plain, moved, v2, other}},
		{name: "the ledger has the new version, and may lack others", ledger: []origin.Entry{written}},
		{name: "the ledger has the versions of another service, too", ledger: []origin.Entry{plain, v2, other}, want: "v2", source: "only_version_in_store"},
		{name: "the store is away", ledger: []origin.Entry{plain, v2}, starts: started, err: errors.New("store is away")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := &listLog{ledger: tc.ledger, starts: tc.starts}
			log.put("s1", "v1")
			log.put("s2", "v2")
			log.put("s1", "")
			if !tc.kept {
				log.oldest = len(log.records)
			}
			r := newListReader(log, clock.NewManual(clock.Hour))
			r.read(t)
			r.run(t, clock.Second)
			log.err = tc.err
			c := &exchange{node: r.Node, route: &listConfig.Routes[0], req: choose.Request{Service: "plain", Arrived: r.clock.Now()}}
			c.head.Resumes, c.head.LastEvent = key, "4"
			began, source := c.findOrigin(t.Context())
			must.Eq(t, tc.want, began.Software)
			must.Eq(t, tc.source, source)
		})
	}
}

// TestRelayCarriesVersionsOfRemovedServers guards against a version that only the entry VM which
// reads the store has seen: it came and went within one of its reads.
func TestRelayCarriesVersionsOfRemovedServers(t *testing.T) {
	log := &listLog{}
	log.put("s1", "v1")
	r := newListReader(log, clock.NewManual(clock.Hour))
	r.read(t)
	log.put("s2", "v2")
	log.put("s2", "")
	log.put("s1", "v1")
	got, err := r.readFeed(t.Context(), &r.serversFeed, 0)
	must.NoError(t, err)
	must.Eq(t, []topo.ServiceSoftware{{Service: "plain", Software: "v2"}}, r.applyServers(got.update).Software)
}

// TestKeptVersionsAreReadAgainAfterAGap guards against a read of the store's kept versions that
// counted for the whole life of the process.
func TestKeptVersionsAreReadAgainAfterAGap(t *testing.T) {
	log := &listLog{}
	log.put("s1", "v1")
	r := newListReader(log, clock.NewManual(clock.Hour))
	r.read(t)
	for range 3 {
		_, source := r.origin(t)
		must.Eq(t, "only_version_in_store", source)
	}
	must.Eq(t, 1, log.kept)
	r.run(t, clock.Second)
	log.put("s2", "v2")
	log.put("s2", "")
	r.applyRelayed(&peer.FeedUpdate{Feed: string(FeedServers), From: 1, Next: 3, Gap: true})
	_, source := r.origin(t)
	must.Eq(t, "", source)
	must.Eq(t, 2, log.kept)
}

// TestCoversStarts checks when an entry VM that doesn't know a stream rules out that it was told.
func TestCoversStarts(t *testing.T) {
	for _, tc := range []struct {
		name   string
		window clock.Millis
		events func(r *listReader)
		want   bool
	}{
		{"runs for long", 30 * clock.Second, func(*listReader) {}, true},
		{"started within the window", 60 * clock.Second, func(*listReader) {}, false},
		{"asked by an older release", 0, func(*listReader) {}, false},
		{"frozen within the window", 30 * clock.Second, func(r *listReader) { r.clock.Advance(1200) }, false},
		{"more starts than it keeps", 30 * clock.Second, func(r *listReader) {
			for i := range origin.MaxStarts + 1 {
				r.origins.add(r.clock.BootNow(), origin.Start{Key: origin.Key(i), Software: "v1", Remaining: clock.Second})
			}
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newListReader(&listLog{}, clock.NewManual(clock.Hour))
			r.run(t, 40*clock.Second)
			tc.events(r)
			must.Eq(t, tc.want, r.coversStarts(tc.window))
		})
	}
}

// TestConfigurationsInForceUnseen guards against streams that are joined with those of another service: a
// configuration that was in force for a moment counted as one that had never been.
func TestConfigurationsInForceUnseen(t *testing.T) {
	config := func(version int64, service units.ServiceName) *topo.Config {
		cfg := &topo.Config{Version: version, Routes: slices.Clone(listConfig.Routes)}
		cfg.Routes[0].Shares = []topo.Share{{Service: service, Weight: 1}}
		return cfg
	}
	for _, tc := range []struct {
		name   string
		update *FeedUpdate
		// software are versions listed for other services.
		software []topo.ServiceSoftware
		want     string
		// gap reports whether those that this entry VM relays to are told of a gap.
		gap bool
	}{
		{"none", &FeedUpdate{}, nil, "only_version", false},
		{"one that leaves the route as it is", &FeedUpdate{Config: config(2, "plain")}, nil, "only_version", false},
		{"another service of another version", &FeedUpdate{Config: config(2, "other")}, []topo.ServiceSoftware{{Service: "other", Software: "v2"}}, "", false},
		{"another service of the same version", &FeedUpdate{Config: config(2, "other")}, []topo.ServiceSoftware{{Service: "other", Software: "v1"}}, "only_version", false},
		{
			"another service, and back, in one read", &FeedUpdate{Replaced: []*topo.Config{config(2, "other")}, Config: config(3, "plain")},
			[]topo.ServiceSoftware{{Service: "other", Software: "v2"}},
			"", true,
		},
		{"a full read", &FeedUpdate{Config: config(3, "plain"), Full: true, Gap: true}, nil, "", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := &listLog{}
			log.put("s1", "v1")
			r := newListReader(log, clock.NewManual(clock.Hour))
			r.read(t)
			r.run(t, 40*clock.Second)
			log.err = errors.New("store is away")
			must.Eq(t, tc.gap, r.applyConfig(tc.update).Gap)
			r.withCore(func(core *choose.Core) { core.AddSoftware(r.clock.Now(), tc.software) })
			_, source := r.origin(t)
			must.Eq(t, tc.want, source)
		})
	}
}
