package blame

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
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
	// servers is no evidence against what ran on all of them. News of them may come late.
	momentSpan = 400 * clock.Millis(1)
	// sameCrashSpan is the time within which reports of a crash of one process are of the same
	// crash. The list of backend servers may name the start of an earlier process for long.
	sameCrashSpan = 3 * clock.Second
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
	// contestingContents is the number of different requests with a part up to which one of
	// them, as a whole, is the likelier cause.
	contestingContents = 2
	// probationLimit holds after a quarantine that ended by itself, explainedLimit after one
	// that ended because another key explained the crashes.
	probationLimit = 1
	explainedLimit = 2
	// beyondPart and beyondWhole are the further crashes of a key if a later part of the same
	// requests, or the whole request, is in quarantine already.
	beyondPart  = 3
	beyondWhole = 2
)

// Bounds of a Registry.
const (
	// maxCrashes is at most the number of bits of moments.
	maxCrashes  = 64
	maxRequests = 32
	maxBegun    = 8192
	maxVerdicts = 256
	// MaxParts bounds the parts of one request that are looked at.
	MaxParts = 16
)

type crash struct {
	server    units.BackendServerID
	startedAt int64
	at        clock.Millis
	requests  []Request
}

// heldVerdict is a verdict with the instants at which it was given and is forgotten.
type heldVerdict struct {
	Verdict
	at, until clock.Millis
}

// Registry holds what an entry VM knows of crashes and the verdicts that follow. The zero value
// is empty. Its instants are of a clock that also runs while the machine is suspended. It does
// no I/O; calls must not overlap.
type Registry struct {
	// crashes are sorted by time.
	crashes []*crash
	// suspected holds the last crash that had a key in flight.
	suspected map[Key]clock.Millis
	// begun holds when an answer last began on a key.
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
	if _, ok := g.suspected[r.Content]; r.Content != 0 && (ok || g.verdicts[r.Content] != nil) {
		g.clear(now, now, r.Content, &news)
	}
	return news
}

// clear records that an answer began on key at an instant. News get what others need to know:
// that it cleared the key of evidence, or ended its quarantine.
func (g *Registry) clear(now, at clock.Millis, key Key, news *News) {
	counted := g.counted(key)
	g.remember(at, key)
	if counted && !g.counted(key) {
		news.Begun = append(news.Begun, Begun{Key: key, Age: now - at})
	}
	g.liftAnswered(now, key, news)
}

// liftAnswered ends the quarantine of a key on which an answer began about when it was put there
// or later: an entry VM that did not hear of the answer has done so.
func (g *Registry) liftAnswered(now clock.Millis, key Key, news *News) {
	at, begun := g.begun[key]
	if g.refuses(now, key) && begun && at > g.verdicts[key].at-begunWindow {
		news.Verdicts = append(news.Verdicts, g.set(now, Verdict{Key: key, Version: g.verdicts[key].Version + 1, Reason: ReasonAnswered, Remaining: Term}))
	}
}

func (g *Registry) remember(at clock.Millis, key Key) {
	if g.begun == nil {
		g.begun = map[Key]clock.Millis{}
	}
	old, known := g.begun[key]
	if !known && len(g.begun) >= maxBegun {
		g.forgetBegun()
	}
	if !known || at > old {
		g.begun[key] = at
	}
}

// forgetBegun makes room for more keys: it drops those without evidence that are older than the
// average, and then any.
func (g *Registry) forgetBegun() {
	var sum clock.Millis
	for _, at := range g.begun {
		sum += at
	}
	mean := sum / clock.Millis(len(g.begun))
	for key, at := range g.begun {
		if _, ok := g.suspected[key]; at <= mean && !ok && g.verdicts[key] == nil {
			delete(g.begun, key)
		}
	}
	for key := range g.begun {
		if len(g.begun) < maxBegun*3/4 {
			return
		}
		delete(g.begun, key)
	}
}

// counted reports whether a recorded crash counts against key.
func (g *Registry) counted(key Key) bool {
	last, ok := g.suspected[key]
	return ok && g.counts(last, key)
}

// counts reports whether a crash that had key in flight counts against it.
func (g *Registry) counts(crashedAt clock.Millis, key Key) bool {
	at, ok := g.begun[key]
	return !ok || at <= crashedAt-begunWindow
}

// Crashed records a crash that this entry VM saw. It returns what to tell others, and the
// verdicts that it leads to.
func (g *Registry) Crashed(now clock.Millis, c Crash) News {
	var news News
	g.addCrash(now, c, &news)
	if !news.Empty() {
		g.decide(now, &news)
	}
	return news
}

// addCrash adds a crash, or requests to one already known, and adds to news what was not known.
// Requests without a key that counts are left out.
func (g *Registry) addCrash(now clock.Millis, reported Crash, news *News) {
	at := now - reported.Age
	if reported.Age > evidenceTerm {
		return
	}
	c := g.findCrash(reported.Server, reported.StartedAt, at)
	known := c != nil
	if !known {
		c = &crash{server: reported.Server, startedAt: reported.StartedAt, at: at}
	}
	fresh := Crash{Server: c.server, StartedAt: c.startedAt, Age: now - c.at}
	for _, r := range reported.Requests {
		if r = g.suspects(c.at, r); !r.Empty() && c.add(r) {
			fresh.Requests = append(fresh.Requests, r)
		}
	}
	if len(fresh.Requests) == 0 || !known && !g.insert(now, c) {
		return
	}
	for _, r := range fresh.Requests {
		g.suspect(c.at, r)
	}
	news.Crashes = append(news.Crashes, fresh)
}

func (g *Registry) findCrash(server units.BackendServerID, startedAt int64, at clock.Millis) *crash {
	for _, c := range g.crashes {
		if c.server == server && c.startedAt == startedAt && max(at-c.at, c.at-at) <= sameCrashSpan {
			return c
		}
	}
	return nil
}

func (g *Registry) suspect(at clock.Millis, r Request) {
	if g.suspected == nil {
		g.suspected = map[Key]clock.Millis{}
	}
	for _, key := range r.keys() {
		if old, ok := g.suspected[key]; !ok || at > old {
			g.suspected[key] = at
		}
	}
}

// insert adds a crash. It reports false if there is no room for one that old. Crashes about as
// old as the oldest one have none: entry VMs would tell each other those in turn.
func (g *Registry) insert(now clock.Millis, c *crash) bool {
	kept := len(g.crashes)
	g.crashes = slices.DeleteFunc(g.crashes, func(c *crash) bool { return c.at < now-evidenceTerm })
	if len(g.crashes) >= maxCrashes {
		if c.at <= g.crashes[0].at+momentSpan {
			return false
		}
		g.crashes = slices.Delete(g.crashes, 0, 1)
	}
	if len(g.crashes) < kept {
		clear(g.suspected)
		for _, c := range g.crashes {
			for _, r := range c.requests {
				g.suspect(c.at, r)
			}
		}
	}
	i, _ := slices.BinarySearchFunc(g.crashes, c.at, func(c *crash, at clock.Millis) int { return cmp.Compare(c.at, at) })
	g.crashes = slices.Insert(g.crashes, i, c)
	return true
}

// add adds a request in flight at a crash and reports whether c has changed. If there are too
// many, it keeps those with parts before others, and of these the same ones on all entry VMs:
// no request is left out because it was reported late, and none at all crashes.
func (c *crash) add(r Request) bool {
	if i := slices.IndexFunc(c.requests, r.within); i >= 0 {
		sentAgain := r.Again && !c.requests[i].Again && r.Content == c.requests[i].Content
		c.requests[i].Again = c.requests[i].Again || sentAgain
		return sentAgain
	}
	if len(c.requests) < maxRequests {
		c.requests = append(c.requests, r)
		return true
	}
	rank := func(r Request) uint64 {
		h := xxhash.Sum64String(string(c.server) + fmt.Sprint(c.startedAt, r.keys()))
		if len(r.Parts) == 0 {
			return h | 1<<63
		}
		return h &^ (1 << 63)
	}
	last := 0
	for i := range c.requests {
		if rank(c.requests[i]) > rank(c.requests[last]) {
			last = i
		}
	}
	if rank(r) >= rank(c.requests[last]) {
		return false
	}
	c.requests[last] = r
	return true
}

// suspects returns r with the keys alone that a crash at an instant counts against.
func (g *Registry) suspects(crashedAt clock.Millis, r Request) Request {
	cleared := func(key Key) bool { return !g.counts(crashedAt, key) }
	out := Request{Parts: slices.DeleteFunc(slices.Clone(r.Parts), cleared), Content: r.Content}
	if out.Content != 0 && cleared(out.Content) {
		out.Content = 0
	}
	out.Again = r.Again && out.Content != 0
	return out
}

// set records a verdict whatever was known before, and returns it.
func (g *Registry) set(now clock.Millis, v Verdict) Verdict {
	if g.verdicts == nil {
		g.verdicts = map[Key]*heldVerdict{}
	}
	if g.verdicts[v.Key] == nil && len(g.verdicts) >= maxVerdicts {
		g.dropVerdicts(now)
	}
	until := now + v.Remaining
	g.verdicts[v.Key] = &heldVerdict{Verdict: v, at: min(now, until-Term), until: until}
	return v
}

// dropVerdicts drops the verdicts that ended long ago, or the one that ends first. Those that an
// operator has lifted come last: an entry VM that missed it may tell the old verdict.
func (g *Registry) dropVerdicts(now clock.Millis) {
	maps.DeleteFunc(g.verdicts, func(_ Key, v *heldVerdict) bool { return now >= v.until+probation })
	var first *heldVerdict
	for _, v := range g.verdicts {
		lifted := v.Reason == ReasonLifted
		if first == nil || lifted == (first.Reason == ReasonLifted) && v.until < first.until || !lifted && first.Reason == ReasonLifted {
			first = v
		}
	}
	if first != nil && len(g.verdicts) >= maxVerdicts {
		delete(g.verdicts, first.Key)
	}
}

// Merge applies what another entry VM told, or verdicts from the store. It returns what was not
// known, for others, with the verdicts that follow from it.
func (g *Registry) Merge(now clock.Millis, told *News) News {
	var news News
	for _, b := range told.Begun {
		g.clear(now, now-b.Age, b.Key, &news)
	}
	for i := range told.Verdicts {
		if v := told.Verdicts[i]; g.replaces(now, &v) {
			news.Verdicts = append(news.Verdicts, g.set(now, v))
			g.liftAnswered(now, v.Key, &news)
		}
	}
	for _, c := range told.Crashes {
		g.addCrash(now, c, &news)
		g.object(now, c, &news)
	}
	if len(news.Crashes)+len(news.Verdicts) > 0 {
		g.decide(now, &news)
	}
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
func (g *Registry) Suspects(now clock.Millis, r Request) Request { return g.suspects(now, r) }

// CountsAgainst reports whether a known crash counts against the whole request r.
func (g *Registry) CountsAgainst(r Request) bool { return r.Content != 0 && g.counted(r.Content) }

// State returns the verdicts and the crashes without a part in quarantine, for an entry VM that
// may have missed some of them.
func (g *Registry) State(now clock.Millis) News {
	news := News{Verdicts: g.Verdicts(now)}
	for _, c := range g.crashes {
		if c.at < now-evidenceTerm {
			continue
		}
		out := Crash{Server: c.server, StartedAt: c.startedAt, Age: now - c.at}
		for _, r := range c.requests {
			if _, ok := g.Quarantined(now, Request{Parts: r.Parts}); ok {
				out.Requests = nil
				break
			}
			if r = g.suspects(c.at, r); !r.Empty() {
				out.Requests = append(out.Requests, r)
			}
		}
		if len(out.Requests) > 0 {
			news.Crashes = append(news.Crashes, out)
		}
	}
	return news
}
