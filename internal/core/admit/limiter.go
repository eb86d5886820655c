package admit

import (
	"cmp"
	"math"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"
)

const (
	// burstSeconds is the time whose worth of a limit may be used at once.
	burstSeconds = 1
	// demandHalfLife is the time after which a request counts half in a demand.
	demandHalfLife = 5 * clock.Second
	// maxAnnounced bounds the demands of one heartbeat.
	maxAnnounced = 4
	// forgetAfter is the time after which a key that was not asked for has no
	// limits to keep.
	forgetAfter = clock.Minute
)

// Limits are those of one adapter's row or of one caller; 0 is none.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int32
}

// Limiter keeps the limits of adapters and callers at one entry VM. An entry VM holds to its
// part of each limit, so that all together exceed a rate by no more than a burst
// of one second of it, and at least one request each. The zero value has seen no
// request.
type Limiter struct {
	uses map[Key]*usage
	// announced is the key that was announced last.
	announced Key
}

// usage is the use of the limits of one key.
type usage struct {
	requests bucket
	tokens   bucket
	// demand is the decayed count of requests as of askedAt.
	demand  float64
	askedAt clock.Millis
}

// Verdict is what the limits say to one request.
type Verdict struct {
	// Limit names the limit that is used up, or "".
	Limit string
	// Wait is the time after which the limit allows a request.
	Wait clock.Millis
}

// Admit counts a request with a number of tokens against the limits, of which
// the entry VM has a part, and tells whether it may run. running is the number
// of requests under the key that run already.
func (l *Limiter) Admit(now clock.Millis, key Key, limits Limits, part float64, tokens units.Tokens, running int) Verdict {
	u := l.use(now, key)
	u.count(now)
	if limits.Concurrency > 0 && running >= max(1, int(math.Ceil(float64(limits.Concurrency)*part))) {
		return Verdict{Limit: "concurrency", Wait: clock.Second}
	}
	requestRate, tokenRate := limits.RequestsPerSecond*part, limits.TokensPerSecond*part
	if wait := u.requests.wait(now, requestRate); wait > 0 {
		return Verdict{Limit: "requests_per_second", Wait: wait}
	}
	if wait := u.tokens.wait(now, tokenRate); wait > 0 {
		return Verdict{Limit: "tokens_per_second", Wait: wait}
	}
	u.requests.take(requestRate, 1)
	u.tokens.take(tokenRate, float64(tokens))
	return Verdict{}
}

func (l *Limiter) use(now clock.Millis, key Key) *usage {
	if l.uses == nil {
		l.uses = map[Key]*usage{}
	}
	u := l.uses[key]
	if u == nil {
		u = &usage{askedAt: now}
		l.uses[key] = u
	}
	return u
}

func (u *usage) decayed(now clock.Millis) float64 {
	return u.demand * math.Exp2(-float64(now-u.askedAt)/float64(demandHalfLife))
}

func (u *usage) count(now clock.Millis) {
	u.demand = u.decayed(now) + 1
	u.askedAt = now
}

// Demands returns the demands for the next heartbeat: a few keys in turn, so
// that the size of a heartbeat is bounded.
func (l *Limiter) Demands(now clock.Millis) []peer.Demand {
	var names []Key
	for name, u := range l.uses {
		if now-u.askedAt >= forgetAfter {
			delete(l.uses, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	first, _ := slices.BinarySearchFunc(names, l.announced, func(name, last Key) int {
		return cmp.Or(cmp.Compare(name, last), -1)
	})
	var demands []peer.Demand
	for i := range min(len(names), maxAnnounced) {
		name := names[(first+i)%len(names)]
		l.announced = name
		demands = append(demands, peer.Demand{Key: string(name), Rate: float32(l.uses[name].decayed(now))})
	}
	return demands
}

// Key names the limits of one adapter or one caller.
type Key string

// AdapterKey names the limits of an adapter.
func AdapterKey(adapter units.AdapterName) Key { return Key("adapter:" + adapter) }

// CallerKey names the limits of a caller over all adapters and services.
func CallerKey(caller units.Caller) Key { return Key("caller:" + caller) }

// bucket is a token bucket that may fall below 0 by the cost of one request. The
// zero value is full.
type bucket struct {
	// used is what is missing from a full bucket, as of at.
	used float64
	at   clock.Millis
}

// room is what a bucket with a rate holds, at least one request's.
func room(rate float64) float64 { return max(1, rate*burstSeconds) }

// wait returns the time after which the bucket allows a request; 0 is now. A
// rate of 0 is no limit.
func (b *bucket) wait(now clock.Millis, rate float64) clock.Millis {
	if rate == 0 {
		return 0
	}
	b.used = max(0, b.used-rate*(now-b.at).Duration().Seconds())
	b.at = now
	missing := b.used + 1 - room(rate)
	if missing <= 0 {
		return 0
	}
	return max(1, clock.Millis(math.Ceil(missing/rate*float64(clock.Second))))
}

func (b *bucket) take(rate, cost float64) {
	if rate > 0 {
		b.used += cost
	}
}
