package blame

import (
	"cmp"
	"math/bits"
	"slices"

	"mangostile/internal/base/clock"
)

// moments is a set of moments at which backend servers crashed, one bit each.
type moments uint64

func (m moments) count() int { return bits.OnesCount64(uint64(m)) }

// suspect is a key with the crashes that count against it.
type suspect struct {
	key Key
	// crashes are the moments at which it was in flight on backend servers that crashed.
	crashes moments
	// position is its highest position among the keys of a request; later keys are more
	// specific. whole is true for the key of a whole request.
	position int
	whole    bool
	// later lists the keys that follow it in requests.
	later map[Key]bool
	// last is the last of its crashes.
	last *crash
}

// judge puts into quarantine the keys that the crashes count against, the most specific first,
// until no crash is left without a cause, and adds the verdicts to news.
func (g *Registry) judge(now clock.Millis, news *News) {
	defer g.acquit(now, news)
	for {
		s := g.guilty(now)
		if s == nil {
			return
		}
		v := Verdict{Key: s.key, Version: 1, Quarantined: true, Remaining: Term, Server: s.last.server}
		if old := g.verdicts[s.key]; old != nil {
			v.Version = old.Version + 1
		}
		news.Verdicts = append(news.Verdicts, g.set(now, v))
	}
}

// acquit ends the quarantine of keys all of whose crashes turn out to be those of another key in
// quarantine, which has more of them: the news of it may have come later.
func (g *Registry) acquit(now clock.Millis, news *News) {
	var suspects map[Key]*suspect
	for key, v := range g.verdicts {
		if !g.refuses(now, key) {
			continue
		}
		if suspects == nil {
			suspects = g.tally(now, func(c *crash) []Request { return c.requests })
		}
		s := suspects[key]
		if s == nil {
			continue
		}
		for other, o := range suspects {
			if g.refuses(now, other) && s.crashes&^o.crashes == 0 && o.crashes&^s.crashes != 0 {
				news.Verdicts = append(news.Verdicts, g.set(now, Verdict{Key: key, Version: v.Version + 1, Remaining: Term}))
				break
			}
		}
	}
}

// guilty returns the most specific suspect with as many crashes as put it into quarantine, or
// nil.
func (g *Registry) guilty(now clock.Millis) *suspect {
	suspects := g.tally(now, func(c *crash) []Request { return g.unexplained(now, c) })
	var found []*suspect
	for _, s := range suspects {
		if !g.refuses(now, s.key) && s.crashes.count() >= g.limit(now, s, suspects) {
			found = append(found, s)
		}
	}
	var causes []*suspect
	for _, s := range found {
		if !s.whole || !slices.ContainsFunc(found, s.outdone) {
			causes = append(causes, s)
		}
	}
	if len(causes) == 0 {
		return nil
	}
	return slices.MaxFunc(causes, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.crashes.count(), b.crashes.count()), cmp.Compare(b.key, a.key))
	})
}

// outdone reports whether part, a suspect too, explains several crashes beyond those of s, the
// key of a whole request that has the part.
func (s *suspect) outdone(part *suspect) bool {
	return part.later[s.key] && (part.crashes&^s.crashes).count() > 1
}

// tally collects the suspects of the crashes among the requests that use returns.
func (g *Registry) tally(now clock.Millis, use func(*crash) []Request) map[Key]*suspect {
	suspects := map[Key]*suspect{}
	moment, momentAt := -1, clock.Millis(0)
	for _, c := range g.sortedCrashes() {
		requests := use(c)
		if c.at < now-evidenceTerm || len(requests) == 0 {
			continue
		}
		if moment < 0 || c.at >= momentAt+momentSpan {
			moment, momentAt = moment+1, c.at
		}
		for _, r := range requests {
			g.tallyRequest(suspects, c, g.suspects(c, r), 1<<moment)
		}
	}
	return suspects
}

func (g *Registry) tallyRequest(suspects map[Key]*suspect, c *crash, r Request, moment moments) {
	keys := r.keys()
	for i, key := range keys {
		s := suspects[key]
		if s == nil {
			s = &suspect{key: key, later: map[Key]bool{}}
			suspects[key] = s
		}
		s.crashes |= moment
		s.position, s.whole, s.last = max(s.position, i), key == r.Content, c
		for _, next := range keys[i+1:] {
			s.later[next] = true
		}
	}
}

// unexplained returns the requests that may have caused a crash. There are none if a part in
// quarantine was in flight. If it was a whole request in quarantine, one of its parts may still
// be the reason why that crashes backend servers.
func (g *Registry) unexplained(now clock.Millis, c *crash) []Request {
	var whole []Request
	for _, r := range c.requests {
		if _, ok := g.Quarantined(now, Request{Parts: r.Parts}); ok {
			return nil
		}
		if g.refuses(now, r.Content) {
			whole = append(whole, r)
		}
	}
	if whole != nil {
		return whole
	}
	return c.requests
}

// limit returns the number of crashes that put s into quarantine.
func (g *Registry) limit(now clock.Millis, s *suspect, suspects map[Key]*suspect) int {
	if v := g.verdicts[s.key]; v != nil && v.Quarantined && now >= v.until && now < v.until+probation {
		return probationLimit
	}
	for key := range s.later {
		next := suspects[key]
		if next != nil && next.crashes.count() > 1 && (s.crashes&^next.crashes).count() <= 1 {
			return contestedLimit
		}
	}
	return crashLimit
}
