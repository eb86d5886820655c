package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// kind is a kind of fault.
type kind string

// Kinds of faults.
const (
	vmKill       kind = "vm_kill"
	vmTerm       kind = "vm_term"
	vmPause      kind = "vm_pause"
	vmHup        kind = "vm_hup"
	killAll      kind = "kill_all"
	storeDown    kind = "store_down"
	storeSlow    kind = "store_slow"
	storeLoses   kind = "store_loses_answers"
	storeLate    kind = "store_late"
	storeForgets kind = "store_forgets"
	storeGarbage kind = "store_garbage"
	linkSilent   kind = "store_link_silent"
	linkOneWay   kind = "store_link_one_way"
	linkRefuses  kind = "store_link_refuses"
	linkDelays   kind = "store_link_delays"
	serverCrash  kind = "server_crash"
	serverMute   kind = "server_mute"
	serverFails  kind = "server_fails"
	serverCrawls kind = "server_crawls"
	serverLeaves kind = "server_leaves"
	serverBreaks kind = "server_breaks_stream"
	serverCut    kind = "server_link_silent"
	serverReset  kind = "server_link_reset"
	ordersLost   kind = "order_answers_lost"
	ordersLate   kind = "orders_late"
	callersReset kind = "caller_connections_reset"
	newConfig    kind = "new_configuration"
)

var kinds = []kind{
	vmKill, vmTerm, vmPause, vmHup, killAll, storeDown, storeSlow, storeLoses, storeLate, storeForgets, storeGarbage, linkSilent, linkOneWay,
	linkRefuses, linkDelays, serverCrash, serverMute, serverFails, serverCrawls, serverLeaves, serverBreaks, serverCut, serverReset,
	ordersLost, ordersLate, callersReset, newConfig,
}

// fault is one fault of a plan.
type fault struct {
	kind   kind
	at     time.Duration
	lasts  time.Duration
	target int
}

func (f fault) String() string {
	return fmt.Sprintf("%s at %s for %s on %d", f.kind, f.at, f.lasts, f.target)
}

// plan is a deployment and its faults.
type plan struct {
	seed     uint64
	vms      int
	engines  int
	plains   int
	adapters int
	places   int
	slots    int
	// period is the time between two requests of one caller.
	period  time.Duration
	callers int
	faults  []fault
}

// Shape of a plan.
const (
	faultsBegin = 4 * time.Second
	faultsLast  = 12 * time.Second
	maxLasting  = 5 * time.Second
)

// newPlan draws a plan. Some seeds have faults of one kind only, in series.
func newPlan(seed uint64) plan {
	r := rand.New(rand.NewPCG(seed, 0x50a6))
	p := plan{
		seed: seed, vms: 2 + r.IntN(5), engines: 2 + r.IntN(3), plains: 2 + r.IntN(2), adapters: 4 + r.IntN(20), places: 2 + r.IntN(4),
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
			kind: k, at: faultsBegin + time.Duration(r.Int64N(int64(faultsLast))).Round(time.Millisecond),
			lasts: (200*time.Millisecond + time.Duration(r.Int64N(int64(maxLasting)))).Round(time.Millisecond), target: r.IntN(1 << 20),
		})
	}
	sort.Slice(p.faults, func(i, j int) bool { return p.faults[i].at < p.faults[j].at })
	return p
}
