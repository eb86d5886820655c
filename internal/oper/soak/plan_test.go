package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// kind is a kind of fault.
type kind string

// Kinds of faults. The faults of a link affect traffic between an entry VM and the store or,
// with server in their name, a backend server.
const (
	vmKill            kind = "vm_kill"
	vmTerm            kind = "vm_term"
	vmPause           kind = "vm_pause"
	vmHup             kind = "vm_hup"
	killAll           kind = "kill_all"
	storeDown         kind = "store_down"
	storeSlow         kind = "store_slow"
	storeLosesAnswers kind = "store_loses_answers"
	storeLate         kind = "store_late"
	storeForgets      kind = "store_forgets"
	storeGarbage      kind = "store_garbage"
	linkSilent        kind = "store_link_silent"
	linkOneWay        kind = "store_link_one_way"
	linkRefuses       kind = "store_link_refuses"
	linkDelays        kind = "store_link_delays"
	serverCrash       kind = "server_crash"
	serverNoAnswer    kind = "server_mute"
	serverFails       kind = "server_fails"
	serverSlow        kind = "server_crawls"
	serverLeaves      kind = "server_leaves"
	serverBreaks      kind = "server_breaks_stream"
	serverCut         kind = "server_link_silent"
	serverReset       kind = "server_link_reset"
	orderAnswersLost  kind = "order_answers_lost"
	ordersLate        kind = "orders_late"
	callersReset      kind = "caller_connections_reset"
	newConfig         kind = "new_configuration"
	serverSaysLeaving kind = "server_says_leaving"
	serverBackoff     kind = "server_asks_for_backoff"
	serverRelease     kind = "server_release"
	serverLimit       kind = "server_names_limit"
	vmsInTurn         kind = "vms_in_turn"
)

// kinds lists the kinds that newPlan draws first. Another order, or a new kind, gives seeds other
// faults.
var kinds = []kind{
	vmKill, vmTerm, vmPause, vmHup, killAll, storeDown, storeSlow, storeLosesAnswers, storeLate, storeForgets, storeGarbage, linkSilent, linkOneWay,
	linkRefuses, linkDelays, serverCrash, serverNoAnswer, serverFails, serverSlow, serverLeaves, serverBreaks, serverCut, serverReset,
	orderAnswersLost, ordersLate, callersReset, newConfig,
}

// fault is one fault of a plan. Its target selects the entry VM or server, modulo their
// number, and in some kinds also the direction of a link or the event after which a stream
// breaks.
type fault struct {
	kind     kind
	at       time.Duration
	duration time.Duration
	target   int
}

func (f fault) String() string {
	return fmt.Sprintf("%s at %s for %s on %d", f.kind, f.at, f.duration, f.target)
}

// plan describes a deployment and the faults injected into it.
type plan struct {
	seed         uint64
	vms          int
	engines      int
	plainServers int
	adapters     int
	adapterSlots int
	slots        int
	// period is the mean time between two requests of a caller, without the time for
	// the answers.
	period  time.Duration
	callers int
	faults  []fault
	// versions is the number of software versions of the servers of each service.
	versions int
	// deadly is nil if no part of a prompt crashes engines.
	deadly *deadly
	// split reports whether the route of streams is split between two services, whose weights each
	// configuration changes.
	split bool
}

// deadly describes a part of a prompt that crashes engines.
type deadly struct {
	// at is the time from which requests contain the part, until the end of the run.
	at time.Duration
	// share is the share of streams with the part.
	share             float64
	prefill, downtime time.Duration
}

func (p *deadly) String() string {
	return fmt.Sprintf("deadly part from %s on in %.2f of the streams, crash after %s, down for %s", p.at, p.share, p.prefill, p.downtime)
}

// Faults start at a time from faultDelay to faultDelay+faultWindow after the deployment is
// ready, and last from 200 ms to 200 ms+maxFaultDuration.
const (
	faultDelay       = 4 * time.Second
	faultWindow      = 12 * time.Second
	maxFaultDuration = 5 * time.Second
)

// deadlyOneIn is the number of seeds of which one has a part that crashes engines.
const deadlyOneIn = 4

// sayLeavingOneIn is the number of seeds of which one has a server that says only in its answers
// that it leaves.
const sayLeavingOneIn = 3

// releaseOneIn is the number of seeds of which one has a release of the engines' software.
const releaseOneIn = 3

// limitOneIn is the number of seeds of which one has a server that names a limit.
const limitOneIn = 3

// splitOneIn is the number of seeds of which one has a split route, restartsOneIn that of which one has
// restarts in turn, during a release and while the store deletes old records.
const (
	splitOneIn    = 3
	restartsOneIn = 3
)

// maxBackoffs is the largest number of times at which a server asks for a back-off.
const maxBackoffs = 3

// newPlan draws a plan from a seed. A quarter of the seeds have a series of faults of one
// kind. New draws are added at the end: if the order or number of the draws changes, all seeds give other plans.
func newPlan(seed uint64) plan {
	r := rand.New(rand.NewPCG(seed, 0x50a6))
	p := plan{
		seed: seed, vms: 2 + r.IntN(5), engines: 2 + r.IntN(3), plainServers: 2 + r.IntN(2), adapters: 4 + r.IntN(20), adapterSlots: 2 + r.IntN(4),
		slots: 6 + r.IntN(20), period: time.Duration(20+r.IntN(60)) * time.Millisecond, callers: 6 + r.IntN(10),
	}
	only := kind("")
	if r.IntN(4) == 0 {
		only = kinds[r.IntN(len(kinds))]
	}
	for range 3 + r.IntN(8) {
		k := kinds[r.IntN(len(kinds))]
		if only != "" {
			k = only
		}
		p.faults = append(p.faults, fault{
			kind: k, at: faultDelay + time.Duration(r.Int64N(int64(faultWindow))).Round(time.Millisecond),
			duration: (200*time.Millisecond + time.Duration(r.Int64N(int64(maxFaultDuration)))).Round(time.Millisecond), target: r.IntN(1 << 20),
		})
	}
	sort.Slice(p.faults, func(i, j int) bool { return p.faults[i].at < p.faults[j].at })
	if r.IntN(deadlyOneIn) == 0 {
		p.deadly = &deadly{
			at: faultDelay + time.Duration(r.Int64N(int64(faultWindow/2))).Round(time.Millisecond), share: 0.03 + 0.09*r.Float64(),
			prefill:  (10*time.Millisecond + time.Duration(r.Int64N(int64(300*time.Millisecond)))).Round(time.Millisecond),
			downtime: (300*time.Millisecond + time.Duration(r.Int64N(int64(1700*time.Millisecond)))).Round(time.Millisecond),
		}
	}
	if r.IntN(sayLeavingOneIn) == 0 {
		p.faults = append(p.faults, fault{
			kind: serverSaysLeaving, at: faultDelay + time.Duration(r.Int64N(int64(faultWindow/2))).Round(time.Millisecond),
			duration: time.Duration(r.Int64N(int64(maxFaultDuration))).Round(time.Millisecond), target: r.IntN(1 << 20),
		})
	}
	for range r.IntN(maxBackoffs + 1) {
		p.faults = append(p.faults, fault{
			kind: serverBackoff, at: faultDelay + time.Duration(r.Int64N(int64(faultWindow))).Round(time.Millisecond),
			duration: (600*time.Millisecond + time.Duration(r.Int64N(int64(maxFaultDuration)))).Round(time.Millisecond), target: r.IntN(1 << 20),
		})
	}
	p.versions = 1 + r.IntN(2)
	if r.IntN(releaseOneIn) == 0 {
		p.faults = append(p.faults, fault{
			kind: serverRelease, at: faultDelay + time.Duration(r.Int64N(int64(faultWindow/2))).Round(time.Millisecond),
			duration: (time.Second + time.Duration(r.Int64N(int64(maxFaultDuration)))).Round(time.Millisecond),
		})
	}
	if p.versions > 1 && r.IntN(2) == 0 {
		p.versions++
	}
	if r.IntN(limitOneIn) == 0 {
		p.faults = append(p.faults, fault{
			kind: serverLimit, at: faultDelay + time.Duration(r.Int64N(int64(faultWindow/2))).Round(time.Millisecond),
			duration: (2*limitWindow + time.Duration(r.Int64N(int64(maxFaultDuration)))).Round(time.Millisecond), target: r.IntN(1 << 20),
		})
	}
	draw := func(k kind, least time.Duration) {
		p.faults = append(p.faults, fault{
			kind: k, at: faultDelay + time.Duration(r.Int64N(int64(faultWindow/2))).Round(time.Millisecond),
			duration: (least + time.Duration(r.Int64N(int64(maxFaultDuration)))).Round(time.Millisecond), target: r.IntN(1 << 20),
		})
	}
	if p.split = r.IntN(splitOneIn) == 0; p.split {
		for range 1 + r.IntN(3) {
			draw(newConfig, 0)
		}
	}
	if r.IntN(restartsOneIn) == 0 {
		for _, k := range []kind{vmsInTurn, serverRelease, storeForgets, storeForgets} {
			draw(k, time.Second)
		}
	}
	return p
}
