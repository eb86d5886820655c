// Package stand runs all stand-ins of one deployment in one process.
package stand

import (
	"fmt"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/engine"
	"mangostile/internal/fake/logs"
	"mangostile/internal/fake/plain"
	"mangostile/internal/fake/reply"
	"mangostile/internal/fake/store"
	"mangostile/internal/fake/vmlist"

	"github.com/valyala/fasthttp"
)

// Set is a running set of stand-ins.
type Set struct {
	Log     *logs.LogService
	Store   *store.WeightStore
	VMs     *vmlist.VMList
	Engines []*engine.Engine
	// Services holds one counter of runs for each service name.
	Services map[units.ServiceName]*plain.Service
	// LogAddress and VMListAddress are where the platform listens.
	LogAddress    string
	VMListAddress string
	// Backends describes the backend servers with the addresses in use.
	Backends []event.VM
	servers  []*reply.Server
}

// Options say what to start.
type Options struct {
	// LogAddress and VMListAddress may end in ":0".
	LogAddress    string
	VMListAddress string
	// Backends are the engines and services; an empty address is a free one on
	// loopback.
	Backends []event.VM
	// EntryVMs are added to the list of VMs.
	EntryVMs []event.VM
}

const anyLoopback = "127.0.0.1:0"

// Start starts the stand-ins. Close ends them.
func Start(options Options) (*Set, error) {
	s := &Set{
		Log: &logs.LogService{}, Store: &store.WeightStore{}, VMs: &vmlist.VMList{}, Services: map[units.ServiceName]*plain.Service{},
	}
	if err := s.start(options); err != nil {
		s.Close()
		return nil, err
	}
	s.VMs.Set(append(append([]event.VM(nil), s.Backends...), options.EntryVMs...))
	return s, nil
}

func (s *Set) start(options Options) (err error) {
	if s.LogAddress, err = s.listen(options.LogAddress, s.Log.Handle); err != nil {
		return err
	}
	if s.VMListAddress, err = s.listen(options.VMListAddress, s.VMs.Handle); err != nil {
		return err
	}
	for _, vm := range options.Backends {
		if err := s.startBackend(vm); err != nil {
			return err
		}
	}
	return nil
}

func (s *Set) startBackend(vm event.VM) (err error) {
	switch vm.Kind {
	case event.KindEngine:
		e := &engine.Engine{ID: vm.ID, Loader: s.Store, Slots: int(vm.Slots), BatchMax: int(vm.BatchMax), ChecksFence: vm.ChecksFence}
		s.Engines = append(s.Engines, e)
		vm.Address, err = s.listen(vm.Address, e.Handle)
	case event.KindService:
		if s.Services[vm.Service] == nil {
			s.Services[vm.Service] = &plain.Service{}
		}
		vm.Address, err = s.listen(vm.Address, s.Services[vm.Service].Handle)
	default:
		return fmt.Errorf("backend server %s: kind %q: use engine or service", vm.ID, vm.Kind)
	}
	if vm.State == "" {
		vm.State = event.VMLive
	}
	s.Backends = append(s.Backends, vm)
	return err
}

func (s *Set) listen(address string, handler fasthttp.RequestHandler) (string, error) {
	if address == "" {
		address = anyLoopback
	}
	server, err := reply.Listen(address, handler)
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, server)
	return server.Address(), nil
}

// Close ends all stand-ins.
func (s *Set) Close() {
	for _, server := range s.servers {
		server.Close()
	}
}
