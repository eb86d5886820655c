package peer

import (
	"math"
	"slices"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/core/origin"
	"mangostile/internal/core/pace"
	"mangostile/internal/core/topo"
)

// UsageReport reports to the placer of a shard the sender's load on that shard.
type UsageReport struct {
	Shard string `msgpack:"s"`
	// Address is the address at which the sender receives messages.
	Address string       `msgpack:"a"`
	Region  units.Region `msgpack:"g,omitempty"`
	// Domain is the sender's failure domain. Entry VMs of releases that neither keep the starts of
	// streams nor read compressed frames leave it empty.
	Domain units.FailureDomain `msgpack:"d,omitempty"`
	// Capacity is what the sender can carry as a placer, in processor cores, 0 if unknown.
	Capacity float64 `msgpack:"c,omitempty"`
	// NeedsFull asks for a full placement update, since the sender missed one.
	NeedsFull bool `msgpack:"f,omitempty"`
	// Servers lists the backend servers on which the sender has requests or has had
	// some since its last report.
	Servers []ServerUsage `msgpack:"u,omitempty"`
	// LoadRequests lists the adapters for which requests wait.
	LoadRequests []LoadRequest `msgpack:"w,omitempty"`
	// Missing lists copies that backend servers reported as not loaded.
	Missing []Missing `msgpack:"m,omitempty"`
	// Unreachable lists the backend servers to which connecting failed.
	Unreachable []units.BackendServerID `msgpack:"x,omitempty"`
	// Leaving lists the backend servers that said in an answer that they leave.
	Leaving []LeavingServer `msgpack:"l,omitempty"`
	// Backoffs lists the backend servers that asked the sender for no requests for a time.
	Backoffs []ServerBackoff `msgpack:"b,omitempty"`
}

// ServerBackoff is a process of a backend server that wants no requests of an entry VM for a time.
type ServerBackoff struct {
	Server units.BackendServerID `msgpack:"s"`
	// StartedAt identifies the process.
	StartedAt int64 `msgpack:"b"`
	// Remaining is that time in ms.
	Remaining clock.Millis `msgpack:"r"`
}

// LeavingServer is a process of a backend server that leaves.
type LeavingServer struct {
	Server units.BackendServerID `msgpack:"s"`
	// StartedAt identifies the process.
	StartedAt int64 `msgpack:"b"`
}

// ServerUsage is the load of one entry VM on one backend server.
type ServerUsage struct {
	Server units.BackendServerID `msgpack:"s"`
	// Active is the number of requests in flight.
	Active int32 `msgpack:"a,omitempty"`
	// Prefill counts the prompt tokens of requests without a first event yet.
	Prefill units.Tokens `msgpack:"p,omitempty"`
	// Tokens counts the prompt and output tokens of all requests.
	Tokens   units.Tokens   `msgpack:"k,omitempty"`
	Adapters []AdapterUsage `msgpack:"d,omitempty"`
	// Answers, Refused, Timed, Took and Expected are the answers since the last report as in
	// pace.Sample, times in ms.
	Answers int32 `msgpack:"n,omitempty"`
	Refused int32 `msgpack:"f,omitempty"`
	Timed   int32 `msgpack:"m,omitempty"`
	// Loaded reports that the requests found the backend server under load.
	Loaded   bool         `msgpack:"l,omitempty"`
	Took     clock.Millis `msgpack:"t,omitempty"`
	Expected clock.Millis `msgpack:"e,omitempty"`
}

// AdapterUsage is the load of one entry VM on one adapter on one backend server.
type AdapterUsage struct {
	Adapter units.AdapterName `msgpack:"n"`
	// Active is the number of requests in flight.
	Active int32 `msgpack:"a,omitempty"`
	// Arrived counts requests sent since the last report.
	Arrived int32 `msgpack:"r,omitempty"`
}

// LoadRequest asks the placer to load an adapter for which requests wait. With a Count of
// 0 it only reports arrivals.
type LoadRequest struct {
	Adapter units.AdapterName `msgpack:"n"`
	// Software is the version of the backend servers at which the streams of these requests can
	// go on; empty if they may run at any.
	Software topo.Software `msgpack:"v,omitempty"`
	// Service is that of the requests if several services hold the adapter's model; else it is empty.
	// Releases that don't know it send and read none.
	Service units.ServiceName `msgpack:"sv,omitempty"`
	// Count is the number of requests that wait for the adapter.
	Count int32 `msgpack:"c"`
	// Arrived counts requests for it since the last report.
	Arrived int32 `msgpack:"r,omitempty"`
	// Rank is that of the most urgent of them, as LoadRank returns it.
	Rank int8 `msgpack:"k,omitempty"`
	// Waited is the time in ms for which the oldest request has waited.
	Waited clock.Millis `msgpack:"t,omitempty"`
	// LoadDeadline is the time in ms within which the adapter must be loaded so that at
	// least one request gets its first event within its target latency. It is negative if
	// that time has passed.
	LoadDeadline clock.Millis `msgpack:"i,omitempty"`
}

// Ranks of loads.
const (
	// RankSteps is the number of ranks of loads for each priority rank of requests.
	RankSteps = 3
	// MaxLoadRank is the least urgent rank of a load.
	MaxLoadRank = 4*RankSteps - 1
)

// LoadRank returns the rank of a load for a request whose customer and route have priority ranks, 0 for
// the most urgent: that of the customer goes before that of the route.
func LoadRank(rank, routeRank int) int8 {
	return int8(min(MaxLoadRank, RankSteps*max(0, min(rank, MaxLoadRank))+max(0, min(routeRank, RankSteps-1))))
}

// Missing is a copy that a backend server does not hold although the placer
// published it.
type Missing struct {
	Server  units.BackendServerID `msgpack:"s"`
	Adapter units.AdapterName     `msgpack:"n"`
}

// PlacementUpdate reports where the adapters of a shard are loaded. Unless Full is
// set, it lists only the backend servers that changed since the update with the
// preceding Sequence.
type PlacementUpdate struct {
	Shard    string            `msgpack:"s"`
	Fence    units.Fence       `msgpack:"f"`
	Sequence uint64            `msgpack:"n"`
	Full     bool              `msgpack:"a,omitempty"`
	Servers  []ServerPlacement `msgpack:"v,omitempty"`
	// LoadWait is the time in ms that a load requested now waits before it starts. LoadWaits holds it
	// by LoadRank, where the last one is also that of higher ranks; it is empty if none waits.
	LoadWait  clock.Millis   `msgpack:"w,omitempty"`
	LoadWaits []clock.Millis `msgpack:"q,omitempty"`
	// EntryVMs is the number of entry VMs that report to the placer.
	EntryVMs int32 `msgpack:"e,omitempty"`
	// LeaseNext is the offset up to which the placer has read the shard's lease stream;
	// Remaining is the remaining time in ms of its lease if no record from there on
	// renews it.
	LeaseNext units.Offset `msgpack:"o,omitempty"`
	Remaining clock.Millis `msgpack:"l,omitempty"`
	// Address is the placer's peer address.
	Address string `msgpack:"h,omitempty"`
	// KeepsStarts reports that the placer takes StreamStarts messages; those of earlier releases don't.
	KeepsStarts bool `msgpack:"t,omitempty"`
	// KeepsLedger reports that the placer keeps the ledger of versions; those of earlier releases don't.
	KeepsLedger bool `msgpack:"kl,omitempty"`
	// Members lists the entry VMs that report to the placer. It is empty in most updates.
	// The next placer sends its updates to them at once, so that also those that can't read
	// the store learn of it.
	Members []Member `msgpack:"m,omitempty"`
}

// Count returns the number of backend servers that m lists with their copies and of those that
// it lists with their load alone.
func (m *PlacementUpdate) Count() (entries, loads int) {
	for i := range m.Servers {
		if m.Servers[i].LoadOnly {
			loads++
		}
	}
	return len(m.Servers) - loads, loads
}

// Member is an entry VM that reports to a placer.
type Member struct {
	ID      units.EntryVMID `msgpack:"i"`
	Address string          `msgpack:"a"`
	Region  units.Region    `msgpack:"r,omitempty"`
	// Domain is that of the member's last usage report.
	Domain units.FailureDomain `msgpack:"d,omitempty"`
	// Capacity is that of the member's last usage report.
	Capacity float64 `msgpack:"c,omitempty"`
}

// ServerPlacement lists the models and copies that one backend server holds, and its
// load.
type ServerPlacement struct {
	Server units.BackendServerID `msgpack:"s"`
	// Removed is set if the placer no longer has the backend server.
	Removed bool `msgpack:"g,omitempty"`
	// LoadOnly is set if Models and Copies are left out because they are unchanged.
	LoadOnly bool `msgpack:"l,omitempty"`
	// StartedAt is the start of the process that has them, as in topo.Server, if the backend server
	// has reported one that is not listed yet; else 0.
	StartedAt int64             `msgpack:"b,omitempty"`
	Models    []units.ModelName `msgpack:"m,omitempty"`
	Copies    []PlacedCopy      `msgpack:"c,omitempty"`
	// Active, Prefill and Tokens are the sums over the reports of all entry VMs.
	Active  int32        `msgpack:"a,omitempty"`
	Prefill units.Tokens `msgpack:"p,omitempty"`
	Tokens  units.Tokens `msgpack:"k,omitempty"`
	// Pace is the backend server's pace relative to the others of its service.
	Pace pace.Step `msgpack:"v,omitempty"`
	// Window bounds its requests, of all entry VMs together, since it has just started or recovered;
	// 0 for none.
	Window int32 `msgpack:"w,omitempty"`
}

// PlacedCopy is an adapter on a backend server that is or soon will be usable.
type PlacedCopy struct {
	Adapter  units.AdapterName `msgpack:"n"`
	Revision int64             `msgpack:"r,omitempty"`
	// Ready is the time in ms until the copy is usable, 0 if it already is.
	Ready clock.Millis `msgpack:"t,omitempty"`
}

// SameCopies reports whether p and q have the same models and copies in one process. Their loads may
// differ.
func (p ServerPlacement) SameCopies(q ServerPlacement) bool {
	return p.StartedAt == q.StartedAt && slices.Equal(p.Models, q.Models) && slices.Equal(p.Copies, q.Copies)
}

// HasContent reports whether m carries more than the sender's address.
func (m *UsageReport) HasContent() bool {
	return m.NeedsFull || len(m.Servers)+len(m.LoadRequests)+len(m.Missing)+len(m.Unreachable)+len(m.Leaving)+len(m.Backoffs) > 0
}

func (*UsageReport) peerMessage()     {}
func (*PlacementUpdate) peerMessage() {}

// Check implements Message.
func (m *UsageReport) Check() error {
	if m.Shard == "" || m.Address == "" {
		return invalid("usage", "shard or address is missing")
	}
	if math.IsNaN(m.Capacity) || m.Capacity < 0 {
		return invalid("usage", "capacity is no positive number")
	}
	for i := range m.Servers {
		s := &m.Servers[i]
		if s.Active < 0 || s.Prefill < 0 || s.Answers < 0 || s.Refused < 0 || s.Timed < 0 || s.Took < 0 || s.Expected < 0 {
			return invalid("usage", "negative count")
		}
	}
	for i := range m.Backoffs {
		if m.Backoffs[i].Remaining < 0 {
			return invalid("usage", "negative back-off")
		}
	}
	for i := range m.LoadRequests {
		if m.LoadRequests[i].Adapter == "" || m.LoadRequests[i].Waited < 0 {
			return invalid("usage", "load request without adapter or with a negative wait")
		}
		if err := origin.CheckSoftware(m.LoadRequests[i].Software); err != nil {
			return invalid("usage", err.Error())
		}
	}
	return nil
}

// Check implements Message.
func (m *PlacementUpdate) Check() error {
	if m.Shard == "" || m.Fence == 0 {
		return invalid("homes", "shard or fence is missing")
	}
	for i := range m.Members {
		if m.Members[i].ID == "" || m.Members[i].Address == "" {
			return invalid("homes", "entry VM without id or address")
		}
	}
	for i := range m.Servers {
		if m.Servers[i].Server == "" {
			return invalid("homes", "backend server without id")
		}
		for _, c := range m.Servers[i].Copies {
			if c.Adapter == "" || c.Ready < 0 {
				return invalid("homes", "copy without adapter or with a negative time until it is ready")
			}
		}
	}
	return nil
}
