// Package proof runs property tests reproducibly, with a fixed seed.
package proof

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// Seed is the seed of all property tests unless the flag -rapid.seed is set.
const Seed = "20261204"

// fixSeed sets the library's flags once, except those that the command line sets: the fixed
// seed, and no files for failed cases.
var fixSeed = sync.OnceFunc(func() {
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": Seed, "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic("proof: the property test library has no flag " + name + ": " + err.Error())
		}
	}
})

// Check checks a property with a fixed seed. The library's flag -rapid.checks sets the
// number of cases.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	fixSeed()
	rapid.Check(t, property)
}
