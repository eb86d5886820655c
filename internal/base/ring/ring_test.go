package ring

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mangostile/internal/base/proof"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestRingIsABoundedQueue compares random sequences of Push and TryPop with a slice as the
// model.
func TestRingIsABoundedQueue(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		r := New[int](capacity)
		var model []int
		for i := range rapid.IntRange(0, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				must.Eq(t, len(model) < capacity, r.Push(i))
				if len(model) < capacity {
					model = append(model, i)
				}
				continue
			}
			item, ok := r.TryPop()
			must.Eq(t, len(model) > 0, ok)
			if ok {
				must.Eq(t, model[0], item)
				model = model[1:]
			}
		}
		must.Eq(t, len(model), r.Len())
	})
}

// receiverTimeout bounds the wait for a receiver in a test.
const receiverTimeout = 5 * time.Second

// TestBusyReceiverLeavesItemsToOthers replays one interleaving of two calls of Pop: both
// find the ring empty, then two items are pushed, and the receiver that gets the token stays
// busy with the first item. The other one must get a token for the second item.
func TestBusyReceiverLeavesItemsToOthers(t *testing.T) {
	r := New[int](2)
	for range 2 {
		_, ok, _ := r.take()
		must.False(t, ok)
	}
	must.True(t, r.Push(1))
	must.True(t, r.Push(2))
	for want := 1; want <= 2; want++ {
		select {
		case <-r.signal:
		default:
			t.Fatalf("no token for item %d, %d items are queued", want, r.Len())
		}
		item, ok, _ := r.take()
		must.True(t, ok)
		must.Eq(t, want, item)
	}
}

// TestConcurrentReceiversTakeEveryItemOnce has several senders and receivers share a small
// ring and checks that each item reaches exactly one receiver.
func TestConcurrentReceiversTakeEveryItemOnce(t *testing.T) {
	const senders, receivers, each = 4, 8, 2000
	r := New[int](8)
	counts := make([]atomic.Int32, senders*each)
	var sending, receiving sync.WaitGroup
	for range receivers {
		receiving.Go(func() {
			for {
				item, ok := r.Pop(context.Background())
				if !ok {
					return
				}
				counts[item].Add(1)
			}
		})
	}
	for sender := range senders {
		sending.Go(func() {
			for i := range each {
				for !r.Push(sender*each + i) {
					runtime.Gosched()
				}
			}
		})
	}
	sending.Wait()
	r.Close()
	ended := make(chan struct{})
	go func() {
		receiving.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(receiverTimeout):
		t.Fatalf("receivers do not end after the close, %d items are queued", r.Len())
	}
	for i := range counts {
		must.Eq(t, 1, counts[i].Load(), must.Sprintf("item %d", i))
	}
}

// TestCloseEndsEveryReceiver closes a ring while several receivers are blocked in Pop.
func TestCloseEndsEveryReceiver(t *testing.T) {
	r := New[int](1)
	ended := make(chan bool)
	for range 8 {
		go func() {
			_, ok := r.Pop(context.Background())
			ended <- ok
		}()
	}
	r.Close()
	for range 8 {
		select {
		case ok := <-ended:
			must.False(t, ok)
		case <-time.After(receiverTimeout):
			t.Fatal("a receiver does not notice the close")
		}
	}
}
