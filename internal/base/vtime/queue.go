// Package vtime orders the events of a simulation in virtual time.
package vtime

import (
	"container/heap"

	"mangostile/internal/base/clock"
)

// Queue holds functions that are due at a time. Those of the same time are due in the order in
// which they were added. The zero value is empty.
type Queue struct {
	now   clock.Millis
	added int64
	heap  events
}

// Now returns the time of the last function that Next returned, or of Start.
func (q *Queue) Now() clock.Millis { return q.now }

// Start sets the time before the first call of Next.
func (q *Queue) Start(now clock.Millis) { q.now = now }

// At adds a function that is due at a time, or now if that has passed.
func (q *Queue) At(at clock.Millis, run func()) {
	q.added++
	heap.Push(&q.heap, event{at: max(at, q.now), added: q.added, run: run})
}

// Next removes the function that is due first, at end at the latest, and advances the time to it.
// It returns nil if there is none.
func (q *Queue) Next(end clock.Millis) func() {
	if len(q.heap) == 0 || q.heap[0].at > end {
		return nil
	}
	next := heap.Pop(&q.heap).(event)
	q.now = next.at
	return next.run
}

type event struct {
	at    clock.Millis
	added int64
	run   func()
}

// events is a heap ordered by time, then by the order of addition.
type events []event

var _ heap.Interface = (*events)(nil)

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].added < e[j].added
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
