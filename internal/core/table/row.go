// Package table folds the config stream into the operators' table, which has one row for
// each adapter. Entry VMs that have folded the same records hold the same table.
package table

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Row holds the operators' settings for one adapter.
type Row struct {
	Adapter units.AdapterName `msgpack:"a"`
	Base    units.ModelName   `msgpack:"b"`
	// Versions is sorted by version. The sum of the weights is greater than 0 if
	// the row is enabled.
	Versions []VersionWeight `msgpack:"v"`
	// Callers is sorted. If it contains AnyCaller, every caller is allowed.
	Callers  []units.Caller `msgpack:"c"`
	Priority units.Priority `msgpack:"p"`
	// Weight is the share under contention, 1 to MaxWeight.
	Weight int32 `msgpack:"w"`
	// RequestsPerSecond, TokensPerSecond and Concurrency are limits; 0 is no limit.
	RequestsPerSecond float64 `msgpack:"q"`
	TokensPerSecond   float64 `msgpack:"t"`
	Concurrency       int32   `msgpack:"n"`
	// Deadline is the default time for a whole answer, in ms.
	Deadline clock.Millis `msgpack:"d"`
	// MinCopies is the number of engines in each failure domain that always have the
	// adapter loaded.
	MinCopies int32 `msgpack:"m"`
	Enabled   bool  `msgpack:"e"`
	// Changed holds, for each column, the offset after the record that last
	// changed it.
	Changed [columnCount]units.Offset `msgpack:"o"`
}

// VersionWeight is a version with its share of the requests that name no version.
type VersionWeight struct {
	Version units.Version `msgpack:"v"`
	Weight  int32         `msgpack:"w"`
}

// AnyCaller in a row's callers allows every caller.
const AnyCaller units.Caller = "*"

// DefaultDeadline is the deadline, in ms, of a row that sets none.
const DefaultDeadline = 30 * clock.Second

// MaxWeight is the greatest weight of a row or version.
const MaxWeight = 1000

func newRow(adapter units.AdapterName) *Row {
	return &Row{Adapter: adapter, Weight: 1, Deadline: DefaultDeadline, Enabled: true}
}

// Allows reports whether caller may reach the adapter.
func (r *Row) Allows(caller units.Caller) bool {
	for _, allowed := range r.Callers {
		if allowed == caller || allowed == AnyCaller {
			return true
		}
	}
	return false
}

// HasVersion reports whether the row lists version, with any weight.
func (r *Row) HasVersion(version units.Version) bool {
	for _, v := range r.Versions {
		if v.Version == version {
			return true
		}
	}
	return false
}

// PickVersion chooses a version by weight. Equal draws give equal versions. It reports
// false if no version has a weight above 0.
func (r *Row) PickVersion(draw uint64) (units.Version, bool) {
	var sum uint64
	for _, v := range r.Versions {
		sum += uint64(v.Weight)
	}
	if sum == 0 {
		return "", false
	}
	draw %= sum
	for _, v := range r.Versions {
		if draw < uint64(v.Weight) {
			return v.Version, true
		}
		draw -= uint64(v.Weight)
	}
	return "", false
}

// clone returns a shallow copy. This suffices because columnSpec.set replaces slices and
// never changes their elements.
func (r *Row) clone() *Row {
	row := *r
	return &row
}
