package quota

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"mangostile/internal/base/units"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestOneOwnerLeavesRoomForOthers guards against an owner that takes all memory, whatever the number of
// its holders, and against large holders that leave no room for small ones.
func TestOneOwnerLeavesRoomForOthers(t *testing.T) {
	const limit = 64 << 20
	for _, tc := range []struct {
		name    string
		owners  int
		holders int
		size    units.Bytes
		// most bounds what the owners hold together.
		most units.Bytes
	}{
		{"one owner, large holders", 1, 500, 8 << 20, limit / 2},
		{"one owner, small holders", 1, 100_000, 4 << 10, limit / 2},
		{"three owners", 3, 500, 1 << 20, limit * 3 / 4},
		{"as many owners as holders", 200, 1, 8 << 20, limit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := &Pool{Limit: limit}
			for i := range tc.holders {
				for o := range tc.owners {
					_ = p.Hold(Owner(fmt.Sprint("s", o))).Resize(tc.size + units.Bytes(i%2))
				}
			}
			must.Positive(t, p.Refused())
			must.LessEq(t, tc.most, p.Used())
			must.NoError(t, p.Hold("sound").Resize(64<<10))
			if tc.size > 64<<10 {
				must.NoError(t, p.Hold("s0").Resize(16<<10))
			}
		})
	}
}

// TestPoolCountsWhatIsHeld draws changes of holders: the pool holds their sum, never more than its
// limit, and nothing once all are released.
func TestPoolCountsWhatIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Pool{Limit: 1000}
		holds := make([]*Hold, 6)
		for i := range holds {
			holds[i] = p.Hold(Owner(fmt.Sprint("s", i%3)))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := holds[rapid.IntRange(0, len(holds)-1).Draw(t, "holder")]
			before := h.size
			if err := h.Resize(units.Bytes(rapid.IntRange(0, 800).Draw(t, "size"))); err != nil {
				must.Eq(t, before, h.size)
			}
			var sum units.Bytes
			for _, h := range holds {
				sum += h.size
			}
			must.Eq(t, sum, p.Used())
			must.LessEq(t, p.Limit, sum)
		}
		for _, h := range holds {
			h.Release()
			h.Release()
		}
		must.Zero(t, p.Used())
		must.MapEmpty(t, p.byOwner)
	})
}

// TestReadAll checks what is read and held for lengths that are stated rightly, wrongly or not.
func TestReadAll(t *testing.T) {
	const limit, poolLimit = 8 << 20, 64 << 20
	broken := errors.New("broken")
	for _, tc := range []struct {
		name           string
		length, stated units.Bytes
		pool           *Pool
		err            error
		want           error
		// most bounds what is held at the end.
		most units.Bytes
	}{
		{"empty", 0, 0, &Pool{}, nil, nil, 1},
		{"stated", 3 << 20, 3 << 20, &Pool{Limit: poolLimit}, nil, nil, 3<<20 + 1},
		{"not stated", 3 << 20, -1, &Pool{Limit: poolLimit}, nil, nil, 6 << 20},
		{"less than stated", 100, 8 << 20, &Pool{Limit: poolLimit}, nil, nil, 64 << 10},
		{"more than stated", 5000, 100, &Pool{Limit: poolLimit}, nil, nil, 16 << 10},
		{"the limit", limit, limit, &Pool{Limit: poolLimit}, nil, nil, limit + 1},
		{"too long", limit + 1, -1, &Pool{Limit: poolLimit}, nil, ErrTooLong, limit + 1},
		{"too long as stated", limit + 1, limit + 1, &Pool{Limit: poolLimit}, nil, ErrTooLong, limit + 1},
		{"broken", 5000, -1, &Pool{Limit: poolLimit}, broken, broken, 16 << 10},
		{"no memory left", 3 << 20, -1, &Pool{Limit: 1 << 20}, nil, &FullError{}, 1 << 20},
		{"no bound", 3 << 20, -1, &Pool{}, nil, nil, 6 << 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			content := bytes.Repeat([]byte("x"), int(tc.length))
			var r io.Reader = bytes.NewReader(content)
			if tc.err != nil {
				r = io.MultiReader(r, iotest.ErrReader(tc.err))
			}
			h := tc.pool.Hold("s")
			got, err := h.ReadAll(r, tc.stated, limit)
			var full *FullError
			if errors.As(tc.want, &full) {
				must.True(t, errors.As(err, &full))
			} else {
				must.Eq(t, tc.want, err)
			}
			if err == nil {
				must.Eq(t, len(content), len(got))
				must.GreaterEq(t, units.Bytes(len(got)), h.size)
			}
			must.LessEq(t, tc.most, h.size)
			h.Release()
			must.Zero(t, tc.pool.Used())
		})
	}
	got, err := (*Hold)(nil).ReadAll(strings.NewReader("abc"), -1, 10)
	must.NoError(t, err)
	must.Eq(t, "abc", string(got))
}
