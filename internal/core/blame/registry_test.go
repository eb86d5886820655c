package blame

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/shoenig/test/must"
)

// step is one thing that happens to the requests of a registry.
type step struct {
	at clock.Millis
	// crash is the backend server that crashes with the requests in flight; if it is empty,
	// the answers to them begin.
	crash    units.BackendServerID
	requests []Request
}

func parts(keys ...Key) Request { return Request{Parts: keys} }

func whole(content Key, keys ...Key) Request { return Request{Parts: keys, Content: content} }

// Keys of the tests.
const (
	first, harmful, sound, rare, content = Key(1), Key(13), Key(5), Key(7), Key(99)
)

func quarantinedKeys(g *Registry, now clock.Millis) []Key {
	var list []Key
	for _, v := range g.Verdicts(now) {
		if v.Quarantined {
			list = append(list, v.Key)
		}
	}
	return list
}

// TestQuarantine guards against parts that go on crashing backend servers, and against refusing
// those that were in flight only because others crashed the server.
func TestQuarantine(t *testing.T) {
	for _, tc := range []struct {
		name  string
		steps []step
		want  []Key
	}{
		{"two crashes are not enough", []step{
			{0, "a", []Request{parts(harmful)}}, {1000, "b", []Request{parts(harmful)}},
		}, nil},
		{"three crashes", []step{
			{0, "a", []Request{parts(first, harmful)}}, {1000, "b", []Request{parts(first, harmful)}}, {2000, "c", []Request{parts(first, harmful)}},
		}, []Key{harmful}},
		{"a first part that others begin on is spared", []step{
			{0, "a", []Request{parts(first, harmful)}},
			{500, "", []Request{parts(first, sound)}},
			{1000, "b", []Request{parts(first, harmful), parts(first, sound)}},
			{2000, "c", []Request{parts(first, harmful)}},
			{2500, "d", []Request{parts(first, harmful)}},
		}, []Key{harmful}},
		{"many servers that fail at once count once", []step{
			{0, "a", []Request{parts(rare)}}, {50, "b", []Request{parts(rare)}}, {90, "c", []Request{parts(rare)}}, {150, "d", []Request{parts(rare)}},
		}, nil},
		{"an answer clears the part", []step{
			{0, "a", []Request{parts(rare)}},
			{1000, "b", []Request{parts(rare)}},
			{1500, "", []Request{parts(rare)}},
			{4000, "c", []Request{parts(rare)}},
			{5000, "d", []Request{parts(rare)}},
		}, nil},
		{"a part that turns harmful", []step{
			{0, "", []Request{parts(harmful)}}, {3000, "a", []Request{parts(harmful)}}, {4000, "b", []Request{parts(harmful)}}, {5000, "c", []Request{parts(harmful)}},
		}, []Key{harmful}},
		{"a neighbor in the batch", []step{
			{0, "a", []Request{parts(harmful), parts(rare)}},
			{1000, "b", []Request{parts(harmful), parts(rare)}},
			{2000, "c", []Request{parts(harmful)}},
			{3000, "d", []Request{parts(harmful), parts(rare)}},
			{4000, "e", []Request{parts(harmful), parts(rare)}},
		}, []Key{harmful}},
		{"a shared part without answers waits for the more specific one", []step{
			{0, "a", []Request{parts(first, sound)}},
			{1000, "b", []Request{parts(first, harmful)}},
			{2000, "c", []Request{parts(first, harmful)}},
			{3000, "d", []Request{parts(first, harmful)}},
		}, []Key{harmful}},
		{"a request that comes again", []step{
			{0, "a", []Request{whole(content, sound)}}, {1000, "b", []Request{whole(content, sound)}}, {2000, "c", []Request{whole(content, sound)}},
		}, []Key{content}},
		{"a part of requests that come again often", []step{
			{0, "a", []Request{whole(98, harmful)}},
			{1000, "b", []Request{whole(98, harmful)}},
			{2000, "c", []Request{whole(98, harmful)}},
			{3000, "d", []Request{whole(content, harmful)}},
			{4000, "e", []Request{whole(content, harmful), whole(97, rare)}},
		}, []Key{harmful}},
		{"a part of requests that come again", []step{
			{0, "a", []Request{whole(98, harmful)}},
			{1000, "b", []Request{whole(98, harmful)}},
			{2000, "c", []Request{whole(content, harmful)}},
			{3000, "d", []Request{whole(content, harmful)}},
		}, []Key{harmful}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var g Registry
			now := clock.Millis(100_000)
			start := now
			for _, s := range tc.steps {
				now = start + s.at
				if s.crash != "" {
					g.Crashed(now, Crash{Server: s.crash, Requests: s.requests})
					continue
				}
				for _, r := range s.requests {
					g.Began(now, r)
				}
			}
			must.Eq(t, tc.want, quarantinedKeys(&g, now))
		})
	}
}

// TestQuarantineEndsAndComesBack guards against a quarantine for ever, and against as many
// crashes after its end as before it.
func TestQuarantineEndsAndComesBack(t *testing.T) {
	var g Registry
	now := clock.Millis(100_000)
	crash := func() {
		now += clock.Second
		g.Crashed(now, Crash{Server: units.BackendServerID(fmt.Sprint(now)), Requests: []Request{parts(harmful)}})
	}
	quarantined := func() bool {
		_, ok := g.Quarantined(now, parts(first, harmful))
		return ok
	}
	crash()
	crash()
	must.False(t, quarantined())
	crash()
	must.True(t, quarantined())
	now += Term
	must.False(t, quarantined())
	crash()
	must.True(t, quarantined())
	lifted := Verdict{Key: harmful, Version: g.Verdicts(now)[0].Version + 1, Remaining: Term}
	g.Merge(now, &News{Verdicts: []Verdict{lifted}})
	must.False(t, quarantined())
	crash()
	must.False(t, quarantined())
}

// TestEntryVMsAgree guards against entry VMs that refuse different parts: each sees a part of
// the crashes and answers, and news reach the others late, in any order and more than once.
func TestEntryVMsAgree(t *testing.T) {
	const entryVMs, rounds = 5, 120
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 7))
		var registries [entryVMs]Registry
		var queues [entryVMs][]News
		send := func(news News) {
			for i := range queues {
				if !news.Empty() {
					queues[i] = append(queues[i], news)
				}
			}
		}
		deliver := func(now clock.Millis, i int) {
			for _, k := range r.Perm(len(queues[i])) {
				news := queues[i][k]
				send(registries[i].Merge(now, &news))
			}
			queues[i] = nil
		}
		now := clock.Millis(100_000)
		for round := range rounds {
			now += clock.Millis(50 + r.IntN(200))
			if r.IntN(8) == 0 {
				server := units.BackendServerID(fmt.Sprint("s", round))
				for i := range registries {
					requests := []Request{parts(first, Key(1000+r.IntN(200)))}
					if i == round%entryVMs {
						requests = append(requests, parts(first, harmful))
					}
					send(registries[i].Crashed(now, Crash{Server: server, Requests: requests}))
				}
			}
			send(registries[r.IntN(entryVMs)].Began(now, parts(first, Key(1000+r.IntN(200)))))
			if r.IntN(3) == 0 {
				deliver(now, r.IntN(entryVMs))
			}
		}
		for range 6 {
			for i := range registries {
				queued := queues[i]
				queues[i] = nil
				for _, news := range queued {
					send(registries[i].Merge(now, &news))
				}
			}
		}
		for i := range registries {
			must.Eq(t, []Key{harmful}, quarantinedKeys(&registries[i], now), must.Sprintf("seed %d, entry VM %d", seed, i))
		}
	}
}

// TestRegistryIsBounded guards against callers that fill the memory with new parts.
func TestRegistryIsBounded(t *testing.T) {
	var g Registry
	now := clock.Millis(100_000)
	for i := range Key(3 * maxBegun) {
		now++
		g.Began(now, parts(i, i+1))
		if i%10 == 0 {
			g.Crashed(now, Crash{Server: units.BackendServerID(fmt.Sprint(i)), Requests: []Request{parts(1<<40 + i)}})
		}
		g.Merge(now, &News{Verdicts: []Verdict{{Key: 1<<50 + i, Version: 1, Quarantined: true, Remaining: Term}}})
	}
	must.LessEq(t, maxBegun, len(g.begun))
	must.LessEq(t, maxCrashes, len(g.crashes))
	must.LessEq(t, maxVerdicts, len(g.verdicts))
}
