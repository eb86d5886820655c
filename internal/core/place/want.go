package place

import (
	"slices"

	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// Want is a copy that is to be there before a request asks for it.
type Want struct {
	Server  units.BackendServerID
	Adapter units.AdapterVersion
	// Pinned keeps the copy from eviction, for the minimum of copies.
	Pinned bool
}

// Keeper is a backend server that may keep copies. Hash is that of its id.
type Keeper struct {
	Server units.BackendServerID
	Hash   uint64
}

// Keepers appends to kept the n servers of all that keep the copies of an
// adapter, by rendezvous hash, so that few copies move when a server comes or
// goes.
func Keepers(kept []Keeper, av units.AdapterVersion, n int, all []Keeper) []Keeper {
	key := xxhash.Sum64String(string(av.Adapter)) ^ xxhash.Sum64String(string(av.Version))<<1
	first := len(kept)
	for _, keeper := range all {
		at := len(kept)
		for at > first && mix(kept[at-1].Hash^key) < mix(keeper.Hash^key) {
			at--
		}
		if at-first >= n {
			continue
		}
		kept = slices.Insert(kept, at, keeper)
		kept = kept[:min(len(kept), first+n)]
	}
	return kept
}

// mix spreads x over all values.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
