package blame

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// again returns a request that was sent although a crash was known to count against it.
func again(content Key, keys ...Key) Request {
	return Request{Parts: keys, Content: content, Again: true}
}

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
		{"a neighbor at the first crashes", []step{
			{0, "a", []Request{parts(first, sound, rare), whole(98, first, harmful)}},
			{1000, "b", []Request{parts(first, sound, rare), whole(97, first, harmful)}},
			{2000, "c", []Request{parts(first, sound, rare), whole(96, first, harmful)}},
		}, []Key{harmful}},
		{"one failure whose news come late", []step{
			{0, "a", []Request{parts(rare)}}, {250, "b", []Request{parts(rare)}}, {500, "c", []Request{parts(rare)}}, {750, "d", []Request{parts(rare)}},
		}, nil},
		{"one server that crashes again under its old start", []step{
			{0, "a", []Request{parts(harmful)}}, {4000, "a", []Request{parts(harmful)}}, {8000, "a", []Request{parts(harmful)}},
		}, []Key{harmful}},
		{"a request that comes again", []step{
			{0, "a", []Request{whole(content, sound)}}, {1000, "b", []Request{whole(content, sound)}}, {2000, "c", []Request{whole(content, sound)}},
		}, []Key{content}},
		{"a request that is sent on at once after each crash", []step{
			{0, "a", []Request{whole(content)}}, {150, "b", []Request{again(content)}}, {380, "c", []Request{again(content)}},
		}, []Key{content}},
		{"a request in flight on servers that fail at once", []step{
			{0, "a", []Request{whole(content)}}, {50, "b", []Request{whole(content)}}, {90, "c", []Request{whole(content)}},
		}, nil},
		{"a request sent twice to each of two servers", []step{
			{0, "a", []Request{whole(content)}},
			{0, "a", []Request{whole(content)}},
			{150, "b", []Request{again(content)}},
			{150, "b", []Request{again(content)}},
		}, nil},
		{"a neighbor of a request that is sent on at once", []step{
			{0, "a", []Request{whole(content), whole(98)}}, {150, "b", []Request{again(content), whole(98)}}, {380, "c", []Request{again(content), whole(97)}},
		}, []Key{content}},
		{"a request sent on while an answer begins on it", []step{
			{0, "a", []Request{whole(content)}}, {50, "", []Request{whole(content)}}, {150, "b", []Request{again(content)}}, {380, "c", []Request{again(content)}},
		}, nil},
		{"a part of requests that come again often", []step{
			{0, "a", []Request{whole(98, harmful)}},
			{1000, "b", []Request{whole(98, harmful)}},
			{2000, "c", []Request{whole(98, harmful)}},
			{3000, "d", []Request{whole(content, harmful)}},
			{4000, "e", []Request{whole(content, harmful), whole(97, rare)}},
		}, []Key{harmful}},
		{"a part of requests of which one comes again", []step{
			{0, "a", []Request{whole(98, harmful)}}, {1000, "b", []Request{whole(98, harmful), whole(97, harmful)}}, {2000, "c", []Request{whole(content, harmful)}},
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

// crashes returns n news of crashes of different backend servers a second apart, from an instant
// on, each with the requests that in returns for it, and the instant of the last.
func crashes(from clock.Millis, n int, in func(i int) []Request) (list []News, last clock.Millis) {
	for i := range n {
		from += clock.Second
		list = append(list, News{Crashes: []Crash{{Server: units.BackendServerID(fmt.Sprint("s", from)), Requests: in(i)}}})
	}
	return list, from
}

// crashOn makes servers crash n times with r in flight, and returns the instant of the last.
func (g *Registry) crashOn(from clock.Millis, n int, r ...Request) clock.Millis {
	list, _ := crashes(from, n, func(int) []Request { return r })
	for i := range list {
		from += clock.Second
		g.Crashed(from, list[i].Crashes[0])
	}
	return from
}

// TestChangingNeighborsDoNotHideAPart guards against a harmful part that is never found because
// other parts, each in flight at some of the crashes, are blamed in turn.
func TestChangingNeighborsDoNotHideAPart(t *testing.T) {
	var g Registry
	now := clock.Millis(100_000)
	for i := range Key(9) {
		now = g.crashOn(now, 1, whole(1000+i, first, harmful), whole(2000+i, first, sound, 300+i/3))
	}
	must.Eq(t, []Key{harmful}, quarantinedKeys(&g, now))
}

// TestFullRecordKeepsTheHarmfulRequest guards against a harmful request that is left out of the
// record of every crash because it is reported last.
func TestFullRecordKeepsTheHarmfulRequest(t *testing.T) {
	var g Registry
	now := clock.Millis(100_000)
	for i := range 4 {
		now += clock.Second
		server := units.BackendServerID(fmt.Sprint(i))
		for k := range Key(2 * maxRequests) {
			g.Crashed(now, Crash{Server: server, Requests: []Request{{Content: Key(i)<<32 + k + 1}}})
		}
		g.Crashed(now, Crash{Server: server, Requests: []Request{whole(Key(i)+1<<40, harmful)}})
	}
	must.Eq(t, []Key{harmful}, quarantinedKeys(&g, now))
}

// TestSecondHarmfulPartStaysInDoubt guards against as many crashes as before of a part whose
// quarantine ended because another one explained them.
func TestSecondHarmfulPartStaysInDoubt(t *testing.T) {
	const other = Key(14)
	var g Registry
	now := g.crashOn(100_000, 5, parts(harmful), parts(other))
	must.Eq(t, []Key{harmful}, quarantinedKeys(&g, now))
	now = g.crashOn(now, 3, parts(other))
	must.Eq(t, []Key{other}, quarantinedKeys(&g, now))
	now = g.crashOn(now+begunWindow, explainedLimit, parts(harmful))
	must.Eq(t, []Key{harmful, other}, quarantinedKeys(&g, now))
}

// TestAnswersOutweighVerdicts guards against an entry VM that missed the answers of the others
// and has them all refuse a sound part.
func TestAnswersOutweighVerdicts(t *testing.T) {
	var g Registry
	now := clock.Millis(100_000)
	g.Began(now, parts(first))
	now += 500
	news := g.Merge(now, &News{Verdicts: []Verdict{{Key: first, Version: 1, Quarantined: true, Remaining: Term - 100}}})
	must.SliceEmpty(t, quarantinedKeys(&g, now))
	last := news.Verdicts[len(news.Verdicts)-1]
	must.Eq(t, Verdict{Key: first, Version: 2, Reason: ReasonAnswered, Remaining: Term}, last)
}

// TestAnswersEndProbation guards against a quarantine for a single crash of a part on which
// answers have begun since its last quarantine.
func TestAnswersEndProbation(t *testing.T) {
	var g Registry
	now := g.crashOn(100_000, 3, parts(rare)) + Term
	g.Began(now+1000, parts(rare))
	now = g.crashOn(now+begunWindow+1000, 1, parts(rare))
	must.SliceEmpty(t, quarantinedKeys(&g, now))
}

// TestLiftSparesOtherKeys guards against a lift that puts a shared part into quarantine instead.
func TestLiftSparesOtherKeys(t *testing.T) {
	var g, late Registry
	now := g.crashOn(100_000, 3, parts(first, sound, harmful))
	old := g.State(now)
	lift := News{Verdicts: []Verdict{{Key: harmful, Version: 2, Reason: ReasonLifted, Remaining: Term}}}
	g.Merge(now+1000, &lift)
	must.SliceEmpty(t, quarantinedKeys(&g, now+1000))
	g.Merge(now+2000, &old)
	must.SliceEmpty(t, quarantinedKeys(&g, now+2000))
	late.Merge(now+2000, &old)
	whole := g.State(now + 2000)
	late.Merge(now+2000, &whole)
	must.SliceEmpty(t, quarantinedKeys(&late, now+2000))
	for i := range Key(2 * maxVerdicts) {
		g.Merge(now+3000, &News{Verdicts: []Verdict{{Key: 1<<40 + i, Version: 1, Quarantined: true, Remaining: MaxTerm}}})
	}
	g.Merge(now+3000, &old)
	_, refused := g.Quarantined(now+3000, parts(harmful))
	must.False(t, refused)
}

// TestVersionsCanGrow guards against a verdict in the store after which no other could follow.
func TestVersionsCanGrow(t *testing.T) {
	must.Error(t, (&Verdict{Key: rare, Version: ^uint64(0), Remaining: Term}).Check())
}

// network carries news between registries: each sends to fanout others and, what is new, back to
// where it came from.
type network struct {
	r          *rand.Rand
	registries []Registry
	fanout     int
	queue      []letter
	sent       int
}

type letter struct {
	from, to int
	news     News
}

func (n *network) send(at, from int, news News) {
	if news.Empty() {
		return
	}
	to := n.r.Perm(len(n.registries))
	to = append(slices.DeleteFunc(to, func(i int) bool { return i == at || i == from })[:min(n.fanout, len(to)-2)], from)
	for _, i := range to {
		if i >= 0 {
			n.queue = append(n.queue, letter{at, i, news})
			n.sent++
		}
	}
}

// deliver delivers what was sent before.
func (n *network) deliver(now clock.Millis) {
	queue := n.queue
	n.queue = nil
	for _, l := range queue {
		n.send(l.to, l.from, n.registries[l.to].Merge(now, &l.news))
	}
}

// TestServersThatFailInOneRegion guards against a first part that all entry VMs refuse because
// servers go on crashing under those of one region, where no answer begins.
func TestServersThatFailInOneRegion(t *testing.T) {
	for _, entryVMs := range []int{3, 4, 24} {
		for seed := range uint64(5) {
			n := &network{r: rand.New(rand.NewPCG(seed, 2)), registries: make([]Registry, entryVMs), fanout: 8}
			now := clock.Millis(100_000)
			for step := range 1000 {
				now += 10
				n.deliver(now)
				vm := 1 + n.r.IntN(entryVMs-1)
				n.send(vm, -1, n.registries[vm].Began(now, parts(first, Key(500+n.r.IntN(8)))))
				if step > 300 && step%80 == 0 {
					r := n.registries[0].Suspects(now, parts(first, Key(900+n.r.IntN(1000))))
					n.send(0, -1, n.registries[0].Crashed(now, Crash{Server: units.BackendServerID(fmt.Sprint(step)), Requests: []Request{r}}))
				}
			}
			for i := range n.registries {
				_, refused := n.registries[i].Quarantined(now, parts(first))
				must.False(t, refused, must.Sprintf("%d entry VMs, seed %d, entry VM %d", entryVMs, seed, i))
			}
		}
	}
}

// TestManyCrashesCauseNoStorm guards against entry VMs that tell each other crashes without end
// because none has room for all of them.
func TestManyCrashesCauseNoStorm(t *testing.T) {
	const entryVMs = 12
	n := &network{r: rand.New(rand.NewPCG(1, 2)), registries: make([]Registry, entryVMs), fanout: 8}
	now := clock.Millis(100_000)
	for i := range 2 * maxCrashes {
		now += 20
		vm := i % entryVMs
		n.send(vm, -1, n.registries[vm].Crashed(now, Crash{Server: units.BackendServerID(fmt.Sprint(i)), Requests: []Request{{Content: Key(1000 + i)}}}))
		n.deliver(now)
	}
	for range 20 {
		n.deliver(now)
	}
	n.sent = 0
	for range 5 {
		for i := range n.registries {
			state := n.registries[i].State(now)
			n.queue = append(n.queue, letter{i, (i + 1) % entryVMs, state})
		}
		for range 10 {
			now++
			n.deliver(now)
		}
	}
	must.LessEq(t, entryVMs*maxCrashes, n.sent)
	must.SliceEmpty(t, n.queue)
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
