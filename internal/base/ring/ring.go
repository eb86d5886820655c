// Package ring provides bounded first-in-first-out queues that join duties.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded queue with many senders and one receiver. The zero value
// has room for DefaultCapacity items.
type Ring[T any] struct {
	mu sync.Mutex
	// items holds count values from index head on, wrapping round.
	items  []T
	head   int
	count  int
	closed bool
	// signal has room for one token; it is present whenever the receiver may
	// have something to do.
	signal chan struct{}
}

// DefaultCapacity is the room of a zero Ring, in items.
const DefaultCapacity = 4096

// New returns a ring with room for capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make([]T, capacity)}
}

func (r *Ring[T]) init() {
	if r.items == nil {
		r.items = make([]T, DefaultCapacity)
	}
	if r.signal == nil {
		r.signal = make(chan struct{}, 1)
	}
}

// Push adds item and reports whether there was room. It never blocks; a full
// or closed ring leaves the item to the sender.
func (r *Ring[T]) Push(item T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.closed || r.count == len(r.items) {
		return false
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	r.wake()
	return true
}

// Pop takes the oldest item. It waits until there is one, and reports false
// once ctx is done or the ring is closed and empty.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	for {
		item, ok, open := r.take()
		if ok || !open {
			return item, ok
		}
		select {
		case <-r.signal:
		case <-ctx.Done():
			var zero T
			return zero, false
		}
	}
}

// TryPop takes the oldest item if there is one.
func (r *Ring[T]) TryPop() (T, bool) {
	item, ok, _ := r.take()
	return item, ok
}

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close refuses further items. Those in the ring can still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.closed = true
	r.wake()
}

func (r *Ring[T]) take() (item T, ok, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.count == 0 {
		return item, false, !r.closed
	}
	item = r.items[r.head]
	var zero T
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return item, true, true
}

// wake leaves a token for the receiver. The caller holds mu.
func (r *Ring[T]) wake() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
}
