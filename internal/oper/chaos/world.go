package chaos

import (
	"fmt"
	"math/rand/v2"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
	"mangostile/internal/base/vtime"
	"mangostile/internal/core/choose"
	"mangostile/internal/core/homes"
	"mangostile/internal/core/peer"
	"mangostile/internal/core/topo"
)

// Times in ms.
const (
	// listDelay is the age of the list of backend servers at the entry VMs.
	listDelay     clock.Millis = 900
	messageDelay  clock.Millis = 1
	gossipDelay   clock.Millis = 60
	usagePeriod   clock.Millis = 100
	stepPeriod    clock.Millis = 25
	loadsPeriod   clock.Millis = 250
	waitPeriod    clock.Millis = 20
	adapterLoad   clock.Millis = 250
	requestBudget clock.Millis = 6000
	target        clock.Millis = 1000
	eventPeriod   clock.Millis = 60
	// leaveTime is the time from when a backend server says that it leaves until it ends.
	leaveTime clock.Millis = 4000
	// downTime is the time from when a backend server crashes until it is back, coldTime that for which
	// it is slow then.
	downTime clock.Millis = 2000
	coldTime clock.Millis = 4000
)

// limitedShare is the share of its requests, and of its speed, that a backend server with a limit has
// left.
const limitedShare = 0.1

// slowShare is the share of its pace that a slow backend server has.
const slowShare = 1.0 / 3

// Sizes of requests and engines.
const (
	events        = 20
	slots         = 64
	adapterSlots  = 8
	maxQueued     = 16
	prefillPerMS  = 38.7
	promptTokens  = 4000
	outputTokens  = 100
	maxSends      = 5
	callerRetries = 1
)

const (
	service = units.ServiceName("llm")
	model   = units.ModelName("m")
	shard   = "r"
)

// server is a simulated engine.
type server struct {
	topo.Server
	copies map[units.AdapterName]clock.Millis
	// backoffUntil is the end of its back-off, leaving reports that it says that it leaves, and
	// ended that it has gone.
	backoffUntil   clock.Millis
	leaving, ended bool
	// limit is the rate that its answers name, 0 for none. limitedAt is when it named one first, and
	// arrivals are those of the requests since then.
	limit         units.Rate
	limitedAt     clock.Millis
	arrivals      []clock.Millis
	prefillFreeAt clock.Millis
	// slowUntil is until when it works at slowShare of its pace.
	slowUntil clock.Millis
	running   map[*call]bool
}

// world is the state of one run.
type world struct {
	scenario Scenario
	// heeds reports whether the entry VMs heed what backend servers say of themselves.
	heeds bool
	// arrivals draws the requests, returns what callers do after a refusal: so that all policies
	// get the same requests.
	arrivals, returns *rand.Rand

	now     clock.Millis
	pending vtime.Queue
	cores   []*choose.Core
	placer  *homes.Placer
	servers []*server
	calls   []*call
	// started counts the servers, to name each.
	started int
	// inBackoff counts the requests that reached a server in a back-off, atLeaving those that
	// reached one that says that it leaves, and mixed the streams of two versions.
	inBackoff, atLeaving, mixed int
}

func newWorld(s Scenario, heeds bool) *world {
	w := &world{scenario: s, heeds: heeds, arrivals: rand.New(rand.NewPCG(s.Seed, 1)), returns: rand.New(rand.NewPCG(s.Seed, 2)), now: clock.Second}
	w.placer = homes.New(homes.Policy{AdapterLoad: adapterLoad, FixedPace: !heeds && s.Disturbance.ofPace()})
	w.pending.Start(w.now)
	for i := range s.EntryVMs {
		c := choose.New(choose.Config{Self: vmID(i), Domain: "d", Region: shard, Policy: choose.Policy{PrefillPerMS: prefillPerMS, RetryRatio: 0.2, RetryReserve: 54, FixedPace: !heeds && s.Disturbance.ofPace()}})
		c.SetConfig(w.config())
		w.cores = append(w.cores, c)
	}
	w.knowMembers()
	for range s.Engines {
		w.start("v1")
	}
	w.applyList(w.list())
	return w
}

func vmID(i int) units.EntryVMID { return units.EntryVMID(fmt.Sprint("vm", i)) }

// knowMembers makes all entry VMs known to each other.
func (w *world) knowMembers() {
	for i, c := range w.cores {
		var others []peer.Member
		for j := range w.cores {
			if j != i {
				others = append(others, peer.Member{ID: vmID(j), Region: shard})
			}
		}
		c.SetMembers(others)
	}
}

func (w *world) config() *topo.Config {
	return &topo.Config{Version: 1, Services: w.services()}
}

func (w *world) services() map[units.ServiceName]*topo.Service {
	return map[units.ServiceName]*topo.Service{service: {Name: service, Engine: &topo.Engine{
		Slots: slots, KVTokens: 232000, AdapterSlots: adapterSlots, WeightMB: 35300, LoadsPerSecond: 4,
		Models: []topo.Model{{Name: model, WeightMB: 34300, AdapterMB: 40, Load: 600}},
	}}}
}

// after calls run after a delay.
func (w *world) after(delay clock.Millis, run func()) {
	w.pending.At(w.now+delay, run)
}

// every calls run once per period until the end of the run.
func (w *world) every(period clock.Millis, run func()) {
	w.after(period, func() {
		run()
		w.every(period, run)
	})
}

// play plays the run to its end.
func (w *world) play() {
	w.every(usagePeriod, w.reportUsage)
	w.every(stepPeriod, w.stepPlacer)
	w.every(loadsPeriod, func() { w.placer.IncludeLoads(homes.SameRegion) })
	w.arrive()
	w.disturb()
	end := w.now + w.scenario.Duration
	for run := w.pending.Next(end + requestBudget); run != nil; run = w.pending.Next(end + requestBudget) {
		w.now = w.pending.Now()
		run()
	}
}

// start starts a server of a software version.
func (w *world) start(version topo.Software) *server {
	w.started++
	id := fmt.Sprintf("e%02d", w.started)
	s := &server{copies: map[units.AdapterName]clock.Millis{}, running: map[*call]bool{}}
	s.Server = topo.Server{
		ID: units.BackendServerID(id), Service: service, Address: id, Domain: "d", Region: shard, Slots: slots, StartedAt: int64(w.now), Software: version, Models: []units.ModelName{model},
	}
	w.servers = append(w.servers, s)
	return s
}

// end ends a server; its streams break.
func (w *world) end(s *server) {
	s.ended = true
	for _, c := range w.calls {
		if s.running[c] {
			w.breakOff(c, s)
		}
	}
}

// list returns the list of servers as of now.
func (w *world) list() []*topo.Server {
	var list []*topo.Server
	for _, s := range w.servers {
		if !s.ended {
			entry := s.Server
			list = append(list, &entry)
		}
	}
	return list
}

func (w *world) applyList(list []*topo.Server) {
	for _, c := range w.cores {
		c.SetServers(w.now, list)
	}
	w.placer.SetServers(w.now, list, w.services())
}

// publishList makes a change of the servers known.
func (w *world) publishList() {
	w.after(listDelay, func() { w.applyList(w.list()) })
}

func (w *world) server(id units.BackendServerID) *server {
	for _, s := range w.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}

func (w *world) reportUsage() {
	for i, c := range w.cores {
		usage := c.UsageReport(w.now, shard, "address")
		if i == 0 {
			// It is the placer's.
			usage.Backoffs = append(usage.Backoffs, c.HeldBack(w.now, shard)...)
		}
		w.placer.HandleUsage(w.now, vmID(i), usage)
	}
}

// stepPlacer executes the placer's plan and publishes what changed.
func (w *world) stepPlacer() {
	plan := w.placer.Step(w.now, true)
	for _, o := range plan.Orders {
		w.after(messageDelay, func() { w.placer.HandleOrderResult(w.now, o, w.execute(o)) })
	}
	for _, request := range plan.ReportRequests {
		w.after(messageDelay, func() { w.report(request.Server) })
	}
	update := w.placer.Update(w.now, homes.SameRegion, shard, 1, len(w.servers))
	update.EntryVMs = int32(len(w.cores))
	w.after(messageDelay, func() {
		for _, c := range w.cores {
			c.ApplyUpdate(w.now, update)
		}
	})
}

func (w *world) execute(o homes.Order) homes.Result {
	s := w.server(o.Server)
	switch {
	case s == nil || s.ended:
		return homes.Lost
	case s.Orders != o.Expected:
		return homes.Conflicts
	case o.Kind == homes.OrderUnload:
		s.Orders++
		delete(s.copies, o.Adapter)
		return homes.Done
	default:
		s.Orders++
		s.copies[o.Adapter] = w.now + adapterLoad
		return homes.Taken
	}
}

func (w *world) report(id units.BackendServerID) {
	s := w.server(id)
	if s == nil || s.ended {
		w.placer.ReportFailed(w.now, id)
		return
	}
	report := &topo.Report{StartedAt: s.StartedAt, Orders: s.Orders, Models: s.Models}
	for adapter, readyAt := range s.copies {
		if readyAt <= w.now {
			report.Copies = append(report.Copies, topo.Copy{Adapter: adapter})
		} else {
			report.Loading = append(report.Loading, topo.Copy{Adapter: adapter})
		}
	}
	w.placer.HandleReport(w.now, id, report)
}

// disturb plans the disturbance.
func (w *world) disturb() {
	s := &w.scenario
	list := w.servers[:max(1, int(s.Share*float64(len(w.servers))+0.5))]
	w.after(s.From, func() {
		switch s.Disturbance {
		case Backoff:
			for _, e := range list {
				e.backoffUntil = w.now + s.To - s.From
			}
		case Leaving:
			for _, e := range list {
				w.leave(e, "v1")
			}
		case Limit:
			for _, e := range list {
				e.limit, e.limitedAt = units.Rate(limitedShare*s.Rate/float64(s.Engines)), w.now
				w.after(s.To-s.From, func() { e.limit = 0 })
			}
		case Slow:
			for _, e := range list {
				e.slowUntil = w.now + s.To - s.From
			}
		case Restart:
			for _, e := range list {
				w.crash(e)
			}
		case Release:
			for i, e := range list {
				w.after(clock.Millis(i)*(s.To-s.From)/clock.Millis(len(list)), func() { w.leave(e, "v2") })
			}
		}
	})
}

// crash ends a server and starts another process in its place, which is slow at first.
func (w *world) crash(s *server) {
	w.end(s)
	w.publishList()
	w.after(downTime, func() {
		w.start(s.Software).slowUntil = w.now + coldTime
		w.publishList()
	})
}

// leave lets a server say that it leaves and starts one in its place.
func (w *world) leave(s *server, version topo.Software) {
	s.leaving = true
	w.start(version)
	w.publishList()
	w.after(leaveTime, func() {
		w.end(s)
		w.publishList()
	})
}
