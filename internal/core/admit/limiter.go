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
	// burstSeconds is the token bucket's size, in seconds of the rate.
	burstSeconds = 1
	// demandHalfLife is the time after which a request counts half in the demand.
	demandHalfLife = 5 * clock.Second
	// maxAnnounced bounds the number of demands in one heartbeat.
	maxAnnounced = 4
	// forgetAfter is the time without requests after which a key's state is removed.
	forgetAfter = clock.Minute
)

// Limits holds the limits of one adapter's row or of one caller; 0 means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int32
}

// Limiter enforces the limits of adapters and callers at one entry VM. Each entry VM
// enforces its share of a limit, so together they exceed a rate by no more than a burst
// of one second of it, but at least one request each. The zero value is ready to use.
type Limiter struct {
	usages map[Key]*usage
	// lastAnnounced is the last key returned by Demands.
	lastAnnounced Key
}

// usage is the state of the limits of one key.
type usage struct {
	requests bucket
	tokens   bucket
	// demand is the decayed count of requests as of lastRequestAt.
	demand        float64
	lastRequestAt clock.Millis
}

// Verdict is the result of checking one request against the limits.
type Verdict struct {
	// Limit is the name of the exhausted limit, or "" if the request is admitted.
	Limit string
	// Wait is the time in ms until the limit allows a request.
	Wait clock.Millis
}

// Admit checks a request against the entry VM's share of limits, from 0 to 1, and charges
// it and its tokens if it is admitted. Every request counts toward the demand. running is
// the number of requests under key that are already running.
func (l *Limiter) Admit(now clock.Millis, key Key, limits Limits, share float64, tokens units.Tokens, running int) Verdict {
	u := l.usageOf(now, key)
	u.count(now)
	if limits.Concurrency > 0 && running >= max(1, int(math.Ceil(float64(limits.Concurrency)*share))) {
		return Verdict{Limit: "concurrency", Wait: clock.Second}
	}
	requestRate, tokenRate := limits.RequestsPerSecond*share, limits.TokensPerSecond*share
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

func (l *Limiter) usageOf(now clock.Millis, key Key) *usage {
	if l.usages == nil {
		l.usages = map[Key]*usage{}
	}
	u := l.usages[key]
	if u == nil {
		u = &usage{lastRequestAt: now}
		l.usages[key] = u
	}
	return u
}

func (u *usage) decayed(now clock.Millis) float64 {
	return u.demand * math.Exp2(-float64(now-u.lastRequestAt)/float64(demandHalfLife))
}

func (u *usage) count(now clock.Millis) {
	u.demand = u.decayed(now) + 1
	u.lastRequestAt = now
}

// Demands returns the demands for the next heartbeat. It returns at most maxAnnounced
// keys a call and cycles through them, so that the size of a heartbeat is bounded.
func (l *Limiter) Demands(now clock.Millis) []peer.Demand {
	var names []Key
	for name, u := range l.usages {
		if now-u.lastRequestAt >= forgetAfter {
			delete(l.usages, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	first, _ := slices.BinarySearchFunc(names, l.lastAnnounced, func(name, last Key) int {
		return cmp.Or(cmp.Compare(name, last), -1)
	})
	var demands []peer.Demand
	for i := range min(len(names), maxAnnounced) {
		name := names[(first+i)%len(names)]
		l.lastAnnounced = name
		demands = append(demands, peer.Demand{Key: string(name), Rate: float32(l.usages[name].decayed(now))})
	}
	return demands
}

// Key identifies the limits of one adapter or one caller.
type Key string

// AdapterKey returns the key of an adapter's limits.
func AdapterKey(adapter units.AdapterName) Key { return Key("adapter:" + adapter) }

// CallerKey returns the key of a caller's limits over all adapters and services.
func CallerKey(caller units.Caller) Key { return Key("caller:" + caller) }

// bucket is a token bucket that one request may overdraw by its cost. The zero value is
// full.
type bucket struct {
	// used is the number of tokens missing from a full bucket, as of at.
	used float64
	at   clock.Millis
}

// bucketSize returns the size of a bucket for rate, at least 1.
func bucketSize(rate float64) float64 { return max(1, rate*burstSeconds) }

// wait returns the time in ms until the bucket allows a request, or 0 if it allows one
// now. A rate of 0 is no limit.
func (b *bucket) wait(now clock.Millis, rate float64) clock.Millis {
	if rate == 0 {
		return 0
	}
	b.used = max(0, b.used-rate*(now-b.at).Duration().Seconds())
	b.at = now
	missing := b.used + 1 - bucketSize(rate)
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
