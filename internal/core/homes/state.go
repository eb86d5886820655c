package homes

// State summarizes a Placer for logs.
type State struct {
	Servers, Synced int
	// Ready, Loading, Retired and Unloading count copies by state; Idle counts those that
	// are ready and unused.
	Ready, Idle, Loading, Retired, Unloading int
	// LoadRequests counts adapters whose load is requested, Waiting the requests that wait
	// for them. An adapter that another region serves may have none that wait.
	LoadRequests, Waiting int
	// InFlight counts copies that are loading.
	InFlight int
	// Queued counts the adapters whose load waits for a place, or for the limit.
	Queued int
	// LoadLimit is the limit of InFlight for loads that requests wait for.
	LoadLimit float64
	// Slowness is the factor by which loads are expected to take longer than
	// Policy.AdapterLoad.
	Slowness float64
	// SlowServers counts backend servers that are slower than the others of their service, and Starting
	// those with a window since they have just started or recovered.
	SlowServers, Starting int
}

// State returns the current state.
func (p *Placer) State() State {
	st := State{Servers: len(p.servers), LoadRequests: len(p.loadRequests), InFlight: p.loadsInFlight(), Queued: p.queue.len(), LoadLimit: p.maxLoadsInFlight(), Slowness: p.slowness}
	for _, s := range p.servers {
		if s.synced {
			st.Synced++
		}
		if s.pace.Step > 0 {
			st.SlowServers++
		}
		if s.pace.Window.Limit() > 0 {
			st.Starting++
		}
		for _, c := range s.copies {
			switch c.state {
			case copyLoading:
				st.Loading++
			case copyReady:
				st.Ready++
				if c.active == 0 {
					st.Idle++
				}
			case copyRetired:
				st.Retired++
			case copyUnloading:
				st.Unloading++
			}
		}
	}
	for _, w := range p.loadRequests {
		for _, n := range w.countByVM {
			st.Waiting += int(n)
		}
	}
	return st
}
