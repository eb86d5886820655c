package route

import "math"

// Initial estimates, in ms, that are used before the first measurement.
const (
	initialLoadTime    = 500
	initialServiceTime = 3000
)

// Costs in ms of expected time.
const (
	// spreadCost is multiplied by loadOrder and added where the adapter is absent. The
	// order depends on a hash, so that all entry VMs choose the same few servers for an
	// adapter.
	spreadCost = 2000
	// overflowCost is added for each adapter that waits for a free slot.
	overflowCost = 150
	// copyFactor multiplies the load time if another server has the adapter, since the
	// load uses a slot and capacity of the weight store.
	copyFactor = 4
	// crowdCost is added for each other request in the batch.
	crowdCost = 1
	// fillGain is subtracted for each other request in the batch under an objective of 1.
	fillGain = 12
)

// queued returns the estimated number of requests that run or wait at s.
func (s *Server) queued() float64 {
	return max(0, float64(s.Summary.Running+s.Summary.Waiting+s.SentSince))
}

// cost returns the cost of sending a request for the marked adapter to s; key is the
// adapter's hash. Smaller is better.
func (r *Router) cost(s *Server, key uint64) float64 {
	state := s.stateIn(r.epoch)
	beside := min(s.queued(), float64(s.Summary.BatchMax))
	cost := r.queueWait(s) + beside*(crowdCost*(1-r.Objective)-fillGain*r.Objective)
	switch state {
	case copyResident:
	case copyLoading:
		cost += r.loadTime() / 2
	default:
		cost += r.absentCost(s, key)
	}
	return cost
}

// absentCost returns the cost of loading the marked adapter on s.
func (r *Router) absentCost(s *Server, key uint64) float64 {
	spread := hashFraction(s.hash ^ key)
	cost := r.loadTime() + spreadCost*r.loadOrder(s, spread) + overflowCost*s.overflow()
	if r.marked > 0 {
		cost += r.loadTime() * (copyFactor - 1)
	}
	return cost
}

const (
	// packingFill is the upper end of the load order of servers with a free slot. Under an
	// objective of 1 the first of them by ID is filled first.
	packingFill = 0.3
	// packingSteps is the number of value steps that are distinguished between servers
	// without a free slot.
	packingSteps = 24
	// packingSpread weighs the hash, to break ties between servers without a free slot.
	packingSpread = 0.05
	// homeSpread is added to packingSpread under an objective of 0. An evicted adapter then
	// tends to return to the same server, whose owner has counted its requests.
	homeSpread = 0.3
)

// loadOrder returns the position of s, from 0 up, in the order in which servers are chosen
// for a load: servers with a free slot first, then those whose next victim has the least
// value. Under an objective of 1 the servers are filled one after the other, so that
// popular adapters gather on few of them; under 0 adapters are spread by hash.
func (r *Router) loadOrder(s *Server, spread float64) float64 {
	if s.Summary.Spare == 0 && s.usedSlots() < int(s.Summary.Slots) {
		return packingFill * (r.Objective*s.position + (1-r.Objective)*spread)
	}
	return packingFill + (1-packingFill)*min(1, float64(s.Summary.Spare)/packingSteps) + (packingSpread+homeSpread*(1-r.Objective))*spread
}

// usedSlots returns the number of adapters that s has, loads or waits to load.
func (s *Server) usedSlots() int { return len(s.Summary.Resident) + len(s.Summary.Loading) }

// overflow returns the number of adapters that wait for a slot, including those of
// requests sent after the last summary.
func (s *Server) overflow() float64 {
	return float64(max(0, s.usedSlots()-int(s.Summary.Slots)) + int(s.absentSince))
}

// queueWait returns the expected time in ms until a place in the batch of s is free.
func (r *Router) queueWait(s *Server) float64 {
	batch := float64(max(1, s.Summary.BatchMax))
	over := s.queued() + 1 - batch
	if over <= 0 {
		return 0
	}
	return over * r.serviceTime() / batch
}

// loadTime returns the expected wait in ms for an absent adapter.
func (r *Router) loadTime() float64 {
	if r.loadWait == 0 {
		return initialLoadTime
	}
	return r.loadWait
}

// serviceTime returns the expected time in ms that a request runs.
func (r *Router) serviceTime() float64 {
	if r.service == 0 {
		return initialServiceTime
	}
	return r.service
}

// hashFraction hashes x evenly to a value from 0 to 1.
func hashFraction(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x) / math.MaxUint64
}
