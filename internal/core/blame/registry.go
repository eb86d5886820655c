package blame

import (
	"cmp"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/pkg/errors"
)

// Durations in ms.
const (
	// Term is how long a key is quarantined, MaxTerm the longest term that is accepted from
	// others.
	Term    = 15 * clock.Minute
	MaxTerm = clock.Hour
	// probation follows a quarantine: one more crash is enough then.
	probation = 15 * clock.Minute
	// evidenceTerm is how long a crash counts.
	evidenceTerm = 10 * clock.Minute
	// momentSpan is the time within which crashes count once: a failure of many backend
	// servers is no evidence against what ran on all of them.
	momentSpan = 200 * clock.Millis(1)
	// begunWindow is how long before a crash an answer may have begun on a key to clear it. It
	// is short because a part can turn harmful, such as by a new version of a model.
	begunWindow = 2 * clock.Second
)

// Numbers of moments at which backend servers crashed that put a key into quarantine.
const (
	crashLimit = 3
	// contestedLimit holds for a key if nearly all of its crashes are also those of a later key
	// of the same request: the more specific key is the likelier cause.
	contestedLimit = 5
	probationLimit = 1
)

// Bounds of a Registry.
const (
	maxCrashes  = 64
	maxRequests = 32
	maxBegun    = 8192
	maxVerdicts = 256
	// MaxParts bounds the parts of one request that are looked at.
	MaxParts = 32
)

// Request holds the keys of one request.
type Request struct {
	// Parts are the keys of the parts of its prompt, in their order, without the last, which
	// belongs to the request alone.
	Parts []Key `msgpack:"p,omitempty"`
	// Content is the key of the whole request, 0 if it has no content that tells it from
	// others.
	Content Key `msgpack:"c,omitempty"`
}

// keys returns the keys of r, more specific ones later.
func (r Request) keys() []Key {
	if r.Content == 0 {
		return r.Parts
	}
	return append(slices.Clip(r.Parts), r.Content)
}

// Empty reports whether r has no keys.
func (r Request) Empty() bool { return len(r.Parts) == 0 && r.Content == 0 }

// Crash is a crash of a backend server.
type Crash struct {
	Server units.BackendServerID `msgpack:"s"`
	// StartedAt is the start of the process that crashed, by the backend server's clock.
	StartedAt int64 `msgpack:"b"`
	// Age is the time in ms since the crash.
	Age clock.Millis `msgpack:"a"`
	// Requests were in flight there without an answer having begun.
	Requests []Request `msgpack:"r"`
}

// Begun reports that an answer began on a key.
type Begun struct {
	Key Key `msgpack:"k"`
	// Age is the time in ms since then.
	Age clock.Millis `msgpack:"a"`
}

// News is what entry VMs tell each other. The zero value tells nothing.
type News struct {
	Crashes  []Crash   `msgpack:"c,omitempty"`
	Begun    []Begun   `msgpack:"b,omitempty"`
	Verdicts []Verdict `msgpack:"v,omitempty"`
}

// Empty reports whether n tells nothing.
func (n *News) Empty() bool { return len(n.Crashes)+len(n.Begun)+len(n.Verdicts) == 0 }

// Check reports whether n is valid.
func (n *News) Check() error {
	for i := range n.Crashes {
		c := &n.Crashes[i]
		if c.Server == "" || c.Age < 0 || len(c.Requests) > maxRequests {
			return errors.New("crash without backend server, from the future or with too many requests")
		}
		for _, r := range c.Requests {
			if len(r.Parts) > MaxParts {
				return errors.New("request with too many parts")
			}
		}
	}
	for _, b := range n.Begun {
		if b.Age < 0 {
			return errors.New("answer that began in the future")
		}
	}
	for i := range n.Verdicts {
		if err := n.Verdicts[i].Check(); err != nil {
			return err
		}
	}
	return nil
}

// crashID identifies a crash.
type crashID struct {
	server    units.BackendServerID
	startedAt int64
}

type crash struct {
	crashID
	at       clock.Millis
	requests []Request
}

// heldVerdict is a verdict with the instant at which it is forgotten.
type heldVerdict struct {
	Verdict
	until clock.Millis
}

// Registry holds what an entry VM knows of crashes and the verdicts that follow. The zero value
// is empty. It does no I/O; calls must not overlap.
type Registry struct {
	crashes  map[crashID]*crash
	begun    map[Key]clock.Millis
	verdicts map[Key]*heldVerdict
}

// Quarantined returns the first key of r that is in quarantine. ok is false if none is.
func (g *Registry) Quarantined(now clock.Millis, r Request) (key Key, ok bool) {
	if len(g.verdicts) == 0 {
		return 0, false
	}
	for _, key := range r.keys() {
		if g.refuses(now, key) {
			return key, true
		}
	}
	return 0, false
}

func (g *Registry) refuses(now clock.Millis, key Key) bool {
	v := g.verdicts[key]
	return v != nil && v.Quarantined && now < v.until
}

// Began records that the answer to r began, so that none of its keys crashes backend servers.
// It returns what to tell others.
func (g *Registry) Began(now clock.Millis, r Request) News {
	var news News
	for _, key := range r.Parts {
		g.clear(now, now, key, &news)
	}
	// Few requests come twice: those without evidence need not be remembered.
	if r.Content != 0 && (g.suspected(r.Content) || g.verdicts[r.Content] != nil) {
		g.clear(now, now, r.Content, &news)
	}
	return news
}

// clear records that an answer began on key at an instant. News get what others need to know:
// that it cleared the key of evidence, or ended its quarantine.
func (g *Registry) clear(now, at clock.Millis, key Key, news *News) {
	counted := g.counted(key)
	g.remember(now, at, key)
	if counted && !g.counted(key) {
		news.Begun = append(news.Begun, Begun{Key: key, Age: now - at})
	}
	if g.refuses(now, key) && at > g.verdicts[key].until-Term {
		news.Verdicts = append(news.Verdicts, g.set(now, Verdict{Key: key, Version: g.verdicts[key].Version + 1, Remaining: Term}))
	}
}

func (g *Registry) remember(now, at clock.Millis, key Key) {
	if g.begun == nil {
		g.begun = map[Key]clock.Millis{}
	}
	if _, ok := g.begun[key]; !ok && len(g.begun) >= maxBegun {
		g.forgetBegun(now)
	}
	g.begun[key] = max(g.begun[key], at)
}

// forgetBegun makes room for one more key: it drops those that no crash counts against and on
// which no answer began lately, or any one if there are none.
func (g *Registry) forgetBegun(now clock.Millis) {
	for key, at := range g.begun {
		if at < now-begunWindow && !g.suspected(key) {
			delete(g.begun, key)
		}
	}
	for key := range g.begun {
		if len(g.begun) < maxBegun {
			return
		}
		delete(g.begun, key)
	}
}

// suspected reports whether a recorded crash had key in flight.
func (g *Registry) suspected(key Key) bool {
	for _, c := range g.crashes {
		if c.has(key) {
			return true
		}
	}
	return false
}

// counted reports whether a recorded crash counts against key.
func (g *Registry) counted(key Key) bool {
	for _, c := range g.crashes {
		if g.counts(c, key) && c.has(key) {
			return true
		}
	}
	return false
}

// counts reports whether a crash that had key in flight counts against it.
func (g *Registry) counts(c *crash, key Key) bool {
	at, ok := g.begun[key]
	return !ok || at <= c.at-begunWindow
}

func (c *crash) has(key Key) bool {
	for _, r := range c.requests {
		if r.Content == key || slices.Contains(r.Parts, key) {
			return true
		}
	}
	return false
}

// Crashed records a crash that this entry VM saw. It returns what to tell others, and the
// verdicts that it leads to.
func (g *Registry) Crashed(now clock.Millis, c Crash) News {
	var news News
	g.addCrash(now, c, &news)
	g.judge(now, &news)
	return news
}

// addCrash adds a crash, or requests to one already known, and adds to news what was not known.
// Requests without a key that counts are left out.
func (g *Registry) addCrash(now clock.Millis, reported Crash, news *News) {
	at := now - reported.Age
	if reported.Age > evidenceTerm {
		return
	}
	id := crashID{reported.Server, reported.StartedAt}
	c := g.crashes[id]
	if c == nil {
		c = &crash{crashID: id, at: at}
	}
	fresh := Crash{Server: c.server, StartedAt: c.startedAt, Age: now - c.at}
	for _, r := range reported.Requests {
		r = g.suspects(c, r)
		if r.Empty() || len(c.requests) >= maxRequests || slices.ContainsFunc(c.requests, r.within) {
			continue
		}
		c.requests = append(c.requests, r)
		fresh.Requests = append(fresh.Requests, r)
	}
	if len(fresh.Requests) == 0 {
		return
	}
	if g.crashes[id] == nil {
		g.dropCrashes(now)
		g.crashes[id] = c
	}
	news.Crashes = append(news.Crashes, fresh)
}

// suspects returns r with the keys alone that crash c counts against.
func (g *Registry) suspects(c *crash, r Request) Request {
	cleared := func(key Key) bool { return !g.counts(c, key) }
	out := Request{Parts: slices.DeleteFunc(slices.Clone(r.Parts), cleared), Content: r.Content}
	if out.Content != 0 && cleared(out.Content) {
		out.Content = 0
	}
	return out
}

// within reports whether other has all keys of r.
func (r Request) within(other Request) bool {
	missing := func(key Key) bool { return !slices.Contains(other.Parts, key) }
	return (r.Content == 0 || r.Content == other.Content) && !slices.ContainsFunc(r.Parts, missing)
}

// dropCrashes drops crashes that are too old, and makes room for one more.
func (g *Registry) dropCrashes(now clock.Millis) {
	if g.crashes == nil {
		g.crashes = map[crashID]*crash{}
	}
	for id, c := range g.crashes {
		if c.at < now-evidenceTerm {
			delete(g.crashes, id)
		}
	}
	for len(g.crashes) >= maxCrashes {
		list := g.sortedCrashes()
		delete(g.crashes, list[0].crashID)
	}
}

func (g *Registry) sortedCrashes() []*crash {
	list := make([]*crash, 0, len(g.crashes))
	for _, c := range g.crashes {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server), cmp.Compare(a.startedAt, b.startedAt))
	})
	return list
}

// set records a verdict whatever was known before, and returns it.
func (g *Registry) set(now clock.Millis, v Verdict) Verdict {
	if g.verdicts == nil {
		g.verdicts = map[Key]*heldVerdict{}
	}
	if g.verdicts[v.Key] == nil && len(g.verdicts) >= maxVerdicts {
		g.dropVerdict(now)
	}
	g.verdicts[v.Key] = &heldVerdict{Verdict: v, until: now + v.Remaining}
	if !v.Quarantined {
		g.remember(now, now, v.Key)
	}
	return v
}

// dropVerdict drops the verdicts that have ended for long, or that which ends first.
func (g *Registry) dropVerdict(now clock.Millis) {
	var first Key
	for key, v := range g.verdicts {
		if now >= v.until+probation {
			delete(g.verdicts, key)
		} else if f := g.verdicts[first]; f == nil || v.until < f.until {
			first = key
		}
	}
	if len(g.verdicts) >= maxVerdicts {
		delete(g.verdicts, first)
	}
}

// Merge applies what another entry VM told, or verdicts from the store. It returns what was not
// known, for others, with the verdicts that follow from it.
func (g *Registry) Merge(now clock.Millis, told *News) News {
	var news News
	for _, b := range told.Begun {
		if g.counted(b.Key) {
			g.clear(now, now-b.Age, b.Key, &news)
		}
	}
	for i := range told.Verdicts {
		if v := told.Verdicts[i]; g.replaces(now, &v) {
			news.Verdicts = append(news.Verdicts, g.set(now, v))
		}
	}
	for _, c := range told.Crashes {
		g.addCrash(now, c, &news)
		g.object(now, c, &news)
	}
	g.judge(now, &news)
	return news
}

// object adds to news the keys of a reported crash on which an answer began here.
func (g *Registry) object(now clock.Millis, reported Crash, news *News) {
	told := map[Key]bool{}
	for _, r := range reported.Requests {
		for _, key := range r.keys() {
			if at, ok := g.begun[key]; ok && at > now-reported.Age-begunWindow && !told[key] {
				told[key] = true
				news.Begun = append(news.Begun, Begun{Key: key, Age: now - at})
			}
		}
	}
}

func (g *Registry) replaces(now clock.Millis, v *Verdict) bool {
	old := g.verdicts[v.Key]
	return old == nil || v.Replaces(&old.Verdict) || now >= old.until+probation
}

// Verdicts returns the verdicts that have not ended, sorted by key.
func (g *Registry) Verdicts(now clock.Millis) []Verdict {
	var list []Verdict
	for _, held := range g.verdicts {
		if v := held.Verdict; now < held.until {
			v.Remaining = held.until - now
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// Suspects returns r with the keys alone on which no answer began lately, so that they may be
// the cause if a backend server crashes now.
func (g *Registry) Suspects(now clock.Millis, r Request) Request {
	return g.suspects(&crash{at: now}, r)
}

// State returns the verdicts and the crashes without a known cause, for an entry VM that may
// have missed some of them.
func (g *Registry) State(now clock.Millis) News {
	news := News{Verdicts: g.Verdicts(now)}
	for _, c := range g.sortedCrashes() {
		if c.at < now-evidenceTerm {
			continue
		}
		out := Crash{Server: c.server, StartedAt: c.startedAt, Age: now - c.at}
		for _, r := range g.unexplained(now, c) {
			if r = g.suspects(c, r); !r.Empty() {
				out.Requests = append(out.Requests, r)
			}
		}
		if len(out.Requests) > 0 {
			news.Crashes = append(news.Crashes, out)
		}
	}
	return news
}
