package place

import (
	"slices"

	"mangostile/internal/base/units"

	"github.com/cespare/xxhash/v2"
)

// DesiredCopy is a copy that should be loaded before a request needs it.
type DesiredCopy struct {
	Server  units.BackendServerID
	Adapter units.AdapterVersion
	// Pinned protects the copy from eviction, for the minimum number of copies.
	Pinned bool
}

// Candidate is a backend server that may hold desired copies. Hash is the hash of its ID.
type Candidate struct {
	Server units.BackendServerID
	Hash   uint64
}

// SelectServers appends to selected the n servers of all that should hold the copies of an
// adapter, or all of them if there are fewer. It uses rendezvous hashing, so that few
// copies move when a server is added or removed.
func SelectServers(selected []Candidate, av units.AdapterVersion, n int, all []Candidate) []Candidate {
	// The version is part of the key, so that the servers of each version are chosen
	// independently. The shift keeps equal adapter and version names from canceling out.
	key := xxhash.Sum64String(string(av.Adapter)) ^ xxhash.Sum64String(string(av.Version))<<1
	first := len(selected)
	for _, candidate := range all {
		at := len(selected)
		for at > first && mix(selected[at-1].Hash^key) < mix(candidate.Hash^key) {
			at--
		}
		if at-first >= n {
			continue
		}
		selected = slices.Insert(selected, at, candidate)
		selected = selected[:min(len(selected), first+n)]
	}
	return selected
}

// mix hashes x evenly over all values.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
