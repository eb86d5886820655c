// Package ring provides bounded FIFO queues that connect goroutines.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded FIFO queue for any number of concurrent senders and receivers. The zero
// value has a capacity of DefaultCapacity items.
type Ring[T any] struct {
	mu sync.Mutex
	// items is a circular buffer that holds count values from index head on.
	items  []T
	head   int
	count  int
	closed bool
	// signal has a capacity of one token. While the ring is not empty or is closed, the
	// token is present or a receiver that took it is about to call take.
	signal chan struct{}
}

// DefaultCapacity is the capacity of a zero Ring, in items.
const DefaultCapacity = 4096

// New returns an empty ring with a capacity of capacity items.
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

// Push adds item. It never blocks, and reports false without adding the item if the ring
// is full or closed.
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

// Pop removes and returns the oldest item. It blocks until there is one, and reports false
// if ctx is done or the ring is closed and empty. Items present are returned even after
// ctx is done.
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

// TryPop removes and returns the oldest item. It never blocks, and reports false if the ring
// is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	item, ok, _ := r.take()
	return item, ok
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Close makes Push fail. Items already queued can still be popped.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.closed = true
	r.wake()
}

// take removes and returns the oldest item, if any. If there is none, open reports that the
// ring is not closed. It puts the token back if that leaves something for another receiver:
// one token may stand for several pushes.
func (r *Ring[T]) take() (item T, ok, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.count == 0 {
		if r.closed {
			r.wake()
		}
		return item, false, !r.closed
	}
	item = r.items[r.head]
	var zero T
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	if r.count > 0 || r.closed {
		r.wake()
	}
	return item, true, true
}

// wake puts the token into signal. The caller holds mu.
func (r *Ring[T]) wake() {
	select {
	case r.signal <- struct{}{}:
	default:
	}
}
