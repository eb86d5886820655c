package vtime

import (
	"testing"

	"mangostile/internal/base/clock"

	"github.com/shoenig/test/must"
)

func TestQueue(t *testing.T) {
	var q Queue
	q.Start(100)
	var order []int
	add := func(at clock.Millis, n int) { q.At(at, func() { order = append(order, n) }) }
	add(300, 3)
	add(200, 1)
	add(200, 2)
	add(50, 0)
	for run := q.Next(250); run != nil; run = q.Next(250) {
		run()
	}
	must.Eq(t, []int{0, 1, 2}, order)
	must.Eq(t, 200, q.Now())
	must.NotNil(t, q.Next(300))
	must.Nil(t, q.Next(1000))
	must.Eq(t, 300, q.Now())
}
