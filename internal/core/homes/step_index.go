package homes

import (
	"iter"

	"mangostile/internal/base/units"
)

// stepIndex holds what one step looks up for each of many load requests, so that its cost does
// not grow with requests times backend servers. It is built at most once in a step; orders
// that the step adds make single entries outdated, which their users check.
type stepIndex struct {
	built bool
	// versioned and byService report that served and retired have entries for versions of the software
	// and for services, since a load is requested for one.
	versioned, byService bool
	// served holds that for which there is a copy that can be used now or once loaded.
	served map[loadKey]bool
	// retired holds the first backend server with a retired copy that can be made ready again.
	retired map[loadKey]*server
	// ready counts the copies of each adapter that can be used now.
	ready map[units.AdapterName]int
	slots []slot
}

// slot is a backend server to which a load or an unload can be ordered.
type slot struct {
	server *server
	// free reports that an adapter slot is free. Otherwise victim is the retired copy with
	// the least demand, empty if there is none that can be unloaded.
	free   bool
	victim units.AdapterName
	demand float64
}

// index returns the index of the current step.
func (p *Placer) index() *stepIndex {
	if p.step.built {
		return &p.step
	}
	p.step.reset()
	for key := range p.loadRequests {
		p.step.versioned = p.step.versioned || key.software != ""
		p.step.byService = p.step.byService || key.service != ""
	}
	for _, s := range p.servers {
		for adapter, c := range s.copies {
			if c.state == copyReady && !s.down {
				p.step.ready[adapter]++
			}
		}
	}
	for _, id := range p.order {
		s := p.servers[id]
		if s.down || p.now < s.backoffUntil {
			continue
		}
		for adapter, c := range s.copies {
			p.indexCopy(s, adapter, c)
		}
		if s.usable(p.now) && s.loading(p.now) < maxLoadsPerServer {
			victim, demand := p.victim(s)
			free := len(s.copies) < s.engine.AdapterSlots
			if free || victim != "" {
				p.step.slots = append(p.step.slots, slot{server: s, free: free, victim: victim, demand: demand})
			}
		}
	}
	return &p.step
}

// reset empties the index. It keeps the memory, which each step needs again.
func (x *stepIndex) reset() {
	if x.served == nil {
		x.served, x.retired, x.ready = map[loadKey]bool{}, map[loadKey]*server{}, map[units.AdapterName]int{}
	}
	clear(x.served)
	clear(x.retired)
	clear(x.ready)
	x.built, x.versioned, x.byService, x.slots = true, false, false, x.slots[:0]
}

func (p *Placer) indexCopy(s *server, adapter units.AdapterName, c *heldCopy) {
	switch {
	case c.unconfirmed && p.now >= s.orderedAt+orderPatience:
	case s.pending != nil && c.state == copyLoading:
		p.step.addServed(s, adapter)
	case p.isOld(adapter, c) || s.Draining || s.Remaining != 0:
	case c.state == copyReady || c.state == copyLoading:
		p.step.addServed(s, adapter)
	case c.state == copyRetired && s.usable(p.now):
		for key := range p.step.keys(s, adapter) {
			if p.step.retired[key] == nil {
				p.step.retired[key] = s
			}
		}
	}
}

// addServed records that s has a copy of an adapter that can be used now or once loaded.
func (x *stepIndex) addServed(s *server, adapter units.AdapterName) {
	for key := range x.keys(s, adapter) {
		x.served[key] = true
	}
}

// keys returns the keys of the loads that a copy of an adapter at s serves.
func (x *stepIndex) keys(s *server, adapter units.AdapterName) iter.Seq[loadKey] {
	return func(yield func(loadKey) bool) {
		versioned := x.versioned && s.software() != ""
		_ = yield(loadKey{adapter: adapter}) &&
			(!versioned || yield(loadKey{adapter: adapter, software: s.software()})) &&
			(!x.byService || yield(loadKey{adapter: adapter, service: s.Service})) &&
			(!versioned || !x.byService || yield(loadKey{adapter, s.software(), s.Service}))
	}
}

// victim returns the retired copy with the least demand at s that may be unloaded, and that
// demand. Copies in use or retired less than unloadDelay ago are excluded.
func (p *Placer) victim(s *server) (victim units.AdapterName, demand float64) {
	for name, c := range s.copies {
		if !p.isVictim(c) {
			continue
		}
		if m := p.demandPerCopy(name); victim == "" || m < demand || m == demand && name < victim {
			victim, demand = name, m
		}
	}
	return victim, demand
}

func (p *Placer) isVictim(c *heldCopy) bool {
	return c != nil && c.state == copyRetired && c.active == 0 && p.now >= c.retiredAt+unloadDelay
}
