package fleet

import (
	"errors"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/topo"

	"github.com/shoenig/test/must"
)

// TestLedgerIsKept guards against versions that the ledger lacks although streams began there, and that an entry
// VM which has just started then rules out: the one that keeps it stood still, has just started, or can't read
// the store.
func TestLedgerIsKept(t *testing.T) {
	entry := func(version origin.Name, whole bool) origin.Entry {
		return origin.Entry{Group: origin.VersionsOf("plain"), Member: version, Whole: whole}
	}
	service := origin.Entry{Group: origin.ServicesOf(origin.RouteKeyOf(&listConfig.Routes[0])), Member: "plain", Whole: true}
	for _, tc := range []struct {
		name string
		// events happen after the entry VM has seen v1 for long, and kept the ledger of that.
		events func(t *testing.T, r *listReader)
		want   []origin.Entry
	}{
		{"nothing happens", func(*testing.T, *listReader) {}, []origin.Entry{entry("v1", true)}},
		{"another version", func(t *testing.T, r *listReader) {
			r.log.put("s2", "v2")
			r.run(t, clock.Second)
		}, []origin.Entry{entry("v1", true), entry("v2", true)}},
		{"a version that has left", func(t *testing.T, r *listReader) {
			r.log.put("s1", "v2")
			r.run(t, 30*clock.Second)
		}, []origin.Entry{entry("v1", true), entry("v2", true)}},
		{"a version that has left long ago", func(t *testing.T, r *listReader) {
			r.log.put("s1", "v2")
			r.run(t, 50*clock.Second)
		}, []origin.Entry{entry("v2", true)}},
		{"frozen while others have added a version", func(_ *testing.T, r *listReader) {
			r.clock.Advance(70 * clock.Second)
			r.log.put("s2", "v2")
			r.log.ledger = append(r.log.ledger, entry("v2", true))
		}, []origin.Entry{entry("v1", true), entry("v2", true)}},
		{"frozen while others have added a version, and the list can't be read", func(_ *testing.T, r *listReader) {
			r.clock.Advance(70 * clock.Second)
			r.log.put("s2", "v2")
			r.log.ledger = append(r.log.ledger, entry("v2", true))
			r.log.away = true
		}, []origin.Entry{entry("v1", true), entry("v2", true)}},
		{"the store can't be read", func(t *testing.T, r *listReader) {
			r.log.put("s2", "v2")
			r.run(t, clock.Second)
			r.log.err = errors.New("store is away")
		}, []origin.Entry{entry("v1", true)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := &listLog{}
			log.put("s1", "v1")
			r := newListReader(log, clock.NewManual(clock.Hour))
			r.read(t)
			r.run(t, 40*clock.Second)
			keep := func() {
				o, err := r.observed(t.Context())
				must.NoError(t, err)
				// What can't be written now is written later.
				_ = r.syncLedger(t.Context(), o)
			}
			keep()
			tc.events(t, r)
			keep()
			must.SliceContainsAll(t, append(tc.want, service), log.ledger)
		})
	}
}

// TestNewLedgerIsNotWhole guards against a ledger that rules out versions from before its first entry.
func TestNewLedgerIsNotWhole(t *testing.T) {
	for _, tc := range []struct {
		name    string
		deleted bool
	}{
		{"the list's records are deleted", true},
		{"the list is whole", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			log := &listLog{}
			log.put("s1", "v1")
			log.put("s1", "v2")
			if tc.deleted {
				log.oldest = 1
			}
			r := newListReader(log, clock.NewManual(clock.Hour))
			r.read(t)
			o, err := r.observed(t.Context())
			must.NoError(t, err)
			must.NoError(t, r.syncLedger(t.Context(), o))
			var ledger origin.Ledger
			ledger.Load(log.ledger)
			must.Eq(t, !tc.deleted, ledger.Whole())
			must.SliceContains(t, ledger.Versions(), topo.ServiceSoftware{Service: "plain", Software: "v2"})
		})
	}
}
