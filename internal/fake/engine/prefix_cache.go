package engine

import (
	"container/list"
	"strings"
	"time"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// CacheBlockTokens is the length of one block of the prefix cache, in tokens.
const CacheBlockTokens = 16

const (
	defaultCacheBlocks = 4096
	maxCacheEvents     = 4096
)

// CacheEvent describes one change of the prefix cache. Events become visible late, and
// some are lost, which leaves gaps in the numbers.
type CacheEvent struct {
	Number int64 `json:"number"`
	// Stored is false for an eviction.
	Stored bool `json:"stored"`
	// Block identifies an adapter version and all words up to the end of the block.
	Block units.Fingerprint `json:"block"`
	at    time.Time
}

// prefixCache is an LRU cache of prompt blocks. The zero value is empty.
type prefixCache struct {
	// capacity is in blocks; 0 is defaultCacheBlocks.
	capacity int
	// lag is the age at which an event becomes visible.
	lag clock.Millis
	// lossInterval n loses each event whose number is a multiple of n; 0 loses none.
	lossInterval int64
	blocks       map[units.Fingerprint]*list.Element
	// order holds the blocks, the most recently used first.
	order  list.List
	events []CacheEvent
	// number is the number of the latest event, lost or not.
	number int64
}

// lookup stores a prompt and returns the number of leading words that were cached.
func (c *prefixCache) lookup(av units.AdapterVersion, words []string) (cached int) {
	if c.blocks == nil {
		c.blocks = map[units.Fingerprint]*list.Element{}
	}
	hit := true
	digest := xxhash.New()
	_, _ = digest.WriteString(av.String())
	for end := CacheBlockTokens; end <= len(words); end += CacheBlockTokens {
		_, _ = digest.WriteString("\x00" + strings.Join(words[end-CacheBlockTokens:end], "\x00"))
		block := units.Fingerprint(digest.Sum64())
		element := c.blocks[block]
		if hit = hit && element != nil; hit {
			cached = end
		}
		c.touch(block, element)
	}
	return cached
}

func (c *prefixCache) touch(block units.Fingerprint, element *list.Element) {
	if element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[block] = c.order.PushFront(block)
	c.record(block, true)
	capacity := c.capacity
	if capacity == 0 {
		capacity = defaultCacheBlocks
	}
	for len(c.blocks) > capacity {
		oldest := c.order.Remove(c.order.Back()).(units.Fingerprint)
		delete(c.blocks, oldest)
		c.record(oldest, false)
	}
}

// record numbers the storing or eviction of a block and adds it to events. A lost one uses up
// its number but isn't added, so that the numbers have a gap. Only the newest maxCacheEvents
// events are kept.
func (c *prefixCache) record(block units.Fingerprint, stored bool) {
	c.number++
	if c.lossInterval > 0 && c.number%c.lossInterval == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Number: c.number, Stored: stored, Block: block, at: time.Now()})
	c.events = c.events[max(0, len(c.events)-maxCacheEvents):]
}

// since returns the events after number that are visible at now.
func (c *prefixCache) since(number int64, now time.Time) []CacheEvent {
	visible := []CacheEvent{}
	for _, ev := range c.events {
		if ev.Number > number && !ev.at.After(now.Add(-c.lag.Duration())) {
			visible = append(visible, ev)
		}
	}
	return visible
}

// CacheEvents returns the visible events whose numbers are greater than after.
func (e *Engine) CacheEvents(after int64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.since(after, time.Now())
}
