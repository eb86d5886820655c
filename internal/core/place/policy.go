// Package place decides which adapters are loaded where.
package place

// Policy is what the settings say about routing, placement and loads. The zero
// value weighs load stalls only and has no bound on the rate of loads.
type Policy struct {
	// Objective is 0 to keep load stalls short and 1 to keep batches full.
	Objective float64
	// LoadsPerSecond is what the weight store allows in all; 0 is no bound.
	LoadsPerSecond float64
	// LoadsInFlight bounds the loads on their way in all; 0 is
	// DefaultLoadsInFlight.
	LoadsInFlight int32
	// Shares is the number of equal shares that the bounds are cut into, one for
	// each failure domain; 0 is 1.
	Shares int32
	// LinkBytesPerSecond bounds what one entry VM sends to and takes from other
	// regions; 0 is the default of the relay package, less than 0 sends nothing
	// to other failure domains.
	LinkBytesPerSecond float64
}

// DefaultLoadsInFlight is the number of loads that the weight store serves at
// full speed.
const DefaultLoadsInFlight = 8
