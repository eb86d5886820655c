package origin

import (
	"testing"

	"mangostile/internal/base/units"
)

// BenchmarkKeepers measures the choice of the entry VMs that keep one start, among 340.
func BenchmarkKeepers(b *testing.B) {
	perDomain := map[units.FailureDomain]int{}
	for _, name := range []units.FailureDomain{"aa", "ab", "ac", "ad", "ba", "bb", "bc", "bd", "ca", "cb", "cc", "da", "db", "dc"} {
		perDomain[name] = 24
	}
	members := testMembers(perDomain)
	for i := range b.N {
		if len(Keepers(members[0], members, Key(i))) != 3 {
			b.Fatal("not three keepers")
		}
	}
}
