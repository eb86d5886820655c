// Package place implements the placement policy: limits and backoff of adapter loads,
// adapter popularity, and the servers that hold desired copies.
package place

// Policy holds the settings of routing, placement and loads. The zero value optimizes
// load stalls only and does not limit the rate of loads.
type Policy struct {
	// Objective is 0 to keep load stalls short and 1 to keep batches full.
	Objective float64
	// LoadsPerSecond limits the loads from the weight store over all failure domains; 0
	// is no limit.
	LoadsPerSecond float64
	// LoadsInFlight limits the loads in flight over all failure domains; 0 is
	// DefaultLoadsInFlight.
	LoadsInFlight int32
	// Shares is the number of equal shares that the limits are divided into, one for each
	// failure domain; 0 is 1.
	Shares int32
	// LinkBytesPerSecond limits the bytes that one entry VM sends to and accepts from
	// other regions; 0 is the default of the relay package, less than 0 sends
	// nothing to other failure domains.
	LinkBytesPerSecond float64
}

// DefaultLoadsInFlight is the number of concurrent loads that the weight store serves at
// full speed.
const DefaultLoadsInFlight = 8
