package ring

import (
	"testing"

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
