package admit

import (
	"fmt"
	"testing"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/proof"
	"mangostile/internal/base/units"
	"mangostile/internal/core/peer"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestOvershootIsBounded admits as many requests as possible on several entry VMs with
// random demands and randomly lost announcements. It checks that entry VMs that have all
// received the same announcements exceed a rate by no more than one second of it and two
// requests each, one more than Limiter documents. If announcements are lost, n entry VMs
// may admit n times that total.
func TestOvershootIsBounded(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "entry_vms")
		rate := float64(rapid.IntRange(1, 50).Draw(t, "rate"))
		lossless := rapid.Bool().Draw(t, "lossless")
		var members []units.EntryVMID
		for i := range n {
			members = append(members, units.EntryVMID(fmt.Sprint("entry-", i)))
		}
		shares, limiters := make([]Shares, n), make([]Limiter, n)
		admitted := 0
		seconds := rapid.IntRange(1, 12).Draw(t, "seconds")
		for second := range seconds {
			now := clock.Millis(second) * clock.Second
			for i := range n {
				share := shares[i].Share("a", members[i], members)
				for k := range rapid.IntRange(0, 120).Draw(t, "asked") {
					verdict := limiters[i].Admit(now+clock.Millis(k*8), "a", Limits{RequestsPerSecond: rate}, share, 1, 0)
					if verdict.Limit == "" {
						admitted++
					} else {
						must.Positive(t, verdict.Wait)
					}
				}
			}
			for i := range n {
				demands := limiters[i].Demands(now)
				for j := range n {
					if lossless || i == j || rapid.Bool().Draw(t, "heard") {
						shares[j].Receive(now, members[i], demands)
					}
				}
			}
		}
		bound := rate*float64(seconds+1) + float64(2*n)
		if !lossless {
			bound *= float64(n)
		}
		must.LessEq(t, bound, float64(admitted))
	})
}

// TestSharesAddUpToOne checks that the shares of a limit add up to 1 if all entry VMs have
// received the same demands, so that they neither exceed the limit nor leave a part of it
// unused, and that no entry VM is left without a share.
func TestSharesAddUpToOne(t *testing.T) {
	proof.Check(t, func(t *rapid.T) {
		var s Shares
		n := rapid.IntRange(1, 24).Draw(t, "entry_vms")
		var members []units.EntryVMID
		for i := range n {
			id := units.EntryVMID(fmt.Sprint("entry-", i))
			members = append(members, id)
			s.Receive(1, id, []peer.Demand{{Key: "k", Rate: float32(rapid.IntRange(0, 9).Draw(t, "rate"))}})
		}
		sum := 0.0
		for _, id := range members {
			share := s.Share("k", id, members)
			must.Greater(t, 0, share)
			must.LessEq(t, 1, s.Available("k", id, members, 4))
			sum += share
		}
		must.InDelta(t, 1, sum, 1e-9)
	})
}

func TestLimiterNamesTheLimit(t *testing.T) {
	for _, tc := range []struct {
		name    string
		limits  Limits
		running int
		want    string
	}{
		{"no limit", Limits{}, 100, ""},
		{"requests", Limits{RequestsPerSecond: 1}, 0, "requests_per_second"},
		{"tokens", Limits{TokensPerSecond: 10}, 0, "tokens_per_second"},
		{"concurrency", Limits{Concurrency: 3}, 3, "concurrency"},
		{"below concurrency", Limits{Concurrency: 3}, 2, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var l Limiter
			l.Admit(1, "a", tc.limits, 1, 50, 0)
			must.Eq(t, tc.want, l.Admit(2, "a", tc.limits, 1, 50, tc.running).Limit)
		})
	}
}
