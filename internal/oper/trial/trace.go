// Package trial compares policies for routing, placement and loads: it runs the core in
// virtual time against simulated engines and one simulated weight store, with the same
// seeded trace of requests for each policy.
package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// Scenario holds the sizes, load and faults of one trial. Equal scenarios give equal
// traces.
type Scenario struct {
	Name     string       `json:"name"`
	Seed     uint64       `json:"seed"`
	Duration clock.Millis `json:"duration_ms"`
	// Entries is the number of entry VMs in front of the replicas.
	Entries  int `json:"entry_vms"`
	Replicas int `json:"replicas"`
	Adapters int `json:"adapters"`
	// Slots and BatchMax are the adapter slots and the batch size limit of each replica.
	Slots    int `json:"slots"`
	BatchMax int `json:"batch_max"`
	// Rate is the mean number of requests per second; Zipf is the exponent of the Zipf
	// distribution of adapter popularity.
	Rate float64 `json:"requests_per_second"`
	Zipf float64 `json:"zipf"`
	// Shifts is the number of times that a fifth of the popular adapters swap ranks with
	// random ones.
	Shifts int `json:"shifts"`
	// Restarts is the number of cold engine restarts.
	Restarts int `json:"restarts"`
	// LoadsPerSecond and LoadsInFlight bound the weight store at full speed.
	LoadsPerSecond float64 `json:"loads_per_second"`
	LoadsInFlight  int     `json:"loads_in_flight"`
	// FailingLoads is the share of loads that fail.
	FailingLoads float64 `json:"failing_loads"`
	// SlowStore is how long, from the middle of the trial, the store runs at a quarter of
	// its speed.
	SlowStore clock.Millis `json:"slow_store_ms"`
	// Deadline is the time limit for a complete answer.
	Deadline clock.Millis `json:"deadline_ms"`
	// MeanTokens is the mean length of an answer in tokens.
	MeanTokens float64 `json:"mean_tokens"`
}

// Guild returns a scenario of the Guild's current size.
func Guild(seed uint64) Scenario {
	return Scenario{
		Name: "guild", Seed: seed, Duration: 10 * clock.Minute, Entries: 7, Replicas: 18, Adapters: 3000,
		Slots: 16, BatchMax: 16, Rate: 14, Zipf: 1.1, Shifts: 2, Restarts: 3, LoadsPerSecond: 4, LoadsInFlight: 8,
		FailingLoads: 0.02, SlowStore: 10 * clock.Second, Deadline: 30 * clock.Second, MeanTokens: 100,
	}
}

// Kanoride returns a scenario of Kanoride's current size.
func Kanoride(seed uint64) Scenario {
	s := Guild(seed)
	s.Name = "kanoride"
	s.Replicas = 9
	s.Rate = 5
	s.LoadsPerSecond = 2
	s.Deadline = 20 * clock.Second
	return s
}

// Overload returns a scenario with Kanoride's replicas, few enough adapters to keep all
// loaded, a fast store and factor times the request rate that the engines can serve.
func Overload(seed uint64, factor float64) Scenario {
	s := Kanoride(seed)
	s.Name = "overload"
	s.Duration = 3 * clock.Minute
	s.Adapters = 100
	s.Zipf = 0.8
	s.Restarts = 0
	s.LoadsPerSecond = 20
	s.Rate = factor * s.capacity() / s.MeanTokens
	return s
}

// capacity returns the tokens per second that all engines generate with full batches.
func (s Scenario) capacity() float64 {
	step := stepTime + stepPerRequest*clock.Millis(s.BatchMax-1)
	return float64(s.Replicas*s.BatchMax) / step.Duration().Seconds()
}

// call is one request of a trace and its outcome.
type call struct {
	id      units.RequestID
	adapter units.AdapterVersion
	// at and deadline are times in ms from the start of the trace. A simulation adds
	// warmUp to both.
	at       clock.Millis
	deadline clock.Millis
	tokens   int
	priority units.Priority

	// engine is the engine that runs the call, or nil.
	engine  *engine
	started bool
	// remaining is the number of tokens that are still to be generated.
	remaining int
	ended     bool
	served    bool
	endedAt   clock.Millis
	// stall is the time from the arrival until the adapter was loaded, or until the end of
	// a call that never started.
	stall clock.Millis
}

// trace holds the requests in order of arrival, and the engine restarts.
type trace struct {
	calls    []call
	adapters []units.AdapterVersion
	restarts []restart
}

type restart struct {
	at     clock.Millis
	engine int
}

// shiftedShare is the share of the popular adapters that a shift replaces.
const shiftedShare = 0.2

// popularShare is the share of the adapters that counts as popular in a shift.
const popularShare = 0.05

// newTrace returns the trace of s.
func newTrace(s Scenario) *trace {
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	t := &trace{adapters: make([]units.AdapterVersion, s.Adapters)}
	for i := range t.adapters {
		t.adapters[i] = units.AdapterVersion{Adapter: units.AdapterName(fmt.Sprintf("adapter-%04d", i)), Version: "v1"}
	}
	order := rng.Perm(s.Adapters)
	sums := zipfSums(s.Adapters, s.Zipf)
	shift := 1
	at := 0.0
	for {
		at += rng.ExpFloat64() / s.Rate * float64(clock.Second)
		now := clock.Millis(at) + 1
		if now >= s.Duration {
			break
		}
		if shift <= s.Shifts && now >= s.Duration*clock.Millis(shift)/clock.Millis(s.Shifts+1) {
			shiftPopularity(rng, order)
			shift++
		}
		rank := sort.SearchFloat64s(sums, rng.Float64()*sums[len(sums)-1])
		t.calls = append(t.calls, call{
			id: units.RequestID(fmt.Sprintf("r%06d", len(t.calls))), adapter: t.adapters[order[min(rank, s.Adapters-1)]],
			at: now, deadline: now + s.Deadline, tokens: 10 + int(rng.ExpFloat64()*(s.MeanTokens-10)), priority: drawPriority(rng),
		})
	}
	for range s.Restarts {
		t.restarts = append(t.restarts, restart{at: clock.Millis(rng.Int64N(int64(s.Duration))), engine: rng.IntN(s.Replicas)})
	}
	return t
}

// zipfSums returns the cumulative weights of ranks 1 to n.
func zipfSums(n int, exponent float64) []float64 {
	sums := make([]float64, n)
	sum := 0.0
	for i := range sums {
		sum += 1 / math.Pow(float64(i+1), exponent)
		sums[i] = sum
	}
	return sums
}

// shiftPopularity swaps some popular ranks with random ones.
func shiftPopularity(rng *rand.Rand, order []int) {
	popular := max(1, int(float64(len(order))*popularShare))
	for rank := range popular {
		if rng.Float64() < shiftedShare {
			other := rng.IntN(len(order))
			order[rank], order[other] = order[other], order[rank]
		}
	}
}

func drawPriority(rng *rand.Rand) units.Priority {
	switch draw := rng.IntN(10); {
	case draw == 0:
		return 2
	case draw <= 2:
		return -2
	default:
		return 0
	}
}
