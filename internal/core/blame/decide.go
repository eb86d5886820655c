package blame

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"mangostile/internal/base/clock"
)

// moments is a set of moments at which backend servers crashed. The bit of a moment is the index of
// its first crash in a registry.
type moments uint64

func (m moments) count() int { return bits.OnesCount64(uint64(m)) }

// suspect is a key with the crashes that count against it.
type suspect struct {
	key Key
	// crashes are the moments at which it was in flight on backend servers that crashed.
	crashes moments
	// whole is true for the key of a whole request.
	whole bool
	// last is the last of its crashes.
	last *crash
	// later holds the keys that follow it in requests, so more specific ones, and contents the
	// different requests that it was in. They are set for suspects with enough crashes only.
	later    map[Key]bool
	contents int
}

// evidence holds the suspects of some crashes and the requests that were in flight at these with
// the keys alone that count.
type evidence struct {
	suspects map[Key]*suspect
	requests []Request
}

// decide puts into quarantine the keys that the crashes count against, until no crash is left
// without a cause, and adds the verdicts to news.
func (g *Registry) decide(now clock.Millis, news *News) {
	for range maxCrashes {
		s := g.culprit(now)
		if s == nil {
			break
		}
		v := Verdict{Key: s.key, Version: 1, Quarantined: true, Reason: ReasonCrashes, Remaining: Term, Server: s.last.server}
		if old := g.verdicts[s.key]; old != nil {
			v.Version = old.Version + 1
		}
		news.Verdicts = append(news.Verdicts, g.set(now, v))
	}
	g.releaseExplained(now, news)
}

// releaseExplained ends the quarantine of keys all of whose crashes turn out to be those of another
// key in quarantine, which has more of them: the news of it may have come later.
func (g *Registry) releaseExplained(now clock.Millis, news *News) {
	var e *evidence
	for key, v := range g.verdicts {
		if !g.refuses(now, key) {
			continue
		}
		if e == nil {
			e = g.collect(now, func(c *crash) []Request { return c.requests })
		}
		s := e.suspects[key]
		if s == nil {
			continue
		}
		for other, o := range e.suspects {
			if g.refuses(now, other) && s.crashes&^o.crashes == 0 && o.crashes&^s.crashes != 0 {
				news.Verdicts = append(news.Verdicts, g.set(now, Verdict{Key: key, Version: v.Version + 1, Reason: ReasonExplained, Remaining: Term}))
				break
			}
		}
	}
}

// culprit returns the suspect to put into quarantine next, or nil: of keys in one request the most
// specific one, otherwise that with the most crashes. While two have equally many, it waits for
// another crash to tell them apart, up to contestedLimit.
func (g *Registry) culprit(now clock.Millis) *suspect {
	e := g.collect(now, func(c *crash) []Request { return g.unexplained(now, c) })
	var found []*suspect
	for _, s := range e.suspects {
		if g.refuses(now, s.key) {
			continue
		}
		least := g.leastLimit(now, s.key)
		if s.crashes.count() < least {
			continue
		}
		e.describe(s)
		if s.crashes.count() >= g.limit(now, s, e, least) {
			found = append(found, s)
		}
	}
	causes := slices.DeleteFunc(slices.Clone(found), func(s *suspect) bool {
		return slices.ContainsFunc(found, func(other *suspect) bool { return other.outdoes(s) })
	})
	if len(causes) == 0 {
		return nil
	}
	slices.SortFunc(causes, func(a, b *suspect) int {
		return cmp.Or(b.compare(a), cmp.Compare(a.key, b.key))
	})
	if len(causes) > 1 && causes[0].compare(causes[1]) == 0 && causes[0].crashes.count() < contestedLimit {
		return nil
	}
	return causes[0]
}

func (s *suspect) compare(other *suspect) int {
	return cmp.Or(cmp.Compare(s.crashes.count(), other.crashes.count()), cmp.Compare(s.contents, other.contents))
}

// outdoes reports whether s is to blame rather than other, a key of the same requests: because it
// is more specific, or because other is a whole request and s, a part, explains several crashes
// beyond those of it.
func (s *suspect) outdoes(other *suspect) bool {
	if other.whole && s.later[other.key] {
		return (s.crashes &^ other.crashes).count() > 1
	}
	return other.later[s.key] && (!s.whole || (other.crashes&^s.crashes).count() <= 1)
}

// collect returns the suspects of the crashes among the requests that use returns.
func (g *Registry) collect(now clock.Millis, use func(*crash) []Request) *evidence {
	e := &evidence{suspects: map[Key]*suspect{}}
	var moment moments
	var momentAt clock.Millis
	for i, c := range g.crashes {
		requests := use(c)
		if c.at < now-evidenceTerm || len(requests) == 0 {
			continue
		}
		if moment == 0 || c.at >= momentAt+momentSpan {
			moment, momentAt = 1<<i, c.at
		}
		for _, r := range requests {
			e.add(g.suspects(c.at, r), c, moment, 1<<i)
		}
	}
	return e
}

// add adds a request in flight at crash c, which is of a moment. For a request that was sent again
// after another crash of that moment, c counts as a moment of its own.
func (e *evidence) add(r Request, c *crash, moment, own moments) {
	e.requests = append(e.requests, r)
	for _, key := range r.keys() {
		s := e.suspects[key]
		if s == nil {
			s = &suspect{key: key}
			e.suspects[key] = s
		}
		if key == r.Content && r.Again && s.last != c && s.crashes&moment != 0 {
			s.crashes |= own
		}
		s.crashes |= moment
		s.whole, s.last = key == r.Content, c
	}
}

// describe sets later and contents of a suspect.
func (e *evidence) describe(s *suspect) {
	s.later = map[Key]bool{}
	contents := map[Key]bool{}
	for _, r := range e.requests {
		keys := r.keys()
		i := slices.Index(keys, s.key)
		if i < 0 {
			continue
		}
		contents[r.Content] = true
		for _, key := range keys[i+1:] {
			s.later[key] = true
		}
	}
	s.contents = len(contents)
}

// unexplained returns the requests that may have caused a crash. If there were some with a key in
// quarantine, these are the only ones, with the keys up to that one: what comes before it may
// still be the reason why these crash backend servers. There are none if an operator has lifted
// the quarantine of a key in flight since.
func (g *Registry) unexplained(now clock.Millis, c *crash) []Request {
	var explained []Request
	for _, r := range c.requests {
		for _, key := range r.keys() {
			if v := g.verdicts[key]; v != nil && v.Reason == ReasonLifted && c.at <= v.at {
				return nil
			}
		}
		refused := func(key Key) bool { return g.refuses(now, key) }
		if i := slices.IndexFunc(r.Parts, refused); i >= 0 {
			explained = append(explained, Request{Parts: r.Parts[:i+1]})
		} else if refused(r.Content) {
			explained = append(explained, r)
		}
	}
	if explained != nil {
		return explained
	}
	return c.requests
}

// leastLimit returns the least number of crashes that may put a key into quarantine.
func (g *Registry) leastLimit(now clock.Millis, key Key) int {
	v := g.verdicts[key]
	switch {
	case v == nil:
	case v.Quarantined && now >= v.until && now < v.until+probation && g.begun[key] < v.until:
		return probationLimit
	case v.Reason == ReasonExplained && now < v.until && g.begun[key] < v.at:
		return explainedLimit
	}
	return crashLimit
}

// limit returns the number of crashes that put s into quarantine. least is its leastLimit.
func (g *Registry) limit(now clock.Millis, s *suspect, e *evidence, least int) int {
	limit := least
	for key := range s.later {
		next := e.suspects[key]
		if next == nil {
			continue
		}
		beyond := (s.crashes &^ next.crashes).count()
		switch {
		case g.refuses(now, key) && (beyond < beyondWhole || !next.whole && beyond < beyondPart):
			return math.MaxInt
		case next.whole && s.contents > contestingContents:
			// It is not that request alone.
		case !g.refuses(now, key) && least == crashLimit && next.crashes.count() > 1 && beyond <= 1:
			limit = contestedLimit
		}
	}
	return limit
}
