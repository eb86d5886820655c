package route

import "math"

// Times that are taken until the real ones are learned, in milliseconds.
const (
	firstLoadWait = 500
	firstService  = 3000
)

// Costs in milliseconds of waiting that a choice may save.
const (
	// spreadCost is added to absent copies by hash, so that all entry VMs choose
	// the same few servers for an adapter.
	spreadCost = 2000
	// overflowCost is added for each adapter that waits for a slot.
	overflowCost = 150
	// copyCost multiplies the load wait where another server has the adapter,
	// since the load takes a slot and a turn of the weight store.
	copyCost = 4
	// crowdCost is the cost of each request that runs beside.
	crowdCost = 1
	// fillGain is the gain of each request that runs beside under an objective
	// of 1.
	fillGain = 12
)

// queued returns the requests that run or wait at s, as far as is known.
func (s *Server) queued() float64 {
	return max(0, float64(s.Summary.Running+s.Summary.Waiting+s.SentSince))
}

// cost of sending a request on the marked adapter to s; key is the adapter's
// hash. Smaller is better.
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

func (r *Router) absentCost(s *Server, key uint64) float64 {
	spread := hashShare(s.hash ^ key)
	cost := r.loadTime() + spreadCost*r.placing(s, spread) + overflowCost*s.overflow()
	if r.marked > 0 {
		cost += r.loadTime() * (copyCost - 1)
	}
	return cost
}

const (
	// packingFill is the part of the packing order that servers with a free slot
	// have; the first of them is filled first.
	packingFill = 0.3
	// packingSteps is the number of steps of worth over which servers without a
	// free slot are told apart.
	packingSteps = 24
	// packingSpread breaks ties by hash.
	packingSpread = 0.05
	// homeSpread is added to it under an objective of 0: an adapter that comes
	// back to the server that it was evicted from finds an owner that has counted
	// its requests.
	homeSpread = 0.3
)

// placing is smaller for a server that an adapter is to be loaded on: one with a
// free slot, and then the one whose next victim is missed the least. Under an
// objective of 1 the servers are filled one after the other, so that adapters
// that are asked for often gather on few of them; under 0 they are spread by
// hash.
func (r *Router) placing(s *Server, spread float64) float64 {
	if s.Summary.Spare == 0 && s.taken() < int(s.Summary.Slots) {
		return packingFill * (r.Objective*s.place + (1-r.Objective)*spread)
	}
	return packingFill + (1-packingFill)*min(1, float64(s.Summary.Spare)/packingSteps) + (packingSpread+homeSpread*(1-r.Objective))*spread
}

func (s *Server) taken() int { return len(s.Summary.Resident) + len(s.Summary.Loading) }

// overflow counts the adapters that wait for a slot, and those sent for since.
func (s *Server) overflow() float64 {
	return float64(max(0, s.taken()-int(s.Summary.Slots)) + int(s.absentSince))
}

// queueWait is the time until a place in the batch of s is free.
func (r *Router) queueWait(s *Server) float64 {
	batch := float64(max(1, s.Summary.BatchMax))
	over := s.queued() + 1 - batch
	if over <= 0 {
		return 0
	}
	return over * r.serviceTime() / batch
}

func (r *Router) loadTime() float64 {
	if r.loadWait == 0 {
		return firstLoadWait
	}
	return r.loadWait
}

func (r *Router) serviceTime() float64 {
	if r.service == 0 {
		return firstService
	}
	return r.service
}

// hashShare spreads x evenly over 0 to 1.
func hashShare(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x) / math.MaxUint64
}
