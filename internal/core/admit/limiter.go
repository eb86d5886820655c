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
	// idleTTL is how long a key's state is kept without requests.
	idleTTL = clock.Minute
)

// Limits holds the limits of one adapter's row or of one caller; 0 means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrency       int32
}

// Limiter enforces the limits of adapters and callers at one entry VM. Each entry VM
// enforces its share of a limit. Together they exceed a rate by no more than one second of
// it and one request each; a token rate also by the tokens of the last request that each
// admitted. The zero value is ready to use.
type Limiter struct {
	states map[Key]*keyState
	// lastAnnounced is the last key returned by Demands.
	lastAnnounced Key
}

// keyState holds the buckets and the demand of one key.
type keyState struct {
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
	u := l.stateOf(now, key)
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

func (l *Limiter) stateOf(now clock.Millis, key Key) *keyState {
	if l.states == nil {
		l.states = map[Key]*keyState{}
	}
	u := l.states[key]
	if u == nil {
		u = &keyState{lastRequestAt: now}
		l.states[key] = u
	}
	return u
}

func (u *keyState) decayed(now clock.Millis) float64 {
	return u.demand * math.Exp2(-float64(now-u.lastRequestAt)/float64(demandHalfLife))
}

func (u *keyState) count(now clock.Millis) {
	u.demand = u.decayed(now) + 1
	u.lastRequestAt = now
}

// Demands returns the demands for the next heartbeat. It returns at most maxAnnounced
// keys a call and cycles through them, so that the size of a heartbeat is bounded.
func (l *Limiter) Demands(now clock.Millis) []peer.Demand {
	var keys []Key
	for key, u := range l.states {
		if now-u.lastRequestAt >= idleTTL {
			delete(l.states, key)
			continue
		}
		keys = append(keys, key)
	}
	slices.Sort(keys)
	first, _ := slices.BinarySearchFunc(keys, l.lastAnnounced, func(key, last Key) int {
		return cmp.Or(cmp.Compare(key, last), -1)
	})
	var demands []peer.Demand
	for i := range min(len(keys), maxAnnounced) {
		key := keys[(first+i)%len(keys)]
		l.lastAnnounced = key
		demands = append(demands, peer.Demand{Key: string(key), Rate: float32(l.states[key].decayed(now))})
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
