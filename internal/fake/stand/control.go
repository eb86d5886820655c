package stand

import (
	"strings"

	"mangostile/internal/node/render"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/engine"
	"mangostile/internal/fake/logs"
	"mangostile/internal/fake/reply"
	"mangostile/internal/fake/store"

	"github.com/valyala/fasthttp"
)

// Counters are the counters of all stand-ins of a Set.
type Counters struct {
	// Violations sums the violations of the system's guarantees. It must stay 0.
	Violations int                                   `json:"never_events"`
	Engines    map[string]engine.Counters            `json:"engines"`
	Services   map[units.ServiceName]ServiceCounters `json:"services"`
	// LogAppends counts the records appended to the log service.
	LogAppends int64 `json:"log_appends"`
	// Loads counts the loads that the weight store started; MostLoads is the
	// greatest number in flight at once.
	Loads     int `json:"loads"`
	MostLoads int `json:"most_loads"`
}

// ServiceCounters are the counters of one plain service. SecondRuns counts runs of
// idempotency keys that had run before; it must stay 0.
type ServiceCounters struct {
	Keys       int `json:"keys"`
	Runs       int `json:"runs"`
	SecondRuns int `json:"second_runs"`
}

// Counters returns the counts so far.
func (s *Set) Counters() Counters {
	all := Counters{Engines: map[string]engine.Counters{}, Services: map[units.ServiceName]ServiceCounters{}, LogAppends: s.Log.Appends()}
	all.Loads, all.MostLoads = s.Store.Loads()
	for _, e := range s.Engines {
		counters := e.Counters()
		all.Engines[e.ID] = counters
		all.Violations += counters.Violations()
	}
	for name, service := range s.Services {
		runs := service.Runs()
		counters := ServiceCounters{Keys: len(runs), SecondRuns: service.SecondRuns()}
		for _, n := range runs {
			counters.Runs += n
		}
		all.Services[name] = counters
		all.Violations += counters.SecondRuns
	}
	return all
}

// handleControl answers the control address: GET /counters, GET /runs/SERVICE,
// POST /fault/log, /fault/store, /fault/vms and /fault/ID for a backend server.
func (s *Set) handleControl(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/counters" {
		render.JSON(ctx, fasthttp.StatusOK, s.Counters())
		return
	}
	if name, ok := strings.CutPrefix(path, "/runs/"); ok && s.Services[units.ServiceName(name)] != nil {
		render.JSON(ctx, fasthttp.StatusOK, s.Services[units.ServiceName(name)].Runs())
		return
	}
	name, ok := strings.CutPrefix(path, "/fault/")
	if !ok || !ctx.IsPost() {
		reply.Refuse(ctx, fasthttp.StatusNotFound, "not_found", "use GET /counters, GET /runs/SERVICE or POST /fault/log, /fault/store, /fault/vms or /fault/ID")
		return
	}
	s.handleFault(ctx, name)
}

func (s *Set) handleFault(ctx *fasthttp.RequestCtx, name string) {
	switch name {
	case "log":
		var faults logs.Faults
		if reply.Decode(ctx, &faults) {
			s.Log.SetFaults(faults)
			render.JSON(ctx, fasthttp.StatusOK, faults)
		}
	case "store":
		var faults store.Faults
		if reply.Decode(ctx, &faults) {
			s.Store.SetFaults(faults)
			render.JSON(ctx, fasthttp.StatusOK, faults)
		}
	case "vms":
		s.handleVMsFault(ctx)
	default:
		s.handleBackendFault(ctx, name)
	}
}

// vmsFaults are faults of, and changes to, the list of VMs.
type vmsFaults struct {
	Down bool `json:"down"`
	// Leaving and Live are the ids of VMs whose state changes, and Removed those of
	// VMs to remove from the list.
	Leaving []string `json:"leaving"`
	Live    []string `json:"live"`
	Removed []string `json:"gone"`
	// Add holds VMs to add or replace.
	Add []event.VM `json:"add"`
}

func (s *Set) handleVMsFault(ctx *fasthttp.RequestCtx) {
	var faults vmsFaults
	if !reply.Decode(ctx, &faults) {
		return
	}
	s.VMs.SetDown(faults.Down)
	s.VMs.Update(faults.apply)
	render.JSON(ctx, fasthttp.StatusOK, faults)
}

func (f *vmsFaults) apply(vms []event.VM) []event.VM {
	drop := map[string]bool{}
	for _, id := range f.Removed {
		drop[id] = true
	}
	for i := range f.Add {
		drop[f.Add[i].ID] = true
	}
	state := map[string]event.VMState{}
	for _, id := range f.Leaving {
		state[id] = event.VMLeaving
	}
	for _, id := range f.Live {
		state[id] = event.VMLive
	}
	var changed []event.VM
	for _, vm := range vms {
		if drop[vm.ID] {
			continue
		}
		if state[vm.ID] != "" {
			vm.State = state[vm.ID]
		}
		changed = append(changed, vm)
	}
	return append(changed, f.Add...)
}

// handleBackendFault forwards faults to one backend server. If the body sets stopped, it
// stops the server first, so that its address refuses connections; else it restarts a
// stopped one.
func (s *Set) handleBackendFault(ctx *fasthttp.RequestCtx, id string) {
	handler := s.handlers[id]
	if handler == nil {
		reply.Refuse(ctx, fasthttp.StatusNotFound, "not_found", "no backend server "+id+": use one of the settings")
		return
	}
	var faults struct {
		Stopped bool `json:"stopped"`
	}
	if !reply.Decode(ctx, &faults) {
		return
	}
	change := s.Restart
	if faults.Stopped {
		change = s.Stop
	}
	if err := change(id); err != nil {
		reply.Refuse(ctx, fasthttp.StatusConflict, "not_done", err.Error())
		return
	}
	ctx.Request.SetRequestURI("/fault")
	ctx.URI().SetPath("/fault")
	handler(ctx)
}
