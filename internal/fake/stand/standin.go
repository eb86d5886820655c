// Package stand runs all stand-ins of one deployment in one process.
package stand

import (
	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/fake/engine"
	"mangostile/internal/fake/logs"
	"mangostile/internal/fake/plain"
	"mangostile/internal/fake/reply"
	"mangostile/internal/fake/store"
	"mangostile/internal/fake/vmlist"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Set is a running set of stand-ins.
type Set struct {
	Log     *logs.LogService
	Store   *store.WeightStore
	VMs     *vmlist.VMList
	Engines []*engine.Engine
	// Services holds the services by name. The instances of a service share its run counts.
	Services map[units.ServiceName]*plain.Service
	// Instances holds the backend servers that run services, by id.
	Instances map[string]*plain.Instance
	// ControlAddress, LogAddress and VMListAddress are the actual listen addresses.
	ControlAddress string
	LogAddress     string
	VMListAddress  string
	// Backends describes the backend servers, with their actual listen addresses.
	Backends []event.VM
	servers  []*reply.Server
	// backends and handlers hold the HTTP servers and handlers of backend servers by id.
	backends map[string]*reply.Server
	handlers map[string]fasthttp.RequestHandler
}

// Options select and configure the stand-ins to start.
type Options struct {
	// ControlAddress, LogAddress and VMListAddress may end in ":0" for any free port;
	// if empty, a free port on loopback is used.
	ControlAddress string
	LogAddress     string
	VMListAddress  string
	// Backends are the engines and services; if an address is empty, a free port on
	// loopback is used.
	Backends []event.VM
	// EntryVMs are added to the list of VMs.
	EntryVMs []event.VM
	// Engine, Log, Store and VMList configure the stand-ins; their zero values are usable.
	Engine engine.Options
	Log    logs.Options
	Store  store.Options
	VMList vmlist.Options
}

const freeLoopbackPort = "127.0.0.1:0"

// Start starts the stand-ins. Call Close to stop them.
func Start(options Options) (*Set, error) {
	s := &Set{
		Log:       &logs.LogService{Options: options.Log},
		Store:     &store.WeightStore{Options: options.Store},
		VMs:       &vmlist.VMList{Options: options.VMList},
		Services:  map[units.ServiceName]*plain.Service{},
		Instances: map[string]*plain.Instance{},
		backends:  map[string]*reply.Server{},
		handlers:  map[string]fasthttp.RequestHandler{},
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
		if err := s.startBackend(vm, options.Engine); err != nil {
			return err
		}
	}
	s.ControlAddress, err = s.listen(options.ControlAddress, s.handleControl)
	return err
}

func (s *Set) startBackend(vm event.VM, options engine.Options) (err error) {
	var handler fasthttp.RequestHandler
	switch vm.Kind {
	case event.KindEngine:
		e := &engine.Engine{
			ID: vm.ID, Loader: s.Store, Slots: int(vm.Slots), BatchMax: int(vm.BatchMax), ChecksFence: vm.ChecksFence, Options: options,
		}
		s.Engines = append(s.Engines, e)
		handler = e.Handle
	case event.KindService:
		if s.Services[vm.Service] == nil {
			s.Services[vm.Service] = &plain.Service{}
		}
		s.Instances[vm.ID] = s.Services[vm.Service].NewInstance()
		handler = s.Instances[vm.ID].Handle
	default:
		return errors.Errorf("backend server %s: kind %q: use engine or service", vm.ID, vm.Kind)
	}
	if vm.Address, err = s.listen(vm.Address, handler); err != nil {
		return err
	}
	s.handlers[vm.ID] = handler
	s.backends[vm.ID] = s.servers[len(s.servers)-1]
	if vm.State == "" {
		vm.State = event.VMLive
	}
	s.Backends = append(s.Backends, vm)
	return nil
}

func (s *Set) listen(address string, handler fasthttp.RequestHandler) (string, error) {
	if address == "" {
		address = freeLoopbackPort
	}
	server, err := reply.Listen(address, handler)
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, server)
	return server.Address(), nil
}

// Stop simulates a dead backend server: its address refuses connections and the open
// ones are closed. Requests that run on an engine are lost.
func (s *Set) Stop(id string) error {
	server := s.backends[id]
	if server == nil {
		return errors.Errorf("no backend server %q: name one of the settings", id)
	}
	server.Stop()
	for _, e := range s.Engines {
		if e.ID == id {
			e.Crash()
		}
	}
	return nil
}

// Restart makes a stopped backend server answer again. An engine starts cold.
func (s *Set) Restart(id string) error {
	server := s.backends[id]
	if server == nil {
		return errors.Errorf("no backend server %q: name one of the settings", id)
	}
	return server.Restart()
}

// Close stops all stand-ins and closes their connections.
func (s *Set) Close() {
	s.Log.Close()
	for _, server := range s.servers {
		server.Close()
	}
}
